package fleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// splitTest is a domain of which this host counts the targets, without other hosts.
type splitTest struct {
	node *Node
	pool *pool
	now  time.Time
	ids  []string // of the targets that announce themselves
}

// newSplitTest returns a domain with 117 targets in 4 shards, whose host is past its
// start phase.
func newSplitTest(t *testing.T) *splitTest {
	t.Helper()
	n, err := New(Config{Self: discovery.Host{Address: "self", Domain: "north"}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil)})
	if err != nil {
		t.Fatal(err)
	}
	s := &splitTest{node: n, now: time.Now()}
	for i := range 117 {
		s.ids = append(s.ids, fmt.Sprint("old-", i))
	}
	s.pool = newPool(n, shards.Pool{Domain: "north"})
	s.announce(nil)
	s.pool.splitIfLarge(s.now)
	s.now = n.startedAt.Add(startPhase)
	return s
}

// announce sends the announcements of all targets, as draining for the given ones.
func (s *splitTest) announce(draining map[string]bool) {
	for _, id := range s.ids {
		s.node.announcements.record(Announcement{
			Target:   scheduler.Target{ID: id, Address: id, Domain: "north", Incarnation: 1, Draining: draining[id]},
			Sequence: uint64(s.now.UnixMilli()), ReceivedAt: s.now,
		})
	}
}

// play counts the targets for some time, in which they announce themselves each second.
func (s *splitTest) play(duration time.Duration, draining map[string]bool) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(targetCountInterval) {
		if s.now.UnixMilli()%1000 < targetCountInterval.Milliseconds() {
			s.announce(draining)
		}
		s.pool.splitIfLarge(s.now)
	}
}

// A rolling replacement of a third of the targets makes 156 targets known for 5 s, of
// which 117 remain. It must not split the domain, as a split is never undone.
func TestAReplacementOfTargetsDoesNotSplitTheDomain(t *testing.T) {
	for name, announced := range map[string]bool{"leaving targets drain": true, "leaving targets are lost": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSplitTest(t)
			g.Expect(s.node.shardCount("north")).To(Equal(4))
			leaving := map[string]bool{}
			for i := range 39 {
				leaving[fmt.Sprint("old-", i)] = true
				s.ids = append(s.ids, fmt.Sprint("new-", i))
			}
			if announced {
				s.play(15*time.Second, leaving) // longer than any delay: only the draining state shows it
			}
			s.ids = s.ids[39:]
			s.play(15*time.Second, nil)
			g.Expect(s.node.shardCount("north")).To(Equal(4))
		})
	}
}

// A domain that stays too large is split, also after the start phase of its host.
func TestADomainThatStaysTooLargeIsSplit(t *testing.T) {
	g := NewWithT(t)
	s := newSplitTest(t)
	for i := range 4 {
		s.ids = append(s.ids, fmt.Sprint("more-", i))
	}
	s.play(5*time.Second, nil)
	g.Expect(s.node.shardCount("north")).To(Equal(4))
	s.play(3*time.Second, nil)
	g.Expect(s.node.shardCount("north")).To(Equal(8))
}
