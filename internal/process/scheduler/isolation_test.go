package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// decisions returns the decisions about suspects among the effects.
func decisions(effects []Effect) []SuspectDecision {
	var out []SuspectDecision
	for _, e := range effects {
		if d, ok := e.(SuspectDecided); ok {
			out = append(out, d.Decision)
		}
	}
	return out
}

// loseFirstTarget submits a patient job of two tasks to targets for two each, of which the
// first one that gets a task is lost with both.
func loseFirstTarget(c *Core, now int) (first Start, again []Effect) {
	s := starts(c.Submit(newPatientJob("j"), 1, at(now)))[0]
	c.HandleStartResult(s.Target, s.Run, Started, at(now))
	return s, c.RemoveTarget(s.Target, TargetReplaced, 0, at(now+1))
}

// Tasks that run beside a deadly one are lost with each target that it crashes.
func TestASuspectIsStartedAloneAndNothingBesideIt(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	_, again := loseFirstTarget(c, 0)
	g.Expect(starts(again)).To(HaveLen(1))
	g.Expect(decisions(again)).To(Equal([]SuspectDecision{SuspectStartedAlone}))
	free, _ := c.Load(at(10))
	g.Expect(free).To(BeZero(), "reported room that no task gets")
	g.Expect(starts(c.Submit(newPatientJob("other"), 2, at(10)))).To(BeEmpty(), "started beside a suspect")
	suspect := starts(again)[0]
	ended := c.HandleRunEnded(suspect.Target, suspect.Run, EndDone, at(100))
	g.Expect(starts(ended)).To(HaveLen(1))
}

// On a full pool a suspect would wait for an idle target until its job expires.
func TestASuspectGetsATargetOfItsOwnOnAFullPool(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	wide := newPatientJob("wide")
	wide.Steps[0].Count = 3
	running := starts(c.Submit(wide, 2, at(0)))
	first := starts(c.Submit(newPatientJob("j"), 1, at(1)))[0] // beside one of them
	c.HandleStartResult(first.Target, first.Run, Started, at(2))
	lost := c.RemoveTarget(first.Target, TargetReplaced, 0, at(3))
	var left []Start
	for _, s := range running {
		if s.Target != first.Target {
			left = append(left, s)
		}
	}
	g.Expect(left).To(HaveLen(2))
	g.Expect(starts(lost)).To(BeEmpty(), "no target is idle")
	g.Expect(decisions(lost)).To(ContainElement(SuspectTargetReserved))
	ended := c.HandleRunEnded(left[0].Target, left[0].Run, EndDone, at(100))
	g.Expect(starts(ended)).To(BeEmpty(), "started on the target that is to become idle")
	ended = c.HandleRunEnded(left[1].Target, left[1].Run, EndDone, at(110))
	g.Expect(starts(ended)).To(HaveLen(1))
	g.Expect(starts(ended)[0].Run.Job).To(Equal("j"))
}

func TestASuspectStaysAloneWhenItsPoolIsHandedOver(t *testing.T) {
	g := NewWithT(t)
	former := newCore(2)
	first, again := loseFirstTarget(former, 0)
	g.Expect(starts(again)).To(HaveLen(1))
	successor := NewCore(DefaultConfig())
	left := starts(again)[0].Target
	for _, l := range former.losses.OfJob("j") {
		successor.losses.Record(l, at(20))
	}
	successor.ImportJobs(former.ExportJobs(oneSecondLease, at(20)), at(20))
	successor.UpdateTarget(former.targets[left].Target, false, at(30)) // known only after the jobs
	g.Expect(left).NotTo(Equal(first.Target))
	g.Expect(starts(successor.Submit(newPatientJob("other"), 2, at(40)))).To(BeEmpty(), "started beside a suspect")
}

// A caller lost the whole worth of a job that was held until its deadline for a verdict on
// lost targets, which may never come.
func TestAJobThatAwaitsAVerdictIsAnsweredOnceItsObjectiveCannotBeMet(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	j := newPatientJob("j")
	j.TargetLatency = 3 * time.Second // due at 3.16 s, and the task takes 0.1 s
	second := loseTarget(c, starts(c.Submit(j, 7, at(0)))[0], at(10))[0]
	g.Expect(loseTarget(c, second, at(1100))).To(BeEmpty())
	g.Expect(replies(c.Tick(at(3050)))).To(BeEmpty(), "the verdict may still come in time")
	answers := replies(c.Tick(at(3070)))
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Answer.Outcome).To(Equal(Broken), "the job has run, and no task is known to be deadly")
	g.Expect(answers[0].Answer.Kind).To(Equal(failure.ExpiredRunning))
}

