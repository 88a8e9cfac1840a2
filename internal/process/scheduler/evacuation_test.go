package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/request/failure"
)

func newEvacuableCore(targets int) *Core {
	c := newCore(targets)
	c.config.EvacuationGrace = time.Second
	return c
}

// A job that waits while its domain is evacuated must run elsewhere at once; tasks of a
// started job may follow for the grace period, and no longer.
func TestAnEvacuatedPoolStartsOnlyWhatHasBegun(t *testing.T) {
	g := NewWithT(t)
	c := newEvacuableCore(1) // two tasks at once
	first := starts(c.Submit(newDeskJob("begun", 3), 1, at(0)))
	g.Expect(first).To(HaveLen(2))
	waiting := newDeskJob("waiting", 1)
	waiting.TargetLatency = 5 * time.Second
	g.Expect(c.Submit(waiting, 2, at(1))).To(BeEmpty())

	c.SetPoolCapacities([]PoolCapacity{{Pool: "north#1", FreeTasks: 9, SameDomain: true}, {Pool: "south", FreeTasks: 4}})
	answers := replies(c.SetEvacuated(true, at(10)))
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Job).To(Equal("waiting"))
	g.Expect(answers[0].Answer.Outcome).To(Equal(Spill))
	g.Expect(answers[0].Answer.Pools).To(Equal([]string{"south"}))
	free, _ := c.Load(at(11))
	g.Expect(free).To(BeZero())

	c.SetPoolCapacities(nil)
	refused := replies(c.Submit(newDeskJob("new", 1), 3, at(20)))
	g.Expect(refused[0].Answer.Outcome).To(Equal(Refused))
	g.Expect(refused[0].Answer.RetryAfter).To(BeNumerically(">", 0))

	third := starts(c.HandleRunEnded(first[0].Target, first[0].Run, EndDone, at(100)))
	g.Expect(third).To(HaveLen(1), "the begun job's last task within the grace period")
	// The run fails after the grace period: its task must not start again, and the run in
	// progress beside it ends normally before the job is answered.
	g.Expect(c.HandleRunEnded(third[0].Target, third[0].Run, EndFailed, at(1100))).To(ConsistOf(BeAssignableToTypeOf(LogEntry{})))
	g.Expect(starts(c.Tick(at(1200)))).To(BeEmpty())
	g.Expect(stops(c.Tick(at(1210)))).To(BeEmpty())
	g.Expect(replies(c.HandleRunEnded(first[1].Target, first[1].Run, EndDone, at(1300)))).To(BeEmpty())
	broken := replies(c.Tick(at(1320)))
	g.Expect(broken).To(HaveLen(1))
	g.Expect(broken[0].Answer.Outcome).To(Equal(Broken))
	g.Expect(broken[0].Answer.Kind).To(Equal(failure.ExpiredRunning))
}

func TestAPoolStartsJobsAgainAfterTheWithdrawal(t *testing.T) {
	g := NewWithT(t)
	c := newEvacuableCore(1)
	c.SetEvacuated(true, at(0))
	c.SetEvacuated(false, at(5000))
	g.Expect(starts(c.Submit(newDeskJob("j", 2), 1, at(5001)))).To(HaveLen(2))
}

// Guards against a burst of work on targets that have just started.
func TestAColdTargetIsChosenLastAndGetsOneRunAtATime(t *testing.T) {
	g := NewWithT(t)
	c := newCore(0)
	cold, warm := newDeskTarget(0), newDeskTarget(1)
	cold.ColdUntil = at(1000)
	c.UpdateTarget(cold, false, at(0))
	c.UpdateTarget(warm, false, at(0))
	free, _ := c.Load(at(0))
	g.Expect(free).To(Equal(17), "16 tasks of one core on the warm target and one on the cold one")
	alone := starts(c.Submit(newDeskJob("i", 1), 3, at(0)))
	g.Expect(alone[0].Target).To(Equal("t1"), "the cold target was chosen before the warm one")
	c.HandleRunEnded("t1", alone[0].Run, EndDone, at(0))
	byTarget := map[string]int{}
	for _, s := range starts(c.Submit(newDeskJob("j", 3), 1, at(0))) {
		byTarget[s.Target]++
	}
	g.Expect(byTarget).To(Equal(map[string]int{"t0": 1, "t1": 2}))
	k := newDeskJob("k", 1)
	k.TargetLatency = 5 * time.Second
	g.Expect(starts(c.Submit(k, 2, at(1)))).To(BeEmpty(), "a second run on the cold target")
	g.Expect(starts(c.Tick(at(1000)))).To(HaveLen(1))
}

// Over random orders of requests, ends, failures and losses: no task starts once the
// grace period is over, none of a job without a started task starts while the domain is
// evacuated, no task runs twice at once, a refused job has not run, and each job is
// answered once.
func TestAnEvacuatedPoolKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newEvacuableCore(2)
		now, evacuatedAt, evacuated := epoch, time.Time{}, false
		running, started, answered := map[Run]string{}, map[string]bool{}, map[string]int{}
		submitted := 0
		observe := func(effects []Effect, begunBefore map[string]bool) {
			for _, e := range effects {
				switch e := e.(type) {
				case Start:
					if evacuated && !now.Before(evacuatedAt.Add(time.Second)) {
						t.Fatalf("%v starts %v after the evacuation", e.Run, now.Sub(evacuatedAt))
					}
					if evacuated && !begunBefore[e.Run.Job] {
						t.Fatalf("%v starts though the domain is evacuated and its job had not begun", e.Run)
					}
					for r := range running {
						if r.TaskID() == e.Run.TaskID() {
							t.Fatalf("%v starts beside %v", e.Run, r)
						}
					}
					running[e.Run], started[e.Run.Job] = e.Target, true
				case Reply:
					if answered[e.Job]++; answered[e.Job] > 1 {
						t.Fatalf("job %s is answered twice", e.Job)
					}
					if o := e.Answer.Outcome; (o == Refused || o == Spill) && started[e.Job] {
						t.Fatalf("job %s has run and is answered %v", e.Job, o)
					}
				}
			}
		}
		step := func(effects []Effect) {
			begun := map[string]bool{}
			for j := range started {
				begun[j] = true
			}
			observe(effects, begun)
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				j := newDeskJob(fmt.Sprint("j", submitted), rapid.IntRange(1, 4).Draw(t, "tasks"))
				j.ArrivedAt, j.Deadline, j.TargetLatency = now, now.Add(time.Minute), 5*time.Second
				submitted++
				step(c.Submit(j, uint64(submitted), now))
			case 2:
				if next := rapid.Bool().Draw(t, "evacuated"); next != evacuated {
					evacuated, evacuatedAt = next, now
					step(c.SetEvacuated(next, now))
				}
			case 3, 4:
				for _, r := range sortedRunKeys(running) {
					id := running[r]
					delete(running, r)
					end := rapid.SampledFrom([]End{EndDone, EndDone, EndFailed}).Draw(t, "end")
					step(c.HandleRunEnded(id, r, end, now))
					break
				}
			case 5:
				for r, id := range running {
					if id == "t0" {
						delete(running, r)
					}
				}
				step(c.ExpireLeases("t0", now))
			case 6:
				step(c.Tick(now))
			}
		}
		if len(answered) > submitted {
			t.Fatalf("%d answers to %d jobs", len(answered), submitted)
		}
	})
}

func sortedRunKeys(running map[Run]string) []Run {
	return slices.SortedFunc(maps.Keys(running), func(a, b Run) int { return compareRuns(&run{id: a}, &run{id: b}) })
}
