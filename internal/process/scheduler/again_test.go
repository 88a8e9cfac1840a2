package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// withdrawn returns a pool in which a job was withdrawn whose runs have started.
func withdrawn(t *testing.T, targets int, j Job) (*Core, []Start) {
	t.Helper()
	g := NewWithT(t)
	c := newCore(targets)
	started := starts(c.Submit(j, 1, at(0)))
	g.Expect(started).To(HaveLen(j.TaskCount()))
	for _, s := range started {
		c.HandleStartResult(s.Target, s.Run, Started, at(2))
	}
	g.Expect(stops(c.Withdraw(j.ID, 1, at(10)))).To(HaveLen(j.TaskCount()))
	return c, started
}

func TestATaskThatComesAgainStartsBesideItsFormerRun(t *testing.T) {
	for name, release := range map[string]func(*Core, Start) []Effect{
		"stopped":       func(c *Core, s Start) []Effect { return c.HandleRunStopped(s.Target, s.Run, at(40)) },
		"lease expired": func(c *Core, s Start) []Effect { return c.ExpireLeases(s.Target, at(40)) },
		"target lost": func(c *Core, s Start) []Effect {
			removed := c.RemoveTarget(s.Target, TargetReplaced, 20*time.Millisecond, at(40))
			return append(removed, c.Tick(at(60))...)
		},
		"ended": func(c *Core, s Start) []Effect { return c.HandleRunEnded(s.Target, s.Run, EndStopped, at(40)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, former := withdrawn(t, 3, newDeskJob("j", 1))
			g.Expect(starts(c.Submit(newDeskJob("j", 1), 2, at(20)))).To(BeEmpty(), "the former run is being stopped")
			g.Expect(starts(c.Tick(at(30)))).To(BeEmpty())
			again := starts(release(c, former[0]))
			g.Expect(again).To(HaveLen(1))
			g.Expect(again[0].Run.Number).To(Equal(2))
		})
	}
}

