package fleet_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/standin/relay"
)

const (
	resendDelay = 1300 * time.Millisecond // between a lost answer and the caller's next attempt
	longRun     = 4 * time.Second         // longer than it takes to give up and to send again
)

// forwardAbroad starts the hosts of two domains, of which only the far one has targets, and
// submits a job at home. It returns once the job's task runs in the far domain.
func (f *fixture) forwardAbroad(ctx context.Context, j scheduler.Job) (home *runningNode, toFar *relay.Relay, answer chan scheduler.Answer) {
	f.t.Helper()
	f.relayed = true
	f.start("disk", "east")
	home, far := f.start("home", "north"), f.start("far", "south")
	f.activateCatalog("home", "far")
	f.announce(far, "south", 1)
	f.g.Eventually(func() bool { return home.Holds("north") && far.Holds("south") && home.FreeTasksOf("south") > 0 }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	answer = make(chan scheduler.Answer, 1)
	go func() { answer <- home.Submit(ctx, j) }()
	f.g.Eventually(func() int { return f.runsOn("south-0") }, testTimeout, time.Millisecond).Should(Equal(1))
	return home, f.relays[2], answer
}

// runsOn returns the number of runs in progress on a target.
func (f *fixture) runsOn(target string) int {
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.targets.endExpired(target)
	return len(f.targets.get(target).running)
}

// startsAtHome gives the home domain a target, submits a job there and waits until its task
// has started there, too.
func (f *fixture) startsAtHome(home *runningNode, j scheduler.Job) {
	f.t.Helper()
	f.announce(home, "north", 1)
	f.g.Eventually(func() int { return home.FreeTasksOf("north") }, testTimeout, time.Millisecond).Should(BeNumerically(">", 0))
	f.submitLater(home, j)
	f.g.Eventually(func() int { return f.runsOn("north-0") }, testTimeout, 5*time.Millisecond).Should(Equal(1))
}

func (f *fixture) noneOverlapped() {
	f.t.Helper()
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.g.Expect(f.targets.overlapping).To(BeEmpty(), "two runs of a task were in progress at once")
}

// The cancellation of a job is lost with the connection that it was forwarded over, while
// new connections work.
func TestAJobThatItsSenderGaveUpRunsOnAtTheHolder(t *testing.T) {
	t.Parallel()
	for name, callerLeaves := range map[string]bool{"no answer": false, "the caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, longRun)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			home, toFar, answer := f.forwardAbroad(ctx, job("moved", 1))
			toFar.Silence()
			if callerLeaves {
				leave()
			}
			var a scheduler.Answer
			f.g.Eventually(answer, testTimeout).Should(Receive(&a))
			f.g.Expect(a.Outcome).To(Equal(scheduler.Broken), a.Reason)
			time.Sleep(resendDelay)
			f.startsAtHome(home, job("moved", 1))
			f.noneOverlapped()
		})
	}
}
