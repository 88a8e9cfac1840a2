package host

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/membership"
)

// targetTable shares a membership.Targets among the exchanges.
type targetTable struct {
	mu    sync.Mutex
	table *membership.Targets
	lastFullRefresh time.Time // when merge last returned all targets
}

func newTargetTable(config membership.TargetsConfig) *targetTable {
	return &targetTable{table: membership.NewTargets(config)}
}

// announce takes in an announcement received at now.
func (t *targetTable) announce(now time.Time, a wire.Announcement) (dispatch.Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.table.Announce(now, a); err != nil {
		return dispatch.Target{}, err
	}
	target, _ := t.table.Get(a.Target)
	return dispatchTarget(target), nil
}

// cursor returns the question to peer.
func (t *targetTable) cursor(peer string) *membershippb.TargetCursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Cursor(peer)
}

// delta answers a peer's question.
func (t *targetTable) delta(now time.Time, cursor *membershippb.TargetCursor) *membershippb.TargetDelta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Delta(now, cursor)
}

// fullRefreshInterval is how often merge returns all targets, so that a change that
// the loop had no room for is not lost.
const fullRefreshInterval = time.Second

// merge takes in peer's answer to a question sent at asked and returns the
// targets that changed, at times all targets.
func (t *targetTable) merge(peer string, sentAt time.Time, delta *membershippb.TargetDelta) []dispatch.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.table.Merge(peer, sentAt, delta)
	if sentAt.Sub(t.lastFullRefresh) >= fullRefreshInterval {
		t.lastFullRefresh = sentAt
		t.table.Expire(sentAt)
		changed = t.table.All()
	}
	list := make([]dispatch.Target, len(changed))
	for i, target := range changed {
		list[i] = dispatchTarget(target)
	}
	return list
}

func dispatchTarget(t membership.Target) dispatch.Target {
	return dispatch.Target{Announcement: t.Announcement, LeaseEnd: t.Ends}
}
