package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func droppedRuns(effects []Effect) []DroppedRunEnded {
	var out []DroppedRunEnded
	for _, e := range effects {
		if d, ok := e.(DroppedRunEnded); ok {
			out = append(out, d)
		}
	}
	return out
}

func TestTheEndOfADroppedRunTellsWhenItsCallerWasLastKnownToWait(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.RecordAwaited(func(uint64) time.Time { return at(80) })
	c.RecordAwaited(func(uint64) time.Time { return at(60) })
	c.Withdraw("j", 1, at(100))
	ended := droppedRuns(c.HandleRunStopped(s.Target, s.Run, at(400)))
	g.Expect(ended).To(Equal([]DroppedRunEnded{{Target: s.Target, Run: s.Run, Evidence: EvidenceStopped, AwaitedAt: at(80)}}))

	again := starts(c.Submit(newDeskJob("k", 1), 2, at(500)))[0]
	g.Expect(droppedRuns(c.HandleRunEnded(again.Target, again.Run, EndDone, at(600)))).To(BeEmpty(), "its job was not dropped")
}
