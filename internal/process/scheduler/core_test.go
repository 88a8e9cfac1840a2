package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newCore returns a core with targets of 16 cores named t0, t1 and so on.
func newCore(targets int) *Core {
	c := NewCore(DefaultConfig())
	for i := range targets {
		c.UpdateTarget(deskTarget(i), false, start)
	}
	return c
}

func deskTarget(i int) Target {
	return Target{
		ID: fmt.Sprintf("t%d", i), Service: "desk", Domain: "north", Incarnation: 1, Labels: []string{"a", fmt.Sprintf("r%d", i%2)},
		Capacity: Resources{CPUMilli: 16000, MemoryMB: 1000},
	}
}

func deskJob(id string, tasks int) Job {
	return Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 2, SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond,
		ArrivedAt: start, Deadline: at(5000),
		Steps: []Step{{Count: tasks, Need: Resources{CPUMilli: 8000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}},
	}
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
	s := starts(c.Submit(deskJob("j", 3), 7, at(0)))
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

func TestNoTargetIsOverfilled(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	g.Expect(starts(c.Submit(deskJob("j", 3), 1, at(0)))).To(HaveLen(2))
}

func TestARefusedStartIsTriedElsewhereAtOnce(t *testing.T) {
	for _, result := range []StartResult{NoRoom, Outdated, TooLate, Unhealthy, WrongTarget} {
		g := NewWithT(t)
		c := newCore(2)
		first := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
		second := starts(c.HandleStartResult(first.Target, first.Run, result, at(1)))
		g.Expect(second).To(HaveLen(1), result.String())
		g.Expect(second[0].Target).NotTo(Equal(first.Target), result.String())
		g.Expect(second[0].Run.Number).To(Equal(2), result.String())
	}
}

// An unanswered start may be carried out later. Until the target has confirmed
// that it never will, or its lease is over, the task must not start elsewhere.
func TestAnUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	effects := c.HandleStartResult(first.Target, first.Run, Unanswered, at(250))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(starts(c.Tick(at(300)))).To(BeEmpty())
	g.Expect(starts(c.HandleRunStopped(first.Target, first.Run, at(400)))).To(HaveLen(1))
}

func TestASilentTargetsTasksStartElsewhereOnceItsLeaseIsOver(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	g.Expect(starts(c.MarkUnresponsive(first.Target, at(500)))).To(BeEmpty())
	g.Expect(starts(c.ExpireLeases(first.Target, at(1500)))).To(HaveLen(1))
}

func TestAFailedTaskRunsAgainAtAnotherTargetUntilItsAttemptsAreUsed(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	second := starts(c.HandleRunEnded(first.Target, first.Run, EndFailed, at(50)))[0]
	g.Expect(second.Target).NotTo(Equal(first.Target))
	g.Expect(second.Run.Number).To(Equal(2))
	c.HandleStartResult(second.Target, second.Run, Started, at(51))
	answer := replies(c.HandleRunEnded(second.Target, second.Run, EndFailed, at(100)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Failed))
}

func TestATargetThatFailsTasksIsLeftAloneThenProvedByOneTask(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	for i := range ejectAfter {
		s := starts(c.Submit(deskJob(fmt.Sprint("j", i), 1), uint64(i), at(i)))[0]
		c.HandleStartResult(s.Target, s.Run, Started, at(i))
		c.HandleRunEnded(s.Target, s.Run, EndFailed, at(i))
		for _, stop := range stops(c.Withdraw(s.Run.Job, uint64(i), at(i))) {
			c.HandleRunStopped(stop.Target, stop.Run, at(i))
		}
	}
	j := deskJob("later", 2)
	j.Deadline, j.TargetLatency = at(60_000), time.Minute
	g.Expect(starts(c.Submit(j, 9, at(500)))).To(BeEmpty())
	g.Expect(starts(c.Tick(at(1100)))).To(HaveLen(1))
}

