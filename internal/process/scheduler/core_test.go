package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// newCore returns a Core with targets of 16 cores named t0, t1 and so on.
func newCore(targets int) *Core {
	c := NewCore(DefaultConfig())
	for i := range targets {
		c.UpdateTarget(newDeskTarget(i), false, epoch)
	}
	return c
}

func newDeskTarget(i int) Target {
	return Target{
		ID: fmt.Sprintf("t%d", i), Service: "desk", Domain: "north", Incarnation: 1, Labels: []string{"a", fmt.Sprintf("r%d", i%2)},
		Capacity: Resources{CPUMilli: 16000, MemoryMB: 1000},
	}
}

func newDeskJob(id string, tasks int) Job {
	return Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 2, SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond,
		ArrivedAt: epoch, Deadline: at(5000),
		Steps: []Step{{Count: tasks, Need: Resources{CPUMilli: 8000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}},
	}
}

// ExpireLeases records that all leases of a target's runs have expired.
func (c *Core) ExpireLeases(id string, now time.Time) []Effect {
	return c.ExpireLeasesSentBy(id, now, now)
}

func starts(effects []Effect) []Start {
	var out []Start
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			out = append(out, s)
		}
	}
	return out
}

func stops(effects []Effect) []Stop {
	var out []Stop
	for _, e := range effects {
		if s, ok := e.(Stop); ok {
			out = append(out, s)
		}
	}
	return out
}

func replies(effects []Effect) []Reply {
	var out []Reply
	for _, e := range effects {
		if r, ok := e.(Reply); ok {
			out = append(out, r)
		}
	}
	return out
}

func TestAJobIsAnsweredWhenItsLastTaskIsDone(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 3), 7, at(0)))
	g.Expect(s).To(HaveLen(3))
	for i, each := range s {
		g.Expect(c.HandleStartResult(each.Target, each.Run, Started, at(2))).To(BeEmpty())
		answers := replies(c.HandleRunEnded(each.Target, each.Run, EndDone, at(100)))
		if i < 2 {
			g.Expect(answers).To(BeEmpty())
		} else {
			g.Expect(answers).To(Equal([]Reply{{Waiter: 7, Job: "j", Answer: Answer{Outcome: Completed}}}))
		}
	}
	g.Expect(c.RunCount("t0") + c.RunCount("t1")).To(BeZero())
}

func TestNoTargetIsOvercommitted(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	g.Expect(starts(c.Submit(newDeskJob("j", 3), 1, at(0)))).To(HaveLen(2))
}

func TestARefusedStartIsTriedElsewhereAtOnce(t *testing.T) {
	for _, result := range []StartResult{NoRoom, Outdated, TooLate, Unhealthy, WrongTarget} {
		g := NewWithT(t)
		c := newCore(2)
		first := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
		second := starts(c.HandleStartResult(first.Target, first.Run, result, at(1)))
		g.Expect(second).To(HaveLen(1), result.String())
		g.Expect(second[0].Target).NotTo(Equal(first.Target), result.String())
		g.Expect(second[0].Run.Number).To(Equal(2), result.String())
	}
}

// An unanswered start request may be carried out later. The task must not start
// elsewhere until the target has confirmed that the run will not start, or its lease
// has expired.
func TestAnUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	effects := c.HandleStartResult(first.Target, first.Run, Unanswered, at(250))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(starts(c.Tick(at(300)))).To(BeEmpty())
	g.Expect(starts(c.HandleRunStopped(first.Target, first.Run, at(400)))).To(HaveLen(1))
}

func TestAnUnresponsiveTargetsTasksStartElsewhereOnceItsLeaseExpired(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	g.Expect(starts(c.MarkUnresponsive(first.Target, at(500)))).To(BeEmpty())
	g.Expect(starts(c.ExpireLeases(first.Target, at(1500)))).To(HaveLen(1))
}

func TestAFailedTaskIsRetriedOnAnotherTargetUpToMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	second := starts(c.HandleRunEnded(first.Target, first.Run, EndFailed, at(50)))[0]
	g.Expect(second.Target).NotTo(Equal(first.Target))
	g.Expect(second.Run.Number).To(Equal(2))
	c.HandleStartResult(second.Target, second.Run, Started, at(51))
	answer := replies(c.HandleRunEnded(second.Target, second.Run, EndFailed, at(100)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Failed))
}

