package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/slots"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// TestEvacuatedDomainStartsNothing checks under random events, with evacuations that are
// started and withdrawn, that no start is requested, no task waits and no free slot is
// stated while the domain is evacuated. The invariants of the Core hold throughout.
func TestEvacuatedDomainStartsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCoreModel(t, dispatch.DefaultConfig())
		evacuated := false
		events := []func(){m.announce, m.submit, m.submit, m.endAttempt, m.endAttempt, m.cancel, m.advance, func() {
			evacuated = !evacuated
			m.core.SetEvacuated(m.now, evacuated)
		}}
		m.announce()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			wasEvacuated, starts := evacuated, m.lastStart
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			m.check()
			switch {
			case wasEvacuated && evacuated && m.lastStart != starts:
				t.Fatalf("start %d was requested in an evacuated domain", m.lastStart)
			case evacuated && (m.core.QueuedTasks() > 0 || m.core.Load(m.now).FreeSlots > 0):
				t.Fatalf("%d tasks wait and %+v is stated in an evacuated domain", m.core.QueuedTasks(), m.core.Load(m.now))
			}
		}
		m.expireAllJobs()
	})
}

// TestRunningTasksOfAnEvacuatedDomainEndNormally guards against an evacuation that stops
// running tasks, lets jobs wait for a withdrawal, or calls a job not run that has started.
func TestRunningTasksOfAnEvacuatedDomainEndNormally(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 2)
	whole, _ := sim.submit("a", "k", 1, 0)
	part, _ := sim.submit("a", "k", 2, 0)
	waiting, _ := sim.submit("a", "k", 1, 0)
	sim.core.SetEvacuated(sim.now, true)
	sim.applyEffects()
	g.Expect(sim.core.Targets()[0].UseStatus()).To(Equal("evacuated"))
	g.Expect(kindOf(sim.answers[part])).To(Equal(failure.NotPlaced))
	g.Expect(kindOf(sim.answers[waiting])).To(Equal(failure.NoTargets))
	g.Expect(sim.answers[waiting].Outcome).To(Equal(job.NotRun))
	_, err := sim.submit("a", "k", 1, 0)
	g.Expect(failure.KindOf(err)).To(Equal(failure.NoTargets))
	sim.advance(time.Second)
	g.Expect(sim.answers[whole].Outcome).To(Equal(job.Complete))
	g.Expect(sim.stops).To(BeEmpty())
	g.Expect(sim.totalStarts()).To(Equal(2))
	sim.core.SetEvacuated(sim.now, false)
	again, err := sim.submit("a", "k", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(time.Second)
	g.Expect(sim.answers[again].Outcome).To(Equal(job.Complete))
}

// TestEvacuatedDomainLendsNoSlots guards against starts by a host of the domain that has
// not learned of the evacuation yet and asks this host for its idle slots.
func TestEvacuatedDomainLendsNoSlots(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 0, 0)
	sim.core.SetPeers(sim.now, []string{"a2"})
	sim.announceTargets(1, 8)
	lent := func() (n int) {
		request := dispatch.PoolMessage{Message: slots.Message{RequestedSlots: 2, QueuedTasks: 2}}
		sim.core.Receive(sim.now, "a2", dispatch.PeerMessage{Pools: []dispatch.PoolMessage{request}})
		sim.applyEffects()
		sim.advance(20 * time.Millisecond)
		for _, m := range sim.peerMessages {
			for _, p := range m.Message.Pools {
				n += len(p.Message.LentSlots)
			}
		}
		return n
	}
	sim.core.SetEvacuated(sim.now, true)
	g.Expect(lent()).To(BeZero())
	sim.core.SetEvacuated(sim.now, false)
	g.Expect(lent()).NotTo(BeZero())
}

// specRecorder is a Spiller that completes every job and records its specification.
type specRecorder chan *job.Spec

func (r specRecorder) Spill(_ context.Context, spec *job.Spec) *job.Answer {
	r <- spec
	return &job.Answer{Outcome: job.Complete}
}

// TestWaitingJobsOfAnEvacuatedDomainAreSentOn guards against jobs that stay behind, and
// against a job that gets its whole deadline once more in the other domain.
func TestWaitingJobsOfAnEvacuatedDomainAreSentOn(t *testing.T) {
	g := NewWithT(t)
	sender, sent := stubSender{starts: new(atomic.Int32), release: make(chan struct{})}, make(specRecorder, 2)
	n := startTestLoopWith(t, "a1", sender, dispatch.DefaultConfig(), sent)
	for range 8 { // fill the slots of the only target
		go func() { _, _ = n.Submit(context.Background(), n.spec()) }()
	}
	g.Eventually(sender.starts.Load).Should(BeEquivalentTo(8))
	spec, answers := n.spec(), make(chan *job.Answer, 1)
	spec.DeadlineMS = 20_000
	go func() { answers <- n.submit(t, spec) }()
	queued := func() int { s, _ := n.Status(context.Background()); return s.QueuedTasks }
	g.Eventually(queued).Should(Equal(1))
	time.Sleep(2 * time.Millisecond)
	n.SetEvacuated(true)
	g.Expect((<-answers).Outcome).To(Equal(job.Complete))
	g.Expect((<-sent).DeadlineMS).To(BeNumerically("<", 20_000))
	g.Expect(n.submit(t, n.spec()).Outcome).To(Equal(job.Complete), "a new job")
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(8))
	close(sender.release)
}

// TestFullRingDoesNotDelayAnEvacuation guards against a start request after the host has
// learned of the evacuation while its ring was full.
func TestFullRingDoesNotDelayAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	sender := stubSender{starts: new(atomic.Int32)}
	n := newTestLoop(t, "a1", sender, dispatch.DefaultConfig(), nil)
	answers := make(chan *job.Answer, 64)
	for range cap(answers) {
		go func() {
			answer, err := n.Submit(context.Background(), n.spec())
			if err != nil {
				answer = job.ErrorAnswer(err)
			}
			answers <- answer
		}()
	}
	g.Expect(kindOf(<-answers)).To(Equal(failure.Overloaded)) // the announced target has taken one place
	n.SetEvacuated(true)
	n.run(t)
	for range cap(answers) - 1 {
		g.Expect(kindOf(<-answers)).To(Equal(failure.NoTargets))
	}
	g.Expect(sender.starts.Load()).To(BeZero())
}
