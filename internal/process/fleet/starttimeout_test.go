package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

func TestTheStartTimeoutFollowsTheAnswerTimes(t *testing.T) {
	g := NewWithT(t)
	var s startTimeout
	g.Expect(s.get()).To(Equal(maxStartTimeout), "before the first answer")
	observe := func(count int, took time.Duration) {
		for range count {
			s.observe(took)
		}
	}
	observe(20, 3*time.Millisecond)
	g.Expect(s.get()).To(Equal(minStartTimeout))
	// One of twenty requests stays unanswered. The others still find a short timeout.
	s.observeUnanswered(s.get())
	observe(19, 3*time.Millisecond)
	g.Expect(s.get()).To(Equal(minStartTimeout))
	// All answers are slower than the timeout, as on a host without processor time.
	for s.get() < 120*time.Millisecond {
		s.observeUnanswered(s.get())
	}
	observe(100, 100*time.Millisecond)
	g.Expect(s.get()).To(BeNumerically(">=", 100*time.Millisecond))
	s.observe(time.Minute)
	g.Expect(s.get()).To(Equal(maxStartTimeout))
}

// A stop confirms that a run cannot start later. Its task may wait again at once only if
// the target lists the run neither as running nor as ended.
func TestAStoppedRunIsAbsentOnlyIfTheTargetDoesNotListIt(t *testing.T) {
	g := NewWithT(t)
	run, other := scheduler.Run{Job: "j", Number: 1}, scheduler.Run{Job: "j", Number: 2}
	g.Expect(TargetReport{}.lists(run)).To(BeFalse())
	g.Expect(TargetReport{Running: []RunningRun{{Run: other}}, Ended: []EndedRun{{Run: other}}}.lists(run)).To(BeFalse())
	g.Expect(TargetReport{Running: []RunningRun{{Run: run}}}.lists(run)).To(BeTrue())
	g.Expect(TargetReport{Ended: []EndedRun{{Run: run}}}.lists(run)).To(BeTrue())
}