func TestAnEjectedTargetIsProbedWithOneTask(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	for i := range ejectionThreshold {
		s := starts(c.Submit(newDeskJob(fmt.Sprint("j", i), 1), uint64(i), at(i)))[0]
		c.HandleStartResult(s.Target, s.Run, Started, at(i))
		c.HandleRunEnded(s.Target, s.Run, EndFailed, at(i))
		for _, stop := range stops(c.Withdraw(s.Run.Job, uint64(i), at(i))) {
			c.HandleRunStopped(stop.Target, stop.Run, at(i))
		}
	}
	j := newDeskJob("later", 2)
	j.Deadline, j.TargetLatency = at(60_000), time.Minute
	g.Expect(starts(c.Submit(j, 9, at(500)))).To(BeEmpty())
	g.Expect(starts(c.Tick(at(1100)))).To(HaveLen(1))
}

func TestAStalledRunIsStoppedAndRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	g.Expect(c.RecordProgress(s.Target, s.Run, 12, at(20))).To(BeTrue())
	c.RecordProgress(s.Target, s.Run, 12, at(200))
	g.Expect(stops(c.Tick(at(210)))).To(BeEmpty())
	c.RecordProgress(s.Target, s.Run, 12, at(300))
	g.Expect(stops(c.Tick(at(310)))).To(HaveLen(1))
	again := starts(c.HandleRunEnded(s.Target, s.Run, EndStopped, at(360)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Target).NotTo(Equal(s.Target))
}

func TestASlowRunThatMakesProgressIsNotStopped(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	for ms := 100; ms < 3000; ms += 100 {
		c.RecordProgress(s.Target, s.Run, ms/40, at(ms))
		g.Expect(stops(c.Tick(at(ms)))).To(BeEmpty())
	}
}

func TestAnUnlistedRunIsStopped(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	g.Expect(stops(c.StopUnlisted(s.Target, nil, at(300)))).To(BeEmpty())
	g.Expect(stops(c.StopUnlisted(s.Target, map[Run]bool{s.Run: true}, at(900)))).To(BeEmpty())
	g.Expect(stops(c.StopUnlisted(s.Target, nil, at(900)))).To(HaveLen(1))
}

func TestADrainingTargetGetsNoStart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	draining := newDeskTarget(0)
	draining.Draining = true
	c.UpdateTarget(draining, false, at(0))
	answer := replies(c.Submit(newDeskJob("j", 1), 1, at(1)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.NoTargets))
	// The same holds beside another target, and when capacity becomes free on it.
	c.UpdateTarget(newDeskTarget(1), false, at(2))
	started := starts(c.Submit(newDeskJob("k", 3), 2, at(3)))
	g.Expect(started).To(HaveLen(2))
	g.Expect(started).To(HaveEach(HaveField("Target", "t1")))
	draining.ID = "t1"
	c.UpdateTarget(draining, false, at(4))
	g.Expect(starts(c.HandleRunEnded("t1", started[0].Run, EndDone, at(50)))).To(BeEmpty())
}

func TestARestartedTargetStopsRunsOfItsFormerIncarnation(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	restarted := newDeskTarget(0)
	restarted.Incarnation = 2
	effects := c.UpdateTarget(restarted, false, at(100))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(c.UpdateTarget(newDeskTarget(0), false, at(200))).To(BeEmpty(), "an announcement of the former incarnation")
	g.Expect(starts(c.HandleRunStopped("t0", s.Run, at(201)))).To(HaveLen(1))
	g.Expect(c.RunCount("t0")).To(Equal(1))
}

// A start request in flight when its target crashes is carried out by the new
// incarnation, which has the same id. The task must not run elsewhere meanwhile. The
// soak test (seeds 10 and 13) found that the task was started again at once.
func TestATaskWaitsUntilTheNewIncarnationHasStoppedItsRun(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	restarted := newDeskTarget(0)
	restarted.ID, restarted.Incarnation = s.Target, 2
	effects := c.UpdateTarget(restarted, true, at(100))
	g.Expect(starts(effects)).To(BeEmpty(), "the run may be in progress on the new incarnation")
	g.Expect(stops(effects)).To(ConsistOf(HaveField("Run", s.Run)))
	g.Expect(starts(c.HandleStartResult(s.Target, s.Run, Started, at(101)))).To(BeEmpty())
	again := starts(c.HandleRunStopped(s.Target, s.Run, at(200)))
	g.Expect(again).To(ConsistOf(HaveField("Run.Number", 2)))
	g.Expect(again[0].Target).NotTo(Equal(s.Target))
}

