package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
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

// startLoad plays requests to a pool of 48 targets, one of which answers none. An answer
// of the others takes 4 ms, or as long as the queue on the host's own link. It returns
// how many requests were given up early: of the silent target, and of the others.
func startLoad(s *startTimeout, requests int, queue func(i int) time.Duration) (silent, spurious int) {
	for i := range requests {
		isSilent, took := i%48 == 0, 4*time.Millisecond+queue(i)
		s.recordRequest()
		timeout := s.get()
		switch {
		case isSilent:
			givenUp := timeout < maxStartTimeout && s.tryGiveUp()
			if givenUp {
				silent++
			}
			s.observeAnswer(scheduler.Unanswered, maxStartTimeout, timeout, givenUp)
		default:
			givenUp := took > timeout && timeout < maxStartTimeout && s.tryGiveUp()
			if givenUp {
				spurious++
			}
			s.observeAnswer(scheduler.Started, took, timeout, givenUp)
		}
	}
	return silent, spurious
}

func TestASlowLinkDoesNotMultiplyStarts(t *testing.T) {
	g := NewWithT(t)
	const requests = 4800
	var s startTimeout
	_, spurious := startLoad(&s, requests, func(i int) time.Duration {
		if i%20 == 7 {
			return 200 * time.Millisecond
		}
		return 0
	})
	g.Expect(spurious).To(BeNumerically("<=", requests/100+5), "more than one in a hundred starts was needless")
}

func TestASilentTargetIsReplacedEarlyWhileTheLinkIsFree(t *testing.T) {
	g := NewWithT(t)
	const requests = 4800
	var s startTimeout
	s.observe(4 * time.Millisecond)
	silent, spurious := startLoad(&s, requests, func(int) time.Duration { return 0 })
	g.Expect(silent).To(Equal(requests / 48))
	g.Expect(spurious).To(BeZero())
}

// slowTarget answers a start late and reports whether the request was cancelled before.
type slowTarget struct {
	silentTargets
	cancelled chan error
}

func (s slowTarget) Start(ctx context.Context, _ TargetRef, _ StartRequest) (scheduler.StartResult, int64) {
	time.Sleep(minStartTimeout + 40*time.Millisecond)
	s.cancelled <- ctx.Err()
	return scheduler.Started, 0
}

// All starts of a burst pass the start timeout before the first late answer shows that the
// targets are only slow. The budget counted late answers alone, so each start was given up
// and its task started twice.
func TestABurstOfLateAnswersIsGivenUpWithinTheBudget(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const requests = 220
		p := newPool(n, shards.Pool{Domain: "north"})
		p.startTimeout.observe(time.Millisecond)
		p.node.config.Targets = slowTarget{cancelled: make(chan error, requests)}
		s := newSession(p, deskTargetAnnouncement(1, 4000, time.Now()))
		s.ctx, s.cancel = context.WithCancel(t.Context())
		for i := range requests {
			s.requestStart(scheduler.Start{Target: "t", Run: scheduler.Run{Job: "j", Index: i, Number: 1}})
		}
		time.Sleep(maxStartTimeout)
		synctest.Wait()
		g.Expect(len(p.events)-requests).To(And(BeNumerically(">", 0), BeNumerically("<=", maxSpuriousTimeouts)), "starts given up, beside one late answer for each")
		g.Expect(p.startTimeout.open).To(BeZero(), "a charge is not settled")
		s.close()
		close(p.stopped)
	})
}

// A target that answers nothing uses none of the budget: five starts there are given up
// early, and so is each later one.
func TestAStartThatIsNeverAnsweredIsRefunded(t *testing.T) {
	g := NewWithT(t)
	var s startTimeout
	s.observe(time.Millisecond)
	for range 20 {
		for range maxSpuriousTimeouts {
			g.Expect(s.tryGiveUp()).To(BeTrue())
		}
		g.Expect(s.tryGiveUp()).To(BeFalse(), "more starts than the budget are open")
		for range maxSpuriousTimeouts {
			s.observeAnswer(scheduler.Unanswered, maxStartTimeout, minStartTimeout, true)
		}
	}
}

func TestAStartThatIsAnsweredLateKeepsItsConnection(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(n, shards.Pool{Domain: "north"})
		p.startTimeout.observe(time.Millisecond)
		client := slowTarget{cancelled: make(chan error, 1)}
		p.node.config.Targets = client
		s := newSession(p, deskTargetAnnouncement(1, 4000, time.Now()))
		s.ctx, s.cancel = context.WithCancel(t.Context())
		sentAt := time.Now()
		s.requestStart(scheduler.Start{Target: "t", Run: scheduler.Run{Job: "j", Number: 1}})
		<-p.events
		g.Expect(time.Since(sentAt)).To(Equal(minStartTimeout), "the task waits longer than the start timeout")
		<-p.events
		g.Expect(<-client.cancelled).NotTo(HaveOccurred(), "the connection was closed")
		g.Expect(p.startTimeout.get()).To(BeNumerically(">", minStartTimeout), "the late answer is not in the estimate")
		s.close()
		close(p.stopped)
	})
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
