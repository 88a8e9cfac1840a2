package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/health"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/workers"
	"wasabifield.example/wasabifield/internal/request/job"
)

// steady submits a job of one task every 5 ms and returns the jobs that failed.
func (b *bench) steady(d time.Duration, kind string) int {
	var ids []dispatch.JobID
	for range d / (5 * time.Millisecond) {
		if id, err := b.submit("a", kind, 1, 0); err == nil {
			ids = append(ids, id)
		}
		b.pass(5 * time.Millisecond)
	}
	b.pass(time.Second)
	failed := 0
	for _, id := range ids {
		if a := b.answers[id]; a == nil || a.Outcome != job.Complete {
			failed++
		}
	}
	return failed
}

// TestATargetThatFailsFastSpoilsLittle compares the jobs that a target spoils
// which fails at once with those that it would get if it worked.
func TestATargetThatFailsFastSpoilsLittle(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 10, 8)
	g.Expect(b.steady(2*time.Second, "quote")).To(BeZero())
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	failed := b.steady(30*time.Second, "quote") // 6000 jobs
	g.Expect(failed).To(BeNumerically("<=", 15))
	g.Expect(b.core.TargetHealth(b.now, "t3")).NotTo(Equal(health.Healthy))
	g.Expect(b.core.Targets()[3].UseStatus()).To(Or(Equal("ejected"), Equal("on trial")))
}

// TestATargetThatFailsFastAttractsNoLoad looks at the time before the target
// is judged: it gets no more starts than one that works.
func TestATargetThatFailsFastAttractsNoLoad(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Health.MaxEjected = 0
	b := newBench(config, 10, 8)
	b.steady(2*time.Second, "quote")
	clear(b.started)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" || s.Target == "t4" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.steady(10*time.Second, "quote") // 2000 jobs, 200 for each target
	g.Expect(b.started["t3"] + b.started["t4"]).To(BeNumerically("<", 500))
}

func TestABrokenKindEjectsNobody(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 10, 8)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Task.Kind == "broken" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.steady(time.Second, "quote")
	g.Expect(b.steady(2*time.Second, "broken")).To(Equal(400))
	g.Expect(b.steady(2*time.Second, "quote")).To(BeZero())
	for _, target := range b.core.Targets() {
		g.Expect(b.core.TargetHealth(b.now, target.Target)).To(Equal(health.Healthy))
	}
}

// TestAStragglerIsGivenUpByWhatItsKindTakes bounds how long a start may stay
// without answer once the kind's run times are known.
func TestAStragglersConnectionIsSuspectByWhatItsKindTakes(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 2, 8)
	var suspect, limit time.Duration
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		suspect, limit = s.SuspectAt.Sub(b.now), s.Deadline.Sub(b.now)
		return dispatch.Done, 100 * time.Millisecond
	}
	_, err := b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(30 * time.Second))
	b.steady(time.Second, "quote")
	_, err = b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(2 * time.Second))
	g.Expect(limit).To(Equal(30 * time.Second))
}

// TestRareLongTasksAreAwaited gives a kind of 100 ms a task of 8 s now and then.
func TestRareLongTasksAreAwaited(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 2, 8)
	long := false
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		limit := s.Deadline.Sub(b.now)
		switch {
		case !long:
			return dispatch.Done, 100 * time.Millisecond
		case limit < 8*time.Second:
			return dispatch.OutcomeUnknown, limit
		}
		return dispatch.Done, 8 * time.Second
	}
	for range 4 {
		long = false
		b.steady(time.Second, "quote")
		long = true
		id, err := b.submit("a", "quote", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		b.pass(15 * time.Second)
		g.Expect(b.answers[id].Outcome).To(Equal(job.Complete))
	}
}

// TestLossOfARackCostsFewAttempts loses one rack of four. Attempts at it end
// after 500 ms, nothing started. Once three of its workers are silent, the
// others get no work.
func TestLossOfARackCostsFewAttempts(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 4*perRack, 8)
	b.steady(time.Second, "quote")
	b.silent = map[string]bool{}
	for i := range perRack {
		b.silent[b.core.Targets()[i].Target] = true
	}
	clear(b.started)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if b.silent[s.Target] {
			return dispatch.NotStarted, 500 * time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	g.Expect(b.steady(4*time.Second, "quote")).To(BeZero())
	wasted := 0
	for target := range b.silent {
		wasted += b.started[target]
	}
	g.Expect(wasted).To(BeNumerically("<", 40))
}

// TestATaskThatMayStillRunKeepsItsSlot loses an answer early: the slot is
// taken until the attempt's deadline, which ends the task's lease.
func TestATaskThatMayStillRunKeepsItsSlot(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 1)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	_, err := b.submit("a", "", 1, 3*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(100 * time.Millisecond)
	_, err = b.submit("a", "", 1, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(2500 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(1))
	b.pass(500 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(2))
}

// TestFullWorkersAreTakenLast reports three of four workers as full.
func TestFullWorkersAreTakenLast(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 4, 2)
	for _, worker := range []string{"w0", "w1", "w2"} {
		b.core.ReportUsage(b.now, []workers.Usage{{Worker: worker, At: b.now.Add(-time.Second), Processors: 1}})
	}
	_, err := b.submit("a", "", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.started).To(Equal(map[string]int{"t3": 2}))
	_, err = b.submit("a", "", 6, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.totalStarts()).To(Equal(8))
	b.pass(9 * time.Second)
	clear(b.started)
	for range 20 {
		_, err = b.submit("a", "", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		b.pass(200 * time.Millisecond)
	}
	g.Expect(len(b.started)).To(BeNumerically(">", 1), "old reports say nothing")
}

// TestRefusedStartsAreBounded lets every target refuse every start.
func TestRefusedStartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.MaxAttempts = 3
	b := newBench(config, 2, 8)
	starts := 0
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		starts++
		return dispatch.NotStarted, time.Millisecond
	}
	id, err := b.submit("a", "quote", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(5 * time.Second)
	g.Expect(starts).To(Equal(3))
	g.Expect(b.answers[id].Outcome).To(Equal(job.NotRun))
}