// A target that is new to the pool gets no work before the runs of a former holder
// there are known.
func TestANewTargetGetsNoWorkUntilItIsCleared(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(newDeskJob("j", 3), 1, at(0))
	g.Expect(starts(c.UpdateTarget(newDeskTarget(1), true, at(1)))).To(BeEmpty())
	g.Expect(starts(c.SetClearing("t1", false, at(2)))).To(HaveLen(1))
}

func TestAWithdrawnJobIsStopped(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(newDeskJob("j", 4), 1, at(0))
	g.Expect(stops(c.Withdraw("j", 1, at(10)))).To(HaveLen(2))
	g.Expect(starts(c.Tick(at(20)))).To(BeEmpty())
}

func TestAResubmittedJobJoinsTheOneInProgress(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	g.Expect(starts(c.Submit(newDeskJob("j", 1), 2, at(1)))).To(BeEmpty())
	c.Withdraw("j", 1, at(2))
	g.Expect(replies(c.HandleRunEnded(s.Target, s.Run, EndDone, at(100)))).To(Equal([]Reply{{Waiter: 2, Job: "j", Answer: Answer{Outcome: Completed}}}))
}

func TestStepsStartInDependencyOrder(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	j := newDeskJob("j", 1)
	j.Steps = append(j.Steps, Step{Count: 2, Need: j.Steps[0].Need, Estimate: 10 * time.Millisecond, After: []int{0}})
	s := starts(c.Submit(j, 1, at(0)))
	g.Expect(s).To(HaveLen(1))
	next := starts(c.HandleRunEnded(s[0].Target, s[0].Run, EndDone, at(50)))
	g.Expect(next).To(HaveLen(2))
	g.Expect(next[0].Run.Step).To(Equal(1))
}

func TestPlacementRespectsLabelsRacksAndAntiAffinity(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	j := newDeskJob("label", 2)
	j.Steps[0].Label = "r1"
	for _, s := range starts(c.Submit(j, 1, at(0))) {
		g.Expect(s.Target).To(BeElementOf("t1", "t3"))
	}
	c = newCore(4)
	j = newDeskJob("rack", 1)
	j.Steps[0].DataRack = "r1"
	g.Expect(starts(c.Submit(j, 1, at(0)))[0].Target).To(BeElementOf("t1", "t3"))
	c = newCore(2)
	j = newDeskJob("spread", 4)
	j.Steps[0].AntiAffinity = 1
	g.Expect(starts(c.Submit(j, 1, at(0)))).To(HaveLen(2))
}

func TestAJobThatNoTargetCouldRunIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	j := newDeskJob("j", 1)
	j.Steps[0].Need.CPUMilli = 17000
	answer := replies(c.Submit(j, 1, at(0)))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Refused))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.NeverRunnable))
}

// The refusal of a job that has waited informs its caller that no task of the job ran,
// which must be true.
func TestAJobIsRefusedOnlyBeforeItsFirstStart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	first := newDeskJob("first", 2)
	first.Steps[0].Estimate = 10 * time.Millisecond // too low: the tasks take seconds
	c.Submit(first, 1, at(0))
	c.Submit(newDeskJob("begun", 1), 2, at(0))
	answer := replies(c.Tick(at(400)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Waiter).To(Equal(uint64(2)))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Refused))
	g.Expect(answer[0].Answer.RetryAfter).To(BeNumerically(">", 0))
	// A job of which one task waits while others run is not refused at its latest
	// start.
	c = newCore(1)
	c.Submit(newDeskJob("half", 3), 3, at(0))
	g.Expect(replies(c.Tick(at(400)))).To(BeEmpty())
}

// A job that has run in part is neither refused nor reported as failed while no task
// failed. It expires once its answer has no value, instead of being kept until its
// caller leaves.
func TestAStartedJobExpiresOnceItsAnswerHasNoValue(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	draining := newDeskTarget(0)
	draining.Draining = true
	c.UpdateTarget(draining, false, at(2))
	c.ExpireLeases(s.Target, at(500))
	g.Expect(replies(c.Tick(at(1300)))).To(BeEmpty(), "the objective is 220 ms")
	answer := replies(c.Tick(at(1340)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Broken))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.ExpiredRunning))
}

