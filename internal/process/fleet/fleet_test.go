package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// submit submits a job until the host knows a holder and targets for it.
func (f *fixture) submit(to *runningNode, j scheduler.Job) scheduler.Answer {
	var a scheduler.Answer
	f.g.Eventually(func() failure.Kind {
		a = to.Submit(context.Background(), j)
		return a.Kind
	}, testTimeout, 20*time.Millisecond).ShouldNot(Or(Equal(failure.NoTargets), Equal(failure.NotReady)))
	return a
}

func (f *fixture) holderAndOther() (holder, other *runningNode) {
	a, b := f.nodes["a"], f.nodes["b"]
	f.g.Eventually(func() bool { return a.Holds("north") || b.Holds("north") }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	if a.Holds("north") {
		return a, b
	}
	return b, a
}

// startNorth starts two hosts of one domain that know a number of its targets.
func (f *fixture) startNorth(targets int) {
	f.t.Helper()
	f.start("a", "north")
	f.start("b", "north")
	f.activateCatalog("a", "b")
	f.announce(f.nodes["a"], "north", targets)
	f.announce(f.nodes["b"], "north", targets)
}

func TestAnyHostOfADomainRunsAJob(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 20*time.Millisecond)
	f.startNorth(3)
	for i, name := range []string{"a", "b"} {
		a := f.submit(f.nodes[name], job(fmt.Sprint("job", i), 4))
		f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), a.Reason)
	}
	f.g.Expect(f.targets.starts).To(HaveLen(8))
	f.g.Expect(f.targets.starts).To(HaveEach(1))
}

// A holder that stops hands its jobs over: each is answered once, and no task is
// started a second time.
func TestAHolderThatStopsHandsItsJobsOver(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 300*time.Millisecond)
	f.startNorth(4)
	holder, other := f.holderAndOther()
	f.g.Expect(f.submit(holder, job("first", 1)).Outcome).To(Equal(scheduler.Completed))
	f.g.Eventually(func() bool { return f.knowEachOther(other, holder) }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	var wait sync.WaitGroup
	answers := make([]scheduler.Answer, 6)
	for i := range answers {
		from := []*runningNode{holder, other}[i%2]
		wait.Go(func() { answers[i] = from.Submit(context.Background(), job(fmt.Sprint("job", i), 2)) })
	}
	time.Sleep(100 * time.Millisecond) // most tasks are running; it does not matter which
	holder.Leave(context.Background())
	wait.Wait()
	for _, a := range answers {
		f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), a.Reason)
	}
	f.g.Expect(other.Holds("north")).To(BeTrue())
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.g.Expect(f.targets.overlapping).To(BeEmpty())
	f.g.Expect(f.targets.starts).To(HaveEach(1))
}

// knowEachOther reports whether each of two hosts knows another host.
func (f *fixture) knowEachOther(a, b *runningNode) bool {
	return len(a.Hosts()) > 0 && len(b.Hosts()) > 0
}

// The only host of a domain stops: a host of another domain takes over its pool and
// jobs.
func TestAnotherDomainTakesThePoolOfTheLastHost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 300*time.Millisecond)
	f.start("a", "south")
	f.start("b", "north")
	f.activateCatalog("a", "b")
	f.announce(f.nodes["a"], "south", 1)
	f.announce(f.nodes["b"], "north", 2)
	north := f.nodes["b"]
	f.g.Expect(f.submit(north, job("first", 1)).Outcome).To(Equal(scheduler.Completed))
	answer := make(chan scheduler.Answer, 1)
	go func() { answer <- north.Submit(context.Background(), job("second", 2)) }()
	time.Sleep(100 * time.Millisecond)
	north.Leave(context.Background())
	f.g.Expect((<-answer).Outcome).To(Equal(scheduler.Completed))
	f.g.Expect(f.nodes["a"].Holds("north")).To(BeTrue())
	f.g.Expect(f.targets.starts).To(HaveEach(1))
}

// A job that was handed over while it ran must not be refused when the new holder
// cannot be reached: it may have run.
func TestAHandedOverJobIsNotRefused(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 5*time.Second)
	f.startNorth(2)
	holder, other := f.holderAndOther()
	f.g.Eventually(func() bool { return f.knowEachOther(other, holder) }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	answer := make(chan scheduler.Answer, 1)
	go func() { answer <- f.submit(holder, job("second", 1)) }()
	f.g.Eventually(func() int {
		f.targets.mu.Lock()
		defer f.targets.mu.Unlock()
		return len(f.targets.starts)
	}, testTimeout, 5*time.Millisecond).Should(Equal(1))
	holder.Leave(context.Background())
	other.stop()
	a := <-answer
	f.g.Expect(a.Outcome).To(Equal(scheduler.Broken), a.Reason)
}

// A holder that is killed and restarts before the others notice has lost its claim,
// while the others still know the claim and see its holder alive. Another host must be
// able to take the pool.
func TestTheClaimOfARestartedHolderIsDropped(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 10*time.Millisecond)
	f.start("disk", "south")
	f.start("a", "north")
	f.start("b", "north")
	f.activateCatalog("a", "b")
	holder, other := f.holderAndOther()
	f.g.Eventually(func() bool { return len(holder.Hosts()) == 2 && len(other.Hosts()) == 2 }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	// The pool goes to the host that is not the first candidate.
	name := map[*runningNode]string{f.nodes["a"]: "a", f.nodes["b"]: "b"}
	holder.Leave(context.Background())
	f.g.Eventually(func() bool { return other.Holds("north") }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	holder.stop()
	first := f.startAt(name[holder], "north", holder.address)
	f.g.Eventually(func() bool { return len(first.Hosts()) == 2 && !first.Holds("north") && other.Holds("north") }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	time.Sleep(500 * time.Millisecond) // the first host receives the claim
	other.stop()
	second := f.startAt(name[other], "north", other.address)
	f.g.Eventually(func() bool { return first.Holds("north") || second.Holds("north") }, 10*time.Second, 20*time.Millisecond).Should(BeTrue(), "nobody holds the pool")
}

// The holder of a domain's only pool is killed. Until another host holds the pool, the
// jobs of the domain's callers go to a domain that has free capacity.
func TestJobsGoToAnotherDomainWhileTheirOwnHasNoHolder(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 10*time.Millisecond)
	far := f.start("far", "south")
	f.start("a", "north")
	f.start("b", "north")
	f.activateCatalog("far", "a", "b")
	f.announce(far, "south", 4)
	for _, name := range []string{"a", "b"} {
		f.announce(f.nodes[name], "north", 4)
	}
	holder, other := f.holderAndOther()
	f.g.Expect(f.submit(far, job("first", 1)).Outcome).To(Equal(scheduler.Completed))
	f.g.Expect(f.submit(other, job("second", 1)).Outcome).To(Equal(scheduler.Completed))
	f.g.Eventually(func() int { return other.FreeTasksOf("south") }, testTimeout, 5*time.Millisecond).Should(BeNumerically(">", 1))
	holder.stop()
	f.g.Eventually(func() bool { return other.Reaches(holder.address) }, testTimeout, time.Millisecond).Should(BeFalse())
	j := job("third", 1)
	j.TargetLatency = 100 * time.Millisecond
	a := other.Submit(context.Background(), j)
	f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), a.Reason)
}
