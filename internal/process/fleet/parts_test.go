package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// startSplitDomain starts hosts of a domain that is split into two pools of about 18
// targets with 4 places each, and waits until each pool has most of its places free.
func (f *fixture) startSplitDomain(names ...string) {
	f.t.Helper()
	f.start("disk", "south")
	for _, name := range names {
		f.start(name, "north")
	}
	f.activateCatalog(names...)
	warmUps := 0
	f.g.Eventually(func() bool {
		ready := true
		for _, name := range names {
			n := f.nodes[name]
			f.announce(n, "north", splitTargets)
			free := n.FreeTasksOf(firstPool) + n.FreeTasksOf(secondPool)
			if ready = ready && free == 4*splitTargets && n.TakesParts(firstPool) && n.TakesParts(secondPool); free > 4*splitTargets {
				warmUps++ // a pool learns the size of a task from its jobs
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				n.Submit(ctx, job(fmt.Sprint("warm-up", warmUps), 1))
				cancel()
			}
		}
		return ready && f.running()[firstPool]+f.running()[secondPool] == 0
	}, testTimeout, 50*time.Millisecond).Should(BeTrue())
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	clear(f.targets.starts)
}

const (
	splitTargets = 36
	firstPool    = "north"
	secondPool   = "north#1"
)

func poolOf(target string) string {
	return shards.Pool{Domain: "north", Shard: shards.ShardOf(target, 2)}.String()
}

// running returns the number of runs in progress on the targets of each pool.
func (f *fixture) running() map[string]int {
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	out := map[string]int{}
	for id, target := range f.targets.byID {
		f.targets.endExpired(id)
		out[poolOf(id)] += len(target.running)
	}
	return out
}

// holderOf returns the host that holds a pool.
func (f *fixture) holderOf(pool string) *runningNode {
	for _, n := range f.nodes {
		if n.Holds(pool) {
			return n
		}
	}
	f.t.Fatalf("nobody holds %s", pool)
	return nil
}

// wideJob returns a job that needs more than the larger pool has free.
func wideJob(n *runningNode) scheduler.Job {
	return job("wide", max(n.FreeTasksOf(firstPool), n.FreeTasksOf(secondPool))+1)
}

// runInParts submits a job at a host and waits until all its tasks run, in both pools.
func (f *fixture) runInParts(caller *runningNode, j scheduler.Job) <-chan scheduler.Answer {
	f.t.Helper()
	answer := f.submitLater(caller, j)
	f.g.Eventually(func() (int, error) {
		select {
		case a := <-answer:
			return 0, StopTrying(fmt.Sprintf("the job was answered %v before its tasks ran: %s", a.Outcome, a.Reason))
		default:
			return f.running()[firstPool] + f.running()[secondPool], nil
		}
	}, testTimeout, 5*time.Millisecond).Should(Equal(j.TaskCount()))
	f.g.Expect(f.running()).To(HaveEach(BeNumerically(">", 0)))
	return answer
}

// noneTwiceAtOnce checks that each task of a job has started, none twice at once. On a busy
// machine a start that is answered late is given up and follows again.
func (f *fixture) noneTwiceAtOnce(j scheduler.Job) {
	f.t.Helper()
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.g.Expect(f.targets.starts).To(HaveLen(j.TaskCount()))
	f.g.Expect(f.targets.overlapping).To(BeEmpty())
}

// The holder of one part stops without a hand-over. The job is broken, which its caller
// learns at once, and the other part does not run on.
func TestAJobIsBrokenWhenTheHolderOfAPartIsLost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 20*time.Second)
	f.lease = 500 * time.Millisecond
	f.startSplitDomain("a", "b", "c")
	lost := f.holderOf(secondPool)
	var caller *runningNode
	for _, n := range []*runningNode{f.nodes["a"], f.nodes["b"], f.nodes["c"]} {
		if n != lost && !n.Holds(firstPool) {
			caller = n
		}
	}
	j := wideJob(caller)
	answer := f.runInParts(caller, j)
	lost.stop()
	var a scheduler.Answer
	f.g.Eventually(answer, testTimeout).Should(Receive(&a))
	f.g.Expect(a.Outcome).To(Equal(scheduler.Broken), a.Reason)
	f.g.Eventually(f.running, 10*time.Second, 10*time.Millisecond).Should(HaveEach(0), "the runs take 20 s unless they are stopped")
	f.noneTwiceAtOnce(j)
}

// The host of a pool stops and hands the pool with its part over, to a host that it knows
// from the lists of others only: the job goes on.
func TestAPartMovesWithItsPool(t *testing.T) {
	t.Parallel()
	f := newFixture(t, time.Second)
	f.lease = testTimeout
	f.startSplitDomain("a", "b", "c")
	leaving := f.holderOf(secondPool)
	var caller *runningNode
	for _, n := range []*runningNode{f.nodes["a"], f.nodes["b"], f.nodes["c"]} {
		if n != leaving {
			caller = n
		}
	}
	j := wideJob(caller)
	answer := f.runInParts(caller, j)
	leaving.ForgetPartsAccepted()
	leaving.Leave(context.Background())
	var a scheduler.Answer
	f.g.Eventually(answer, testTimeout).Should(Receive(&a))
	f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), a.Reason)
	f.noneTwiceAtOnce(j)
}