func TestAJobSpillsToAPoolWithFreeCapacityInsteadOfWaiting(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.SetPoolCapacities([]PoolCapacity{{Pool: "south", FreeTasks: 2}})
	g.Expect(starts(c.Submit(newDeskJob("here", 2), 1, at(0)))).To(HaveLen(2))
	answer := replies(c.Submit(newDeskJob("there", 2), 2, at(1)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Spill))
	g.Expect(answer[0].Answer.Pools).To(Equal([]string{"south"}))
	g.Expect(replies(c.Submit(newDeskJob("none", 1), 3, at(2)))).To(BeEmpty(), "the free capacity there is used up")
}

// The reports of other pools are up to a hello interval old, so a job that would be
// refused is tried at pools that reported too little room too, but it waits nowhere else.
func TestAJobIsTriedAtOtherPoolsBeforeItIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.SetPoolCapacities([]PoolCapacity{{Pool: "a", FreeTasks: 1}, {Pool: "b", FreeTasks: 9}, {Pool: "c", FreeTasks: 3, SameDomain: true}, {Pool: "d", FreeTasks: 2}})
	wide := newDeskJob("wide", 40) // would end after its due time
	answer := replies(c.Submit(wide, 1, at(0)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Spill))
	g.Expect(answer[0].Answer.Pools).To(Equal([]string{"c", "b", "d"}))

	trial := newDeskJob("trial", 3)
	trial.Spilled, trial.OnlyAtOnce = true, true
	answer = replies(c.Submit(trial, 2, at(0)))
	g.Expect(answer).To(HaveLen(1), "two of three tasks fit")
	g.Expect(answer[0].Answer.Outcome).To(Equal(Refused))
	trial.ID, trial.Steps[0].Count = "small", 2
	g.Expect(starts(c.Submit(trial, 3, at(0)))).To(HaveLen(2))
}

func TestAbandoningJobsMovesOnlyThoseThatHaveNotStarted(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(newDeskJob("ran", 2), 1, at(0))
	c.Submit(newDeskJob("waits", 1), 2, at(0))
	outcomes := map[string]Outcome{}
	for _, r := range replies(c.AbandonJobs()) {
		outcomes[r.Job] = r.Answer.Outcome
	}
	g.Expect(outcomes).To(Equal(map[string]Outcome{"ran": Broken, "waits": Moved}))
}

func TestAHandedOverJobContinuesWithoutASecondStart(t *testing.T) {
	g := NewWithT(t)
	former := newCore(2)
	s := starts(former.Submit(newDeskJob("j", 3), 1, at(0)))
	former.HandleRunEnded(s[0].Target, s[0].Run, EndDone, at(50))
	successor := newCore(2)
	g.Expect(starts(successor.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(60)))).To(BeEmpty())
	for _, r := range replies(former.CompleteHandover("new")) {
		g.Expect(r.Answer.HandedOver).To(BeTrue())
	}
	successor.HandleRunEnded(s[1].Target, s[1].Run, EndDone, at(100))
	successor.HandleRunEnded(s[2].Target, s[2].Run, EndDone, at(100))
	answer := replies(successor.Submit(newDeskJob("j", 3), 9, at(120)))
	g.Expect(answer).To(Equal([]Reply{{Waiter: 9, Job: "j", Answer: Answer{Outcome: Completed}}}), "it ended before its host submitted it again")
}

func TestAHandedOverJobThatIsNotResubmittedIsStopped(t *testing.T) {
	g := NewWithT(t)
	former := newCore(1)
	former.Submit(newDeskJob("j", 1), 1, at(0))
	successor := newCore(1)
	successor.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(10))
	g.Expect(stops(successor.Tick(at(1000)))).To(BeEmpty())
	g.Expect(stops(successor.Tick(at(10).Add(DefaultConfig().KeptFor() + time.Millisecond)))).To(HaveLen(1))
}

// The former holder was lost with the answer to the handover. Its callers send their jobs again,
// perhaps to other pools, 1.3 s after that.
func TestAHandedOverJobWithoutACallerRunsUntilItsCallerHasSentItAgain(t *testing.T) {
	g := NewWithT(t)
	former, successor := newCore(1), newCore(1)
	former.Submit(newDeskJob("j", 1), 1, at(0))
	successor.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(10))
	g.Expect(stops(successor.Tick(at(1200)))).To(HaveLen(1))
}

