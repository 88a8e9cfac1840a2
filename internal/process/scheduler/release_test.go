package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAStartTellsWhatTheFormerRunWasTakenForOverBy(t *testing.T) {
	over := map[Evidence]func(c *Core, s Start, now time.Time) []Effect{
		EvidenceReported: func(c *Core, s Start, now time.Time) []Effect {
			return c.HandleRunEnded(s.Target, s.Run, EndFailed, now)
		},
		EvidenceStopped: func(c *Core, s Start, now time.Time) []Effect {
			c.HandleStartResult(s.Target, s.Run, Unanswered, now)
			return c.HandleRunStopped(s.Target, s.Run, now)
		},
		EvidenceRefused: func(c *Core, s Start, now time.Time) []Effect {
			return c.HandleStartResult(s.Target, s.Run, NoRoom, now)
		},
		EvidenceLease: func(c *Core, s Start, now time.Time) []Effect { return c.ExpireLeases(s.Target, now) },
	}
	for evidence, end := range over {
		t.Run(evidence.String(), func(t *testing.T) {
			g := NewWithT(t)
			c := newCore(2)
			first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
			g.Expect(first.Former).To(Equal(Release{}))
			second := starts(end(c, first, at(10)))
			g.Expect(second).To(HaveLen(1))
			g.Expect(second[0].Former).To(Equal(Release{Target: first.Target, Evidence: evidence, At: at(10)}))
		})
	}
}
