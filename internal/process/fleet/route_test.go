package fleet

import (
	"testing"
	"time"

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
		tries: 5,
	}
}

var (
	unreachable = scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "cannot be reached"}
	handedOn    = scheduler.Answer{Outcome: scheduler.Moved, HandedOver: true, Holder: "new"}
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
	g.Expect(asked).To(HaveLen(5))
}

// Jobs that come while the hosts start wait for a holder for a part of the time that
// they have, and are refused while there is time to serve them elsewhere.
func TestAJobWaitsForAHolderForAPartOfItsObjective(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	j := scheduler.Job{
		ArrivedAt: now, SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond,
		Steps: []scheduler.Step{{Count: 2, Estimate: 200 * time.Millisecond}},
	}
	tries := func(age time.Duration) time.Duration {
		return time.Duration(holderTries(j, now.Add(age))) * holderPause
	}
	g.Expect(tries(0)).To(BeNumerically("~", j.Objective()/4, holderPause))
	g.Expect(tries(50 * time.Millisecond)).To(BeNumerically("~", j.Objective()/4-50*time.Millisecond, holderPause))
	g.Expect(holderTries(j, now.Add(time.Second))).To(Equal(2))
	j.Steps[0].Estimate = 900 * time.Millisecond
	g.Expect(tries(0)).To(BeNumerically(">", 300*time.Millisecond))
}