// A caller's host that was paused resubmits a handed-over job after the new holder has
// dropped it. Its tasks have run, and a first run may still be stopping.
func TestAHandedOverJobThatIsResubmittedTooLateIsNotStartedAgain(t *testing.T) {
	g := NewWithT(t)
	former, successor := newCore(2), newCore(2)
	job := newDeskJob("j", 1)
	g.Expect(starts(former.Submit(job, 1, at(0)))).To(HaveLen(1))
	successor.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(10))
	dropped := at(10).Add(DefaultConfig().KeptFor() + time.Millisecond)
	successor.Tick(dropped)
	job.Resubmitted = true
	effects := successor.Submit(job, 2, dropped)
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(replies(effects)).To(HaveLen(1))
	g.Expect(replies(effects)[0].Answer.Outcome).To(Equal(Broken))
}

func TestFairSharesMeetSmallDemandsInFull(t *testing.T) {
	g := NewWithT(t)
	s := newFairShares()
	refused := map[string]int{}
	// The capacity is 10 cores; one queue demands 2, the other 20.
	for ms := 0; ms < 10_000; ms += 10 {
		if !s.offer("small", 20, 10, false, at(ms)) {
			refused["small"]++
		}
		if !s.offer("large", 200, 10, false, at(ms)) && ms >= 4000 {
			refused["large"]++
		}
	}
	g.Expect(refused["small"]).To(BeZero())
	g.Expect(refused["large"]).To(BeNumerically("~", 360, 36), "8 of 20 cores are left for the large queue, so 6 of 10 jobs are refused")
}

func TestTheForecastCountsRunningAndWaitingTasks(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.typicalNeed = taskNeed{cpuMilli: 8000, initialized: true}
	c.Submit(newDeskJob("runs", 2), 1, at(0))
	s := newJobState(newDeskJob("new", 1))
	g.Expect(c.forecastEnd(s, at(0))).To(Equal(at(200)))
	g.Expect(c.forecastEnd(newJobState(newDeskJob("wide", 4)), at(0))).To(Equal(at(300)))
}

func TestAnEstimateCombinesDeclaredAndLearnedRunTimes(t *testing.T) {
	g := NewWithT(t)
	r := newRunTimeEstimator()
	g.Expect(r.estimate("q", time.Second, 0.5)).To(Equal(time.Second))
	for range minRunTimeSamples {
		r.observe("q", 100*time.Millisecond, 1)
	}
	g.Expect(r.estimate("q", 400*time.Millisecond, 0.5)).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(r.estimate("q", 0, 0.5)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// Requests that are carried out late get no answer although their target is healthy,
// as its answer to another request shows. Before that answer ended the exclusion,
// one unanswered request in thirty kept a sixth of the targets out of use.
func TestATargetThatAnswersIsUsedAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(newDeskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Unanswered, at(250))
	k := newDeskJob("k", 1)
	k.Steps[0].Estimate, k.SlackFactor = time.Second, 4
	g.Expect(starts(c.Submit(k, 2, at(251)))).To(BeEmpty(), "the target has not answered yet")
	g.Expect(starts(c.HandleRunStopped(s.Target, s.Run, at(300)))).To(HaveLen(2))

	c = newCore(1)
	c.MarkUnresponsive("t0", at(0))
	late := newDeskJob("l", 1)
	late.Steps[0].Estimate, late.SlackFactor = time.Second, 4
	c.Submit(late, 3, at(1))
	g.Expect(starts(c.MarkResponsive("t0", at(100)))).To(HaveLen(1))
}

// A target that answers nothing is excluded for longer after each request.
func TestAnUnresponsiveTargetIsRetriedWithExponentialBackoff(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	var pauses []time.Duration
	now := at(0)
	for range 5 {
		c.MarkUnresponsive("t0", now)
		pauses = append(pauses, c.targets["t0"].unresponsiveUntil.Sub(now))
		now = c.targets["t0"].unresponsiveUntil
	}
	g.Expect(pauses).To(Equal([]time.Duration{minEjection, 2 * minEjection, 4 * minEjection, maxEjection, maxEjection}))
}

// oneSecondLease is the remaining lease of any target for ExportJobs.
func oneSecondLease(string) time.Duration { return time.Second }

// The domain was split, and the successor knows the target only as one of another shard.
// The run goes on there until its lease expires.
func TestATaskOnATargetThatTheSuccessorDoesNotKnowIsNotStartedTwiceAtOnce(t *testing.T) {
	g := NewWithT(t)
	former, successor := newCore(1), NewCore(DefaultConfig())
	g.Expect(starts(former.Submit(newDeskJob("j", 1), 1, at(0)))).To(HaveLen(1))
	successor.UpdateTarget(newDeskTarget(1), false, at(0))
	state := former.ExportJobs(func(string) time.Duration { return 400 * time.Millisecond }, at(100))
	g.Expect(starts(successor.ImportJobs(state, at(110)))).To(BeEmpty(), "the run is in progress on t0")
	successor.Submit(newDeskJob("j", 1), 2, at(120))
	g.Expect(starts(successor.Tick(at(500)))).To(BeEmpty())

	again := successor.ExportJobs(oneSecondLease, at(500)) // handed over once more meanwhile
	g.Expect(again[0].Tasks[0].LeaseRemaining).To(Equal(10 * time.Millisecond))
	g.Expect(starts(successor.Tick(at(510)))).To(HaveLen(1), "the lease has expired")
}

func TestATargetThatBecomesKnownTakesItsDetachedRunsOver(t *testing.T) {
	g := NewWithT(t)
	former, successor := newCore(1), NewCore(DefaultConfig())
	s := starts(former.Submit(newDeskJob("j", 1), 1, at(0)))
	successor.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(0))
	successor.Submit(newDeskJob("j", 1), 2, at(10))
	successor.UpdateTarget(newDeskTarget(0), true, at(20))
	g.Expect(successor.RecordProgress("t0", s[0].Run, 50, at(30))).To(BeTrue(), "the run would be stopped as an unknown one")
	answers := replies(successor.HandleRunEnded("t0", s[0].Run, EndDone, at(100)))
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Answer.Outcome).To(Equal(Completed))
	g.Expect(starts(successor.Tick(at(3000)))).To(BeEmpty())
}

