package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// scriptedRoute returns a route whose holders give one answer after another, then the
// last one forever. The addresses asked are appended to asked.
func scriptedRoute(asked *[]string, answers ...scheduler.Answer) route {
	return route{
		findHolder: func() (string, bool) { return "old", true },
		submitTo: func(address string, _ bool) scheduler.Answer {
			*asked = append(*asked, address)
			a := answers[min(len(*asked), len(answers))-1]
			return a
		},
		pause:    func() bool { return true },
		maxTries: 5,
	}
}

var (
	unreachable = scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "cannot be reached"}
	handedOver  = scheduler.Answer{Outcome: scheduler.Moved, HandedOver: true, Holder: "new"}
)

// A new holder that cannot be reached yet must not make the job look as if it had not
// run: the caller's host would run it elsewhere concurrently with its first run.
func TestAHandedOverJobWhoseHolderIsUnreachableIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	a := scriptedRoute(&asked, handedOver, unreachable).submit(scheduler.Answer{})
	g.Expect(a.Outcome).To(Equal(scheduler.Broken))
	g.Expect(a.Kind).To(Equal(failure.AnswerLost))
	g.Expect(asked[:2]).To(Equal([]string{"old", "new"}))
	g.Expect(asked).To(HaveLen(handedOverTries))
}

func TestAHandedOverJobIsRetriedUntilItsHolderAnswers(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	done := scheduler.Answer{Outcome: scheduler.Completed}
	a := scriptedRoute(&asked, handedOver, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, done).submit(scheduler.Answer{})
	g.Expect(a).To(Equal(done))
}

func TestAJobThatNoHolderAcceptedIsRefused(t *testing.T) {
	g := NewWithT(t)
	var asked []string
	a := scriptedRoute(&asked, unreachable).submit(scheduler.Answer{})
	g.Expect(a.Outcome).To(Equal(scheduler.Refused))
	g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(asked).To(HaveLen(5))
}

// Jobs that arrive while the hosts start wait for a holder for a part of their
// objective, and are refused while there is time to serve them elsewhere.
func TestAJobWaitsForAHolderForAQuarterOfItsObjective(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	j := scheduler.Job{
		ArrivedAt: now, SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond,
		Steps: []scheduler.Step{{Count: 2, Estimate: 200 * time.Millisecond}},
	}
	tries := func(age time.Duration) time.Duration {
		return time.Duration(holderMaxTries(j, now.Add(age))) * holderPollInterval
	}
	g.Expect(tries(0)).To(BeNumerically("~", j.Objective()/4, holderPollInterval))
	g.Expect(tries(50 * time.Millisecond)).To(BeNumerically("~", j.Objective()/4-50*time.Millisecond, holderPollInterval))
	g.Expect(holderMaxTries(j, now.Add(time.Second))).To(Equal(2))
	j.Steps[0].Estimate = 900 * time.Millisecond
	g.Expect(tries(0)).To(BeNumerically(">", 300*time.Millisecond))
}
