package host

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/membership"
)

// targetTable guards a membership.Targets for concurrent use.
type targetTable struct {
	mu              sync.Mutex
	table           *membership.Targets
	lastFullRefresh time.Time // when merge last returned all targets
}

func newTargetTable(config membership.TargetsConfig) *targetTable {
	return &targetTable{table: membership.NewTargets(config)}
}

// announce records an announcement received at now and returns the target. Its
// errors are those of membership.Targets.Announce.
func (t *targetTable) announce(now time.Time, a wire.Announcement) (dispatch.Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.table.Announce(now, a); err != nil {
		return dispatch.Target{}, err
	}
	target, _ := t.table.Get(a.Target)
	return dispatchTarget(target), nil
}

// cursor returns the position up to which peer's table is merged, to request a
// delta from there.
func (t *targetTable) cursor(peer string) *membershippb.TargetCursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Cursor(peer)
}

// delta returns what changed in this host's table since a peer's cursor.
func (t *targetTable) delta(now time.Time, cursor *membershippb.TargetCursor) *membershippb.TargetDelta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Delta(now, cursor)
}

// fullRefreshInterval is the time between two merges that return all targets, so
// that a change that the loop's full ring rejected is not lost.
const fullRefreshInterval = time.Second

// merge merges peer's delta, the response to a request sent at sentAt. It
// returns the targets that changed or, once per fullRefreshInterval, all
// targets after those that expired long ago are removed.
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
	return dispatch.Target{Announcement: t.Announcement, LeaseEnd: t.LeaseEndsAt}
}