func TestARunWithoutProgressIsStoppedAndRunsElsewhere(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
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

func TestASlowRunThatMakesProgressGoesOn(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	for ms := 100; ms < 3000; ms += 100 {
		c.RecordProgress(s.Target, s.Run, ms/40, at(ms))
		g.Expect(stops(c.Tick(at(ms)))).To(BeEmpty())
	}
}

func TestARunThatIsNotListedIsStopped(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	g.Expect(stops(c.StopUnlisted(s.Target, nil, at(300)))).To(BeEmpty())
	g.Expect(stops(c.StopUnlisted(s.Target, map[Run]bool{s.Run: true}, at(900)))).To(BeEmpty())
	g.Expect(stops(c.StopUnlisted(s.Target, nil, at(900)))).To(HaveLen(1))
}

func TestADrainingTargetGetsNoStart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	leaving := deskTarget(0)
	leaving.Draining = true
	c.UpdateTarget(leaving, false, at(0))
	answer := replies(c.Submit(deskJob("j", 1), 1, at(1)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.NoTargets))
	// Beside another target, and with room that comes free on it.
	c.UpdateTarget(deskTarget(1), false, at(2))
	begun := starts(c.Submit(deskJob("k", 3), 2, at(3)))
	g.Expect(begun).To(HaveLen(2))
	g.Expect(begun).To(HaveEach(HaveField("Target", "t1")))
	leaving.ID = "t1"
	c.UpdateTarget(leaving, false, at(4))
	g.Expect(starts(c.HandleRunEnded("t1", begun[0].Run, EndDone, at(50)))).To(BeEmpty())
}

func TestATargetThatStartedAnewRunsNothingOfBefore(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	anew := deskTarget(0)
	anew.Incarnation = 2
	effects := c.UpdateTarget(anew, false, at(100))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(c.UpdateTarget(deskTarget(0), false, at(200))).To(BeEmpty(), "an announcement of before")
	g.Expect(starts(c.HandleRunStopped("t0", s.Run, at(201)))).To(HaveLen(1))
	g.Expect(c.RunCount("t0")).To(Equal(1))
}

// A start that was on its way when its target crashed is carried out by the new
// incarnation, which has the same id. The task must not run elsewhere meanwhile.
// Found by the soak (seeds 10 and 13): the task was started again at once.
func TestATaskWaitsUntilTheNewIncarnationHasStoppedItsRun(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	anew := deskTarget(0)
	anew.ID, anew.Incarnation = s.Target, 2
	effects := c.UpdateTarget(anew, true, at(100))
	g.Expect(starts(effects)).To(BeEmpty(), "the run may be at work on the new incarnation")
	g.Expect(stops(effects)).To(ConsistOf(HaveField("Run", s.Run)))
	g.Expect(starts(c.HandleStartResult(s.Target, s.Run, Started, at(101)))).To(BeEmpty())
	again := starts(c.HandleRunStopped(s.Target, s.Run, at(200)))
	g.Expect(again).To(ConsistOf(HaveField("Run.Number", 2)))
	g.Expect(again[0].Target).NotTo(Equal(s.Target))
}

// A target that is new to the pool gets no work before the runs of a former holder
// are known.
func TestANewTargetWaitsUntilItIsClear(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(deskJob("j", 3), 1, at(0))
	g.Expect(starts(c.UpdateTarget(deskTarget(1), true, at(1)))).To(BeEmpty())
	g.Expect(starts(c.SetClearing("t1", false, at(2)))).To(HaveLen(1))
}

func TestAWithdrawnJobIsStopped(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(deskJob("j", 4), 1, at(0))
	g.Expect(stops(c.Withdraw("j", 1, at(10)))).To(HaveLen(2))
	g.Expect(starts(c.Tick(at(20)))).To(BeEmpty())
}

func TestAJobThatIsInProgressIsJoined(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	g.Expect(starts(c.Submit(deskJob("j", 1), 2, at(1)))).To(BeEmpty())
	c.Withdraw("j", 1, at(2))
	g.Expect(replies(c.HandleRunEnded(s.Target, s.Run, EndDone, at(100)))).To(Equal([]Reply{{Waiter: 2, Job: "j", Answer: Answer{Outcome: Completed}}}))
}

func TestStepsStartInTheirOrder(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	j := deskJob("j", 1)
	j.Steps = append(j.Steps, Step{Count: 2, Need: j.Steps[0].Need, Estimate: 10 * time.Millisecond, After: []int{0}})
	s := starts(c.Submit(j, 1, at(0)))
	g.Expect(s).To(HaveLen(1))
	next := starts(c.HandleRunEnded(s[0].Target, s[0].Run, EndDone, at(50)))
	g.Expect(next).To(HaveLen(2))
	g.Expect(next[0].Run.Step).To(Equal(1))
}

