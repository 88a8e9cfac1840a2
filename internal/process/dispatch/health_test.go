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

// submitSteadily submits a job of one task every 5 ms for a time d and returns how many
// of the admitted jobs were not complete one second later.
func (b *simulator) submitSteadily(d time.Duration, kind string) int {
	var ids []dispatch.JobID
	for range d / (5 * time.Millisecond) {
		if id, err := b.submit("a", kind, 1, 0); err == nil {
			ids = append(ids, id)
		}
		b.advance(5 * time.Millisecond)
	}
	b.advance(time.Second)
	failed := 0
	for _, id := range ids {
		if a := b.answers[id]; a == nil || a.Outcome != job.Complete {
			failed++
		}
	}
	return failed
}

// TestTargetThatFailsFastFailsFewJobs limits the jobs that fail because one of ten
// targets fails every task after 1 ms, and checks that the target is ejected.
func TestTargetThatFailsFastFailsFewJobs(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 10, 8)
	g.Expect(b.submitSteadily(2*time.Second, "quote")).To(BeZero())
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	failed := b.submitSteadily(30*time.Second, "quote") // 6000 jobs
	g.Expect(failed).To(BeNumerically("<=", 15))
	g.Expect(b.core.TargetHealth(b.now, "t3")).NotTo(Equal(health.Healthy))
	g.Expect(b.core.Targets()[3].UseStatus()).To(Or(Equal("ejected"), Equal("on trial")))
}

// TestTargetThatFailsFastGetsNoExtraLoad disables ejection and checks that targets
// which fail every task after 1 ms get about as many starts as targets that work.
func TestTargetThatFailsFastGetsNoExtraLoad(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Health.MaxEjected = 0
	b := newSimulator(config, 10, 8)
	b.submitSteadily(2*time.Second, "quote")
	clear(b.startsByTarget)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" || s.Target == "t4" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.submitSteadily(10*time.Second, "quote") // 2000 jobs, 200 for each target
	g.Expect(b.startsByTarget["t3"] + b.startsByTarget["t4"]).To(BeNumerically("<", 500))
}

func TestKindThatAlwaysFailsEjectsNoTarget(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 10, 8)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Task.Kind == "broken" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.submitSteadily(time.Second, "quote")
	g.Expect(b.submitSteadily(2*time.Second, "broken")).To(Equal(400))
	g.Expect(b.submitSteadily(2*time.Second, "quote")).To(BeZero())
	for _, target := range b.core.Targets() {
		g.Expect(b.core.TargetHealth(b.now, target.Target)).To(Equal(health.Healthy))
	}
}

// TestSuspicionDelayFollowsTheRunTimesOfTheKind checks that the connection of a start
// without an answer becomes suspect at the attempt timeout at first, and earlier once
// the run times of the kind are known. The deadline of the attempt stays.
func TestSuspicionDelayFollowsTheRunTimesOfTheKind(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 2, 8)
	var suspect, limit time.Duration
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		suspect, limit = s.SuspectAt.Sub(b.now), s.Deadline.Sub(b.now)
		return dispatch.Done, 100 * time.Millisecond
	}
	_, err := b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(30 * time.Second))
	b.submitSteadily(time.Second, "quote")
	_, err = b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(2 * time.Second))
	g.Expect(limit).To(Equal(30 * time.Second))
}

// TestRareLongTasksRunToCompletion runs tasks of a kind that usually take 100 ms and
// rarely 8 s: the long tasks are not ended early by the learned run times.
func TestRareLongTasksRunToCompletion(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 2, 8)
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
		b.submitSteadily(time.Second, "quote")
		long = true
		id, err := b.submit("a", "quote", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		b.advance(15 * time.Second)
		g.Expect(b.answers[id].Outcome).To(Equal(job.Complete))
	}
}

// TestLossOfRackWastesFewAttempts makes one rack of four unreachable. Attempts there
// end after 500 ms without a start. Once three of its six workers have not answered,
// the rack counts as lost and its other workers get no work.
func TestLossOfRackWastesFewAttempts(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 4*workersPerRack, 8)
	b.submitSteadily(time.Second, "quote")
	b.silentTargets = map[string]bool{}
	for i := range workersPerRack {
		b.silentTargets[b.core.Targets()[i].Target] = true
	}
	clear(b.startsByTarget)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if b.silentTargets[s.Target] {
			return dispatch.NotStarted, 500 * time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	g.Expect(b.submitSteadily(4*time.Second, "quote")).To(BeZero())
	wasted := 0
	for target := range b.silentTargets {
		wasted += b.startsByTarget[target]
	}
	g.Expect(wasted).To(BeNumerically("<", 40))
}

// TestTaskThatMayStillRunKeepsItsSlot ends an attempt early with an unknown outcome:
// the slot stays in use until the deadline of the attempt, when the lease of the task
// ends.
func TestTaskThatMayStillRunKeepsItsSlot(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 1, 1)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	_, err := b.submit("a", "", 1, 3*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.advance(100 * time.Millisecond)
	_, err = b.submit("a", "", 1, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.advance(2500 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(1))
	b.advance(500 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(2))
}

// TestFullWorkersAreUsedLast reports three of four workers as full: their targets get
// tasks only when the fourth has no free slot. Reports lose their effect with age.
func TestFullWorkersAreUsedLast(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 4, 2)
	for _, worker := range []string{"w0", "w1", "w2"} {
		b.core.ReportUsage(b.now, []workers.Usage{{Worker: worker, At: b.now.Add(-time.Second), Processors: 1}})
	}
	_, err := b.submit("a", "", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.startsByTarget).To(Equal(map[string]int{"t3": 2}))
	_, err = b.submit("a", "", 6, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.totalStarts()).To(Equal(8))
	b.advance(9 * time.Second)
	clear(b.startsByTarget)
	for range 20 {
		_, err = b.submit("a", "", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		b.advance(200 * time.Millisecond)
	}
	g.Expect(len(b.startsByTarget)).To(BeNumerically(">", 1), "old reports are ignored")
}

// TestRefusedStartsAreLimitedByMaxAttempts makes every target refuse every start: the
// job is answered as not run after MaxAttempts attempts.
func TestRefusedStartsAreLimitedByMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.MaxAttempts = 3
	b := newSimulator(config, 2, 8)
	starts := 0
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		starts++
		return dispatch.NotStarted, time.Millisecond
	}
	id, err := b.submit("a", "quote", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	b.advance(5 * time.Second)
	g.Expect(starts).To(Equal(3))
	g.Expect(b.answers[id].Outcome).To(Equal(job.NotRun))
}
