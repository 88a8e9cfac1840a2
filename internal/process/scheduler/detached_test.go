package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newCoreWithoutTarget returns a core with two targets, and a run on the one that was removed
// while a lease of a second was in force.
func newCoreWithoutTarget(cause LossCause) (*Core, Start, []Effect) {
	c := newCore(2)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	return c, first, c.RemoveTarget(first.Target, cause, time.Second, at(100))
}

// That a target is said to be gone does not end its runs.
func TestTheTasksOfARemovedTargetWaitUntilItsLeasesHaveExpired(t *testing.T) {
	for _, cause := range []LossCause{TargetLeft, TargetReplaced, TargetMoved} {
		g := NewWithT(t)
		c, _, effects := newCoreWithoutTarget(cause)
		g.Expect(starts(effects)).To(BeEmpty(), cause.String())
		g.Expect(starts(c.Tick(at(1099)))).To(BeEmpty(), cause.String())
		effects = c.Tick(at(1100))
		g.Expect(starts(effects)).To(HaveLen(1), cause.String())
		for _, e := range effects {
			g.Expect(e).NotTo(BeAssignableToTypeOf(RunLost{}), "the loss is reported twice")
		}
	}
}

func TestATargetThatIsKnownAgainTakesItsRunsOver(t *testing.T) {
	g := NewWithT(t)
	c, first, _ := newCoreWithoutTarget(TargetLeft)
	known := newDeskTarget(0)
	known.ID = first.Target
	g.Expect(starts(c.UpdateTarget(known, true, at(200)))).To(BeEmpty())
	g.Expect(c.RunCount(first.Target)).To(Equal(1))
	g.Expect(starts(c.Tick(at(1500)))).To(BeEmpty(), "started while its run goes on")
	g.Expect(replies(c.HandleRunEnded(first.Target, first.Run, EndDone, at(1600)))).To(HaveLen(1))
}

// The caller leaves while the target is said to be gone: nobody would stop the run.
func TestARunThatWasBeingStoppedIsStoppedAgainOnceItsTargetIsKnown(t *testing.T) {
	g := NewWithT(t)
	c, first, _ := newCoreWithoutTarget(TargetLeft)
	c.Withdraw("j", 7, at(150))
	known := newDeskTarget(0)
	known.ID = first.Target
	g.Expect(stops(c.UpdateTarget(known, true, at(200)))).To(HaveLen(1))
}

func TestARunOfARemovedTargetIsStoppedOnceAtItsNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	c, first, _ := newCoreWithoutTarget(TargetLeft)
	known := newDeskTarget(0)
	known.ID, known.Incarnation = first.Target, 2
	effects := c.UpdateTarget(known, true, at(200))
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(starts(c.HandleRunStopped(first.Target, first.Run, at(250)))).To(HaveLen(1))
}

// A target announces another address while a start is not answered and a stop not confirmed.
// The answers were lost with the session, and the run stayed with the target for good.
func TestTheRequestsOfARunAreResumedWhenItsTargetChangesItsAddress(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	run := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0].Run
	moved := newDeskTarget(0)
	moved.Address = "another"
	c.UpdateTarget(moved, true, at(10))
	unlisted := c.StopUnlisted(moved.ID, nil, at(1000))
	g.Expect(stops(unlisted)).To(HaveLen(1), "a start that was lost")
	moved.Address = "yet another"
	g.Expect(stops(c.UpdateTarget(moved, true, at(1010)))).To(HaveLen(1), "a stop that was lost")
	g.Expect(starts(c.HandleRunStopped(moved.ID, run, at(1020)))).To(BeEmpty(), "runs of a former holder may be there")
	g.Expect(starts(c.SetClearing(moved.ID, false, at(1030)))).To(HaveLen(1))
}