func TestPlacingHeedsLabelsRacksAndSpread(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	j := deskJob("label", 2)
	j.Steps[0].Label = "r1"
	for _, s := range starts(c.Submit(j, 1, at(0))) {
		g.Expect(s.Target).To(BeElementOf("t1", "t3"))
	}
	c = newCore(4)
	j = deskJob("rack", 1)
	j.Steps[0].DataRack = "r1"
	g.Expect(starts(c.Submit(j, 1, at(0)))[0].Target).To(BeElementOf("t1", "t3"))
	c = newCore(2)
	j = deskJob("spread", 4)
	j.Steps[0].AntiAffinity = 1
	g.Expect(starts(c.Submit(j, 1, at(0)))).To(HaveLen(2))
}

func TestAJobThatNoTargetCouldRunIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	j := deskJob("j", 1)
	j.Steps[0].Need.CPUMilli = 17000
	answer := replies(c.Submit(j, 1, at(0)))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Refused))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.NeverRunnable))
}

// A refusal of a job that has waited says that nothing ran; that must be true.
func TestAJobIsRefusedOnlyWhileNothingOfItRan(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	first := deskJob("first", 2)
	first.Steps[0].Estimate = 10 * time.Millisecond // wrong: it takes seconds
	c.Submit(first, 1, at(0))
	c.Submit(deskJob("begun", 1), 2, at(0))
	answer := replies(c.Tick(at(400)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Waiter).To(Equal(uint64(2)))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Refused))
	g.Expect(answer[0].Answer.RetryAfter).To(BeNumerically(">", 0))
	// One of whose tasks another one waits is not refused at its latest start.
	c = newCore(1)
	c.Submit(deskJob("half", 3), 3, at(0))
	g.Expect(replies(c.Tick(at(400)))).To(BeEmpty())
}

// A job that has run in part is not refused, nor called failed while no task
// failed; it is given up once its answer is of no use, rather than be held until
// its caller leaves.
func TestABegunJobIsGivenUpOnceItsAnswerIsUseless(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(1))
	gone := deskTarget(0)
	gone.Draining = true
	c.UpdateTarget(gone, false, at(2))
	c.ExpireLeases(s.Target, at(500))
	g.Expect(replies(c.Tick(at(1300)))).To(BeEmpty(), "the objective is 220 ms")
	answer := replies(c.Tick(at(1340)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Broken))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.ExpiredRunning))
}

func TestAJobGoesToAPoolWithRoomRatherThanWait(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.SetPoolCapacities([]PoolCapacity{{Pool: "south", FreeTasks: 2}})
	g.Expect(starts(c.Submit(deskJob("here", 2), 1, at(0)))).To(HaveLen(2))
	answer := replies(c.Submit(deskJob("there", 2), 2, at(1)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Spill))
	g.Expect(answer[0].Answer.Pool).To(Equal("south"))
	g.Expect(replies(c.Submit(deskJob("none", 1), 3, at(2)))).To(BeEmpty(), "the room there is used up")
}

func TestAGivenUpPoolSendsOnOnlyWhatHasNotRun(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.Submit(deskJob("ran", 2), 1, at(0))
	c.Submit(deskJob("waits", 1), 2, at(0))
	outcomes := map[string]Outcome{}
	for _, r := range replies(c.AbandonJobs()) {
		outcomes[r.Job] = r.Answer.Outcome
	}
	g.Expect(outcomes).To(Equal(map[string]Outcome{"ran": Broken, "waits": Moved}))
}