// A handover is refused after the sessions with the targets were closed, so the answers
// to the requests under way are lost. Their runs would hold their capacity for good.
func TestRunsWhoseAnswersWereLostWithTheirSessionAreResolved(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(newDeskJob("j", 2), 1, at(0)))
	c.HandleStartResult(s[1].Target, s[1].Run, Unanswered, at(60)) // its stop is under way
	g.Expect(stops(c.ResumeRuns())).To(HaveLen(1), "the stop is requested again")
	g.Expect(stops(c.StopUnlisted(s[0].Target, nil, at(800)))).To(HaveLen(1), "the start was lost")
}

// A state waits at a receiver that is frozen, while a caller leaves and sends its job elsewhere.
func TestAJobWhoseCallerLeftWhileAStateWaitedRunsBesideItsNextAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		accepted, stopped int // milliseconds after the state was made
	}{
		"accepted at once":                     {10, 1160},
		"accepted after a freeze":              {700, 1160},
		"accepted once the caller may be back": {1300, 1300},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			former, successor := newCore(2), newCore(2)
			s := starts(former.Submit(newDeskJob("j", 2), 1, at(-30)))
			former.HandleRunEnded(s[0].Target, s[0].Run, EndStopped, at(-10)) // its task waits again
			state := former.ExportJobs(oneSecondLease, at(0))
			state[0].Tasks[0].Target = ""
			effects := successor.ImportJobs(state, at(c.accepted))
			if c.accepted < c.stopped {
				g.Expect(stops(effects)).To(BeEmpty())
				effects = successor.Tick(at(c.stopped))
			} else {
				g.Expect(starts(effects)).To(BeEmpty(), "a task that waited is started beside the next attempt")
			}
			g.Expect(stops(effects)).NotTo(BeEmpty())
		})
	}
}

// No caller's host has submitted the job when the pool is handed over once more.
func TestAJobWithoutACallerIsKeptAnewByEachNextHolder(t *testing.T) {
	g := NewWithT(t)
	former, second, third := newCore(1), newCore(1), newCore(1)
	former.Submit(newDeskJob("j", 1), 1, at(0))
	second.ImportJobs(former.ExportJobs(oneSecondLease, at(0)), at(10))
	third.ImportJobs(second.ExportJobs(oneSecondLease, at(800)), at(810))
	g.Expect(stops(third.Tick(at(1160)))).To(HaveLen(1))
}