// A job's caller sends it again after a target was lost under it. The pool does not run
// it, and must not say that it has not run.
func TestAJobThatHasRunIsNotRefusedWhenItIsSentAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	loseFirstTarget(c, 0)
	c.Withdraw("j", 1, at(10))
	again := newPatientJob("j")
	again.Steps[0].Need.CPUMilli = 99_000
	answers := replies(c.Submit(again, 2, at(20)))
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Answer.Outcome).To(Equal(Broken))
}

// Targets are lost under random tasks of a full pool, come back and are heard of again.
// No run is beside that of a suspect, and no more targets are reserved than allowed.
func TestNoRunIsBesideThatOfASuspect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const targets = 16
		c := newCore(targets)
		now, jobs, life := 0, 0, uint64(1)
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			now += rapid.IntRange(1, 300).Draw(rt, "pause")
			id := fmt.Sprintf("t%d", rapid.IntRange(0, targets-1).Draw(rt, "target"))
			suspects := map[Run]bool{}
			var effects []Effect
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "expire", "replace", "come back", "end", "end", "heard", "tick"}).Draw(rt, "event") {
			case "submit":
				jobs++
				j := newPatientJob(fmt.Sprint("j", jobs))
				j.ArrivedAt = at(now)
				j.Steps[0].Count = rapid.IntRange(1, 8).Draw(rt, "tasks")
				effects = c.Submit(j, uint64(jobs), at(now))
			case "expire":
				effects = c.ExpireLeases(id, at(now))
			case "replace":
				effects = c.RemoveTarget(id, TargetReplaced, 0, at(now))
			case "come back":
				life++
				restarted := newDeskTarget(len(id))
				restarted.ID, restarted.Incarnation = id, life
				effects = c.UpdateTarget(restarted, false, at(now))
			case "end":
				if t, ok := c.targets[id]; ok && len(t.runs) > 0 {
					effects = c.HandleRunEnded(id, t.sortedRuns()[0].id, EndDone, at(now))
				}
			case "heard":
				decide(c, rapid.Uint64Range(1, life).Draw(rt, "incarnation"), at(now))
			case "tick":
				effects = c.Tick(at(now))
			}
			reserved := 0
			for _, e := range effects {
				if d, ok := e.(SuspectDecided); ok && d.Decision == SuspectStartedAlone {
					suspects[d.Run] = true
				}
			}
			for _, s := range starts(effects) {
				c.HandleStartResult(s.Target, s.Run, Started, at(now))
				count := c.losses.Count(lossTask(s.Run)).Sum()
				if (count > 0) != suspects[s.Run] {
					rt.Fatalf("task %s, under which %d targets may have crashed, is started alone: %v", s.Run.TaskID(), count, suspects[s.Run])
				}
				if count >= crashLimit {
					rt.Fatalf("task %s is started after %d losses", s.Run.TaskID(), count)
				}
			}
			for _, t := range c.targets {
				for _, r := range t.runs {
					if r.alone && len(t.runs) > 1 && !r.lost {
						rt.Fatalf("%s has %d runs, one of them of a suspect", t.ID, len(t.runs))
					}
				}
				if t.reservedFor != nil {
					reserved++
				}
			}
			if reserved > max(1, targets/reservedShare) || reserved != len(c.reservations) {
				rt.Fatalf("%d targets are reserved, for %d suspects", reserved, len(c.reservations))
			}
		}
	})
}

// A target that was only silent crashed under nobody. Its tasks would take whole targets.
func TestATaskWhoseLostTargetSurvivedIsNoSuspect(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	first := starts(c.Submit(newPatientJob("j"), 1, at(0)))[0]
	c.HandleStartResult(first.Target, first.Run, Started, at(1))
	c.MarkUnresponsive("t0", at(2))
	c.MarkUnresponsive("t1", at(2))
	g.Expect(starts(c.ExpireLeases(first.Target, at(500)))).To(BeEmpty())
	decide(c, 1, at(2000))
	g.Expect(c.losses.Count(lossTask(first.Run))).To(Equal(losses.Count{}))
	g.Expect(decisions(c.MarkResponsive("t1", at(2010)))).To(BeEmpty())
	g.Expect(starts(c.Submit(newPatientJob("other"), 2, at(2020)))).To(HaveLen(1), "kept away from a task that is no suspect")
}
