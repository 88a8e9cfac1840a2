package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

func evacuated(domain string) evacuation.Set { return evacuation.Set(nil).Start(domain, time.Now()) }

// Jobs that are being handed over belong to the new holder already. If the former one
// answered them for an evacuation, they could run at both.
func TestAnEvacuationDuringAHandoverLeavesTheJobsToTheNewHolder(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.waiters[1] = waiter{jobID: "j", answer: make(chan<- scheduler.Answer, 1)}
	p.handingOver = true
	p.node.evacuations.apply(evacuated("north"), now)
	evacuationsEvent{}.apply(p, now)
	g.Expect(p.core.Evacuated()).To(BeFalse())
	p.handingOver = false
	p.takeOver(now, "the handover was refused")
	g.Expect(p.core.Evacuated()).To(BeTrue())
}

// A host that claims a pool long after it has received an evacuation must not start the
// grace period again.
func TestTheGracePeriodBeginsWhenTheHostReceivesTheEvacuation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	p.node.config.EvacuateWithin = 3 * time.Second
	p.core = p.newCore()
	now := time.Now()
	p.node.evacuations.apply(evacuated("north"), now.Add(-2*time.Second))
	p.holderView.AcceptHandover(6, now)
	p.takeOver(now, "test")
	job := scheduler.HandoverJob{Job: handoverTestJob("j", now), HasStarted: true, AwaitedAt: now, Tasks: []scheduler.HandoverTask{{Index: 0, LastRunNumber: 1}, {Index: 1}}}
	target := newTestAnnouncement(now)
	p.handleAnnouncement(target, now)
	p.applyEffects(p.core.SetClearing(target.Target.ID, false, now), now)
	g.Expect(p.core.ImportJobs([]scheduler.HandoverJob{job}, now)).To(BeEmpty(), "a task was started after the grace period")
}

func newTestAnnouncement(now time.Time) Announcement {
	return Announcement{ReceivedAt: now, Sequence: 1, Target: scheduler.Target{
		ID: "t", Service: "desk", Address: "127.0.0.1:9", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 16000},
	}}
}

// An entry host of a large system receives messages from holders of other domains every 2 s or less
// often. While its domain is evacuated it sends them its jobs, by their loads.
func TestHoldersOfOtherDomainsAreHeardFromOftenDuringAnEvacuation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n, now := newLargeTestNode(t)
	g.Expect(n.helloInterval("e1")).To(BeNumerically(">", helloFarInterval))
	n.evacuations.apply(evacuated("d0"), now.Add(-evacuationHelloSettle))
	g.Expect(n.helloInterval("e1")).To(Equal(helloEntryInterval))
	g.Expect(n.helloInterval("e5")).To(BeNumerically(">", helloFarInterval), "it holds no pool")
	n.mu.Lock()
	h, _, _ := n.hostTable.Get("e1", now)
	window := n.aliveWindow(h)
	n.mu.Unlock()
	g.Expect(window).To(Equal(aliveTimeout))
}

// A host that has just restarted must not run a job of another host before it knows
// whether its domain is evacuated.
func TestARestartedHostRunsNothingBeforeItKnowsTheEvacuations(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	n := p.node
	n.pools[p.name] = p
	n.config.EvacuateWithin = 5 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	a := n.submitLocally(ctx, p.name, handoverTestJob("j", now), "")
	g.Expect(a.Outcome).To(Equal(scheduler.Moved))
	n.evacuations.apply(nil, now)
	a = n.submitLocally(ctx, p.name, handoverTestJob("j", now), "")
	g.Expect(a.Kind).To(Equal(failure.CancelledRunning), "the pool has the job, which no goroutine handles in this test")
}

// A request that waited in the buffers of a suspended machine is read when it resumes.
func TestAHostThatHasJustResumedAcceptsNoEvacuationRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	start := time.Now()
	w := newPauseWatch(start)
	g.Expect(w.justResumed(start.Add(pauseThreshold))).To(BeFalse())
	resumed := start.Add(2*pauseThreshold + time.Millisecond)
	g.Expect(w.justResumed(resumed)).To(BeTrue(), "the request is read before the first beat")
	g.Expect(w.justResumed(resumed.Add(resumePhase - 1))).To(BeTrue())
	g.Expect(w.justResumed(resumed.Add(resumePhase))).To(BeFalse())
}
