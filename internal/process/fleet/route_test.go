package fleet

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// script answers a job with one answer after another, the last one for ever.
func script(asked *[]string, answers ...scheduler.Answer) route {
	return route{
		holder: func() (string, bool) { return "old", true },
		ask: func(address string) scheduler.Answer {
			*asked = append(*asked, address)
			a := answers[min(len(*asked), len(answers))-1]
			return a
		},
		pause: func() bool { return true },
	}
}

var (
	unreachable = scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "cannot be reached"}
	handedOn    = scheduler.Answer{Outcome: scheduler.Moved, Handed: true, Holder: "new"}
)

// A new holder that cannot be reached yet must not make the job look as if it
// had not run: the caller's host would run it elsewhere beside its first run.
func TestAHandedJobWhoseHolderIsAwayIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	a := script(&asked, handedOn, unreachable).submit(scheduler.Answer{})
	g.Expect(a.Outcome).To(Equal(scheduler.Broken))
	g.Expect(a.Kind).To(Equal(failure.AnswerLost))
	g.Expect(asked[:2]).To(Equal([]string{"old", "new"}))
	g.Expect(asked).To(HaveLen(handedTries))
}

func TestAHandedJobIsAskedForUntilItsHolderAnswers(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	done := scheduler.Answer{Outcome: scheduler.Completed}
	a := script(&asked, handedOn, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, done).submit(scheduler.Answer{})
	g.Expect(a).To(Equal(done))
}

func TestAJobThatNobodyTookIsRefused(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	a := script(&asked, unreachable).submit(scheduler.Answer{})
	g.Expect(a.Outcome).To(Equal(scheduler.Refused))
	g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(asked).To(HaveLen(holderTries))
}
