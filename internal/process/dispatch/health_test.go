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
func (sim *simulator) submitSteadily(d time.Duration, kind string) int {
	var ids []dispatch.JobID
	for range d / (5 * time.Millisecond) {
		if id, err := sim.submit("a", kind, 1, 0); err == nil {
			ids = append(ids, id)
		}
		sim.advance(5 * time.Millisecond)
	}
	sim.advance(time.Second)
	failed := 0
	for _, id := range ids {
		if a := sim.answers[id]; a == nil || a.Outcome != job.Complete {
			failed++
		}
	}
	return failed
}

// TestTargetThatFailsFastFailsFewJobs limits the jobs that fail because one of ten
// targets fails every task after 1 ms, and checks that the target is ejected.
func TestTargetThatFailsFastFailsFewJobs(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 10, 8)
	g.Expect(sim.submitSteadily(2*time.Second, "quote")).To(BeZero())
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	failed := sim.submitSteadily(30*time.Second, "quote") // 6000 jobs
	g.Expect(failed).To(BeNumerically("<=", 15))
	g.Expect(sim.core.TargetHealth(sim.now, "t3")).NotTo(Equal(health.Healthy))
	g.Expect(sim.core.Targets()[3].UseStatus()).To(Or(Equal("ejected"), Equal("on trial")))
}

// TestTargetThatFailsFastGetsNoExtraLoad disables ejection and checks that targets
// which fail every task after 1 ms get about as many starts as targets that work.
func TestTargetThatFailsFastGetsNoExtraLoad(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Health.MaxEjectedFraction = 0
	sim := newSimulator(config, 10, 8)
	sim.submitSteadily(2*time.Second, "quote")
	clear(sim.startsByTarget)
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" || s.Target == "t4" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	sim.submitSteadily(10*time.Second, "quote") // 2000 jobs, 200 for each target
	g.Expect(sim.startsByTarget["t3"] + sim.startsByTarget["t4"]).To(BeNumerically("<", 500))
}

func TestKindThatAlwaysFailsEjectsNoTarget(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 10, 8)
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Task.Kind == "broken" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	sim.submitSteadily(time.Second, "quote")
	g.Expect(sim.submitSteadily(2*time.Second, "broken")).To(Equal(400))
	g.Expect(sim.submitSteadily(2*time.Second, "quote")).To(BeZero())
	for _, target := range sim.core.Targets() {
		g.Expect(sim.core.TargetHealth(sim.now, target.Target)).To(Equal(health.Healthy))
	}
}

// TestSuspicionDelayFollowsTheRunTimesOfTheKind checks that the connection of a start
// without an answer becomes suspect at the attempt timeout at first, and earlier once
// the run times of the kind are known. The deadline of the attempt stays.
func TestSuspicionDelayFollowsTheRunTimesOfTheKind(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 2, 8)
	var suspect, limit time.Duration
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		suspect, limit = s.SuspectAt.Sub(sim.now), s.Deadline.Sub(sim.now)
		return dispatch.Done, 100 * time.Millisecond
	}
	_, err := sim.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(30 * time.Second))
	sim.submitSteadily(time.Second, "quote")
	_, err = sim.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(suspect).To(Equal(2 * time.Second))
	g.Expect(limit).To(Equal(30 * time.Second))
}

// TestRareLongTasksRunToCompletion runs tasks of a kind that usually take 100 ms and
// rarely 8 s: the long tasks are not ended early by the learned run times.
func TestRareLongTasksRunToCompletion(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 2, 8)
	long := false
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		limit := s.Deadline.Sub(sim.now)
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
		sim.submitSteadily(time.Second, "quote")
		long = true
		id, err := sim.submit("a", "quote", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		sim.advance(15 * time.Second)
		g.Expect(sim.answers[id].Outcome).To(Equal(job.Complete))
	}
}

// TestLossOfRackWastesFewAttempts makes one rack of four unreachable. Attempts there
// end after 500 ms without a start. Once three of its six workers have not answered,
// the rack counts as lost and its other workers get no work.
func TestLossOfRackWastesFewAttempts(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 4*workersPerRack, 8)
	sim.submitSteadily(time.Second, "quote")
	sim.silentTargets = map[string]bool{}
	for i := range workersPerRack {
		sim.silentTargets[sim.core.Targets()[i].Target] = true
	}
	clear(sim.startsByTarget)
	sim.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if sim.silentTargets[s.Target] {
			return dispatch.NotStarted, 500 * time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	g.Expect(sim.submitSteadily(4*time.Second, "quote")).To(BeZero())
	wasted := 0
	for target := range sim.silentTargets {
		wasted += sim.startsByTarget[target]
	}
	g.Expect(wasted).To(BeNumerically("<", 40))
}

// TestTaskThatMayStillRunKeepsItsSlot ends an attempt early with an unknown outcome:
// the slot stays in use until the deadline of the attempt, when the lease of the task
// ends.
func TestTaskThatMayStillRunKeepsItsSlot(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 1)
	sim.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	_, err := sim.submit("a", "", 1, 3*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(100 * time.Millisecond)
	_, err = sim.submit("a", "", 1, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(2500 * time.Millisecond)
	g.Expect(sim.totalStarts()).To(Equal(1))
	sim.advance(500 * time.Millisecond)
	g.Expect(sim.totalStarts()).To(Equal(2))
}

// TestFullWorkersAreUsedLast reports three of four workers as full: their targets get
// tasks only when the fourth has no free slot. Reports lose their effect with age.
func TestFullWorkersAreUsedLast(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 4, 2)
	for _, worker := range []string{"w0", "w1", "w2"} {
		sim.core.ReportUsage(sim.now, []workers.Usage{{Worker: worker, MeasuredAt: sim.now.Add(-time.Second), ProcessorUtilization: 1}})
	}
	_, err := sim.submit("a", "", 2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sim.startsByTarget).To(Equal(map[string]int{"t3": 2}))
	_, err = sim.submit("a", "", 6, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sim.totalStarts()).To(Equal(8))
	sim.advance(9 * time.Second)
	clear(sim.startsByTarget)
	for range 20 {
		_, err = sim.submit("a", "", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		sim.advance(200 * time.Millisecond)
	}
	g.Expect(len(sim.startsByTarget)).To(BeNumerically(">", 1), "old reports are ignored")
}

// TestRefusedStartsAreLimitedByMaxAttempts makes every target refuse every start: the
// job is answered as not run after MaxAttempts attempts.
func TestRefusedStartsAreLimitedByMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.MaxAttempts = 3
	sim := newSimulator(config, 2, 8)
	starts := 0
	sim.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		starts++
		return dispatch.NotStarted, time.Millisecond
	}
	id, err := sim.submit("a", "quote", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(5 * time.Second)
	g.Expect(starts).To(Equal(3))
	g.Expect(sim.answers[id].Outcome).To(Equal(job.NotRun))
}