// The runs have the same numbers, and the indexes of tasks are those in the whole job.
func TestAPartStartsBesideFormerRunsOfTheWholeJob(t *testing.T) {
	g := NewWithT(t)
	c, former := withdrawn(t, 4, newDeskJob("j", 2))
	again := starts(c.Submit(newPart(1, 3), 2, at(20)))
	g.Expect(again).To(HaveLen(2), "tasks 2 and 3 have no former run")
	again = starts(c.HandleRunStopped(former[1].Target, former[1].Run, at(40)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Run).To(Equal(Run{Job: "j", Index: 1, Number: 2}))
	g.Expect(starts(c.HandleRunStopped(former[0].Target, former[0].Run, at(50)))).To(BeEmpty(), "task 0 is none of the part's")
}

// Its own former runs fill the pool: another pool would start the tasks beside them.
func TestAJobThatWaitsForItsFormerRunsIsRefusedOrSpilled(t *testing.T) {
	for _, onlyAtOnce := range []bool{false, true} {
		g := NewWithT(t)
		j := newDeskJob("j", 4)
		c, former := withdrawn(t, 2, j)
		c.SetPoolCapacities([]PoolCapacity{{Pool: "north#1", FreeTasks: 100, SameDomain: true}})
		j.OnlyAtOnce = onlyAtOnce
		g.Expect(replies(c.Submit(j, 2, at(20)))).To(BeEmpty())
		again := 0
		for _, s := range former {
			again += len(starts(c.HandleRunStopped(s.Target, s.Run, at(40))))
		}
		g.Expect(again).To(Equal(4))
	}
}

func TestAFormerRunIsForgottenWithAJobThatIsWithdrawnAgain(t *testing.T) {
	g := NewWithT(t)
	c, former := withdrawn(t, 2, newDeskJob("j", 1))
	c.Submit(newDeskJob("j", 1), 2, at(20))
	g.Expect(stops(c.Withdraw("j", 2, at(25)))).To(BeEmpty(), "its stop is requested already")
	g.Expect(starts(c.Submit(newDeskJob("j", 1), 3, at(30)))).To(BeEmpty())
	g.Expect(starts(c.HandleRunStopped(former[0].Target, former[0].Run, at(40)))).To(HaveLen(1))
	g.Expect(c.formerRuns).To(BeEmpty())
}

// The former run has completed before its stop arrived.
func TestACompletedFormerRunIsRepeated(t *testing.T) {
	g := NewWithT(t)
	c, former := withdrawn(t, 2, newDeskJob("j", 1))
	c.Submit(newDeskJob("j", 1), 2, at(20))
	effects := c.HandleRunEnded(former[0].Target, former[0].Run, EndDone, at(40))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(replies(effects)).To(Equal([]Reply{{Waiter: 2, Job: "j", Answer: Answer{Outcome: Completed}}}))
}

// The new holder must know of the former run, too: it starts the task on another target.
func TestAHandoverForgetsTheFormerRunThatAJobWaitsFor(t *testing.T) {
	g := NewWithT(t)
	c, former := withdrawn(t, 2, newDeskJob("j", 1))
	c.Submit(newDeskJob("j", 1), 2, at(20))
	moved := newCore(2)
	effects := moved.ImportJobs(c.ExportJobs(func(string) time.Duration { return time.Second }, at(30)), at(30))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
	g.Expect(starts(moved.HandleRunStopped(former[0].Target, former[0].Run, at(40)))).To(HaveLen(1))
}

func TestATaskStartsBesideARunThatItsTargetListsAndThisHostDidNotStart(t *testing.T) {
	former := Run{Job: "j", Number: 4}
	for name, end := range map[string]func(*Core) []Effect{
		"not listed any more": func(c *Core) []Effect { return c.ReleaseUnlistedRuns("t0", nil, at(40)) },
		"stopped":             func(c *Core) []Effect { return c.ReleaseUnknownRun("t0", former, at(40)) },
		"lease expired":       func(c *Core) []Effect { return c.Tick(at(1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCore(3)
			c.RecordUnknownRun("t0", former, at(1000))
			effects := c.Submit(newDeskJob("j", 2), 1, at(20))
			g.Expect(starts(effects)).To(HaveLen(1), "task 1 has no former run")
			g.Expect(starts(c.ReleaseUnlistedRuns("t1", nil, at(30)))).To(BeEmpty(), "another target's report")
			g.Expect(starts(c.ReleaseUnlistedRuns("t0", map[Run]bool{former: true}, at(30)))).To(BeEmpty())
			again := starts(end(c))
			g.Expect(again).To(HaveLen(1))
			g.Expect(again[0].Run).To(Equal(Run{Job: "j", Number: 5}))
			g.Expect(c.unknownRuns).To(BeEmpty())
		})
	}
}

func TestAHandoverForgetsARunThatATaskWaitsForAndNoHolderKnows(t *testing.T) {
	g := NewWithT(t)
	c, moved := newCore(1), newCore(2)
	c.RecordUnknownRun("t0", Run{Job: "j", Number: 4}, at(1000))
	g.Expect(starts(c.Submit(newDeskJob("j", 1), 1, at(20)))).To(BeEmpty())
	effects := moved.ImportJobs(c.ExportJobs(func(string) time.Duration { return 0 }, at(30)), at(30))
	g.Expect(starts(effects)).To(BeEmpty())
	g.Expect(stops(effects)).To(HaveLen(1))
}

func TestAHandoverNumbersARunLikeAnUnknownRunOfItsTask(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	g.Expect(starts(c.Submit(newDeskJob("j", 1), 1, at(0)))).To(HaveLen(1))
	c.RecordUnknownRun("t1", Run{Job: "j", Number: 4}, at(1000))
	g.Expect(c.ExportJobs(oneSecondLease, at(10))[0].Tasks[0].LastRunNumber).To(Equal(1), "the run in progress")
}

func TestAnImportedTaskStartsUnderTheNumberOfAnUnknownRun(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	c.RecordUnknownRun("t0", Run{Job: "j", Number: 4}, at(1000))
	waiting := HandoverJob{Job: newDeskJob("j", 1), HasStarted: true, AwaitedAt: at(10), Tasks: []HandoverTask{{LastRunNumber: 1}}}
	g.Expect(starts(c.ImportJobs([]HandoverJob{waiting}, at(10)))).To(BeEmpty())
	again := starts(c.ReleaseUnlistedRuns("t0", nil, at(20)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Run.Number).To(Equal(5), "the target refuses lower numbers")
}
