package host

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/membership"
)

// targetTable shares a membership.Targets among the exchanges. It remembers
// which question to each peer is open, so that an answer is merged with the
// instant at which its question was sent.
type targetTable struct {
	mu      sync.Mutex
	table   *membership.Targets
	last    uint64
	open    map[string]question                   // by peer
	cursors map[string]*membershippb.TargetCursor // the last cursor of each peer, nil when answered
	asked   map[string]uint64                     // the question that came with it
}

// question is the last question sent to a peer.
type question struct {
	id   uint64
	sent time.Time
}

func newTargetTable(config membership.TargetsConfig) *targetTable {
	return &targetTable{
		table:   membership.NewTargets(config),
		open:    make(map[string]question),
		cursors: make(map[string]*membershippb.TargetCursor),
		asked:   make(map[string]uint64),
	}
}

// announce takes in an announcement received at now.
func (t *targetTable) announce(now time.Time, a wire.Announcement) (dispatch.Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.table.Announce(now, a); err != nil {
		return dispatch.Target{}, err
	}
	held, _ := t.table.Get(a.Target)
	return toDispatch(held), nil
}

// fill adds the question to peer and the answer to its last question.
func (t *targetTable) fill(now time.Time, peer string, m *peerpb.ExchangeMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.open[peer] = question{t.last, now}
	m.Question = t.last
	m.Cursor = t.table.Cursor(peer)
	if cursor := t.cursors[peer]; cursor != nil {
		m.Delta = t.table.Delta(now, cursor)
		m.Answered = t.asked[peer]
		t.cursors[peer] = nil
	}
}

// merge takes in a peer's question and its answer to the open one, and returns
// all targets if the table may have changed.
func (t *targetTable) merge(now time.Time, m *peerpb.ExchangeMessage) []dispatch.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := m.GetHost()
	t.cursors[peer] = m.GetCursor()
	t.asked[peer] = m.GetQuestion()
	q, ok := t.open[peer]
	if !ok || m.GetDelta() == nil || m.GetAnswered() != q.id {
		return nil
	}
	delete(t.open, peer)
	t.table.Merge(peer, q.sent, m.GetDelta())
	t.table.Expire(now)
	all := t.table.All()
	list := make([]dispatch.Target, len(all))
	for i, held := range all {
		list[i] = toDispatch(held)
	}
	return list
}

func toDispatch(t membership.Target) dispatch.Target {
	return dispatch.Target{Announcement: t.Announcement, LeaseEnd: t.Ends}
}