func TestAHandedJobGoesOnWithoutASecondStart(t *testing.T) {
	g := NewWithT(t)
	old := newCore(2)
	s := starts(old.Submit(deskJob("j", 3), 1, at(0)))
	old.HandleRunEnded(s[0].Target, s[0].Run, EndDone, at(50))
	next := newCore(2)
	g.Expect(starts(next.ImportJobs(old.ExportJobs(), at(60)))).To(BeEmpty())
	for _, r := range replies(old.CompleteHandover("new")) {
		g.Expect(r.Answer.HandedOver).To(BeTrue())
	}
	next.HandleRunEnded(s[1].Target, s[1].Run, EndDone, at(100))
	next.HandleRunEnded(s[2].Target, s[2].Run, EndDone, at(100))
	answer := replies(next.Submit(deskJob("j", 3), 9, at(120)))
	g.Expect(answer).To(Equal([]Reply{{Waiter: 9, Job: "j", Answer: Answer{Outcome: Completed}}}), "it ended before its host asked")
}

func TestAHandedJobThatNobodyAsksForIsStopped(t *testing.T) {
	g := NewWithT(t)
	old := newCore(1)
	old.Submit(deskJob("j", 1), 1, at(0))
	next := newCore(1)
	next.ImportJobs(old.ExportJobs(), at(10))
	g.Expect(stops(next.Tick(at(1000)))).To(BeEmpty())
	g.Expect(stops(next.Tick(at(10).Add(handedLife + time.Millisecond)))).To(HaveLen(1))
}

func TestSharesLeaveSmallDemandsWhole(t *testing.T) {
	g := NewWithT(t)
	s := newShares()
	refused := map[string]int{}
	// 10 cores; one queue asks for 2, the other for 20.
	for ms := 0; ms < 10_000; ms += 10 {
		if !s.offer("small", 20, 10, at(ms)) {
			refused["small"]++
		}
		if !s.offer("large", 200, 10, at(ms)) && ms >= 4000 {
			refused["large"]++
		}
	}
	g.Expect(refused["small"]).To(BeZero())
	g.Expect(refused["large"]).To(BeNumerically("~", 360, 36), "8 of 20 cores are left for it, so 6 of 10 are refused")
}

func TestTheForecastCountsWhatRunsAndWhatWaits(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.need = usual{cpuMilli: 8000, seen: true}
	c.Submit(deskJob("runs", 2), 1, at(0))
	s := newJobState(deskJob("new", 1))
	g.Expect(c.forecast(s, at(0))).To(Equal(at(200)))
	g.Expect(c.forecast(newJobState(deskJob("wide", 4)), at(0))).To(Equal(at(300)))
}

func TestARunTimeIsJoinedWithTheQueuesUsualOne(t *testing.T) {
	g := NewWithT(t)
	r := newRunTimes()
	g.Expect(r.estimate("q", time.Second, 0.5)).To(Equal(time.Second))
	for range usualSamples {
		r.see("q", 100*time.Millisecond, 1)
	}
	g.Expect(r.estimate("q", 400*time.Millisecond, 0.5)).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(r.estimate("q", 0, 0.5)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// Orders that are carried out late get no answer, though their target is sound: the
// answer to another order shows it. Without that, one order in thirty without an
// answer kept a sixth of the targets out of use.
func TestATargetThatAnswersIsUsedAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	s := starts(c.Submit(deskJob("j", 1), 1, at(0)))[0]
	c.HandleStartResult(s.Target, s.Run, Unanswered, at(250))
	k := deskJob("k", 1)
	k.Steps[0].Estimate, k.SlackFactor = time.Second, 4
	g.Expect(starts(c.Submit(k, 2, at(251)))).To(BeEmpty(), "it is not known to answer")
	g.Expect(starts(c.HandleRunStopped(s.Target, s.Run, at(300)))).To(HaveLen(2))

	c = newCore(1)
	c.MarkUnresponsive("t0", at(0))
	late := deskJob("l", 1)
	late.Steps[0].Estimate, late.SlackFactor = time.Second, 4
	c.Submit(late, 3, at(1))
	g.Expect(starts(c.MarkResponsive("t0", at(100)))).To(HaveLen(1))
}

// A target that answers nothing is left alone for longer each time.
func TestASilentTargetIsTriedLessAndLessOften(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	var pauses []time.Duration
	now := at(0)
	for range 5 {
		c.MarkUnresponsive("t0", now)
		pauses = append(pauses, c.targets["t0"].silentTo.Sub(now))
		now = c.targets["t0"].silentTo
	}
	g.Expect(pauses).To(Equal([]time.Duration{ejectFirst, 2 * ejectFirst, 4 * ejectFirst, ejectMost, ejectMost}))
}
