package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newRackCore returns a Core whose targets t0, t2 and so on are in the rack r0 and the others
// in r1. Each has places for two tasks; those of r0 are full of tasks that end after 100 ms.
func newRackCore(targets int) (*Core, []Start) {
	c := newCore(targets)
	c.config.RemoteFactor, c.config.MaxLocalWait = 3, time.Second
	fill := newDeskJob("fill", targets/2*2)
	fill.Steps[0].Label = "r0"
	fill.Deadline, fill.TargetLatency = at(20000), 10*time.Second
	return c, starts(c.Submit(fill, 1, at(0)))
}

// newRackJob returns a job that arrives at a time, with tasks whose data is in the rack r0.
func newRackJob(id string, tasks int, ms int) Job {
	j := newDeskJob(id, tasks)
	j.ArrivedAt, j.Deadline, j.TargetLatency = at(ms), at(ms+5000), 500*time.Millisecond
	j.Steps[0].DataRack = "r0"
	return j
}

func localWaitsEnded(effects []Effect) []LocalWaitEnded {
	var out []LocalWaitEnded
	for _, e := range effects {
		if w, ok := e.(LocalWaitEnded); ok {
			out = append(out, w)
		}
	}
	return out
}

// A local place that is free in 30 ms saves 200 ms of a remote run.
func TestATaskWaitsForALocalPlaceThatIsFreeSoon(t *testing.T) {
	g := NewWithT(t)
	c, filled := newRackCore(2)
	g.Expect(c.Submit(newRackJob("j", 1, 70), 2, at(70))).To(BeEmpty())
	effects := c.HandleRunEnded(filled[0].Target, filled[0].Run, EndDone, at(100))
	g.Expect(starts(effects)).To(HaveLen(1))
	g.Expect(starts(effects)[0].Target).To(Equal("t0"))
	ended := localWaitsEnded(effects)
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].Outcome).To(Equal(LocalWaitSucceeded))
	g.Expect(ended[0].Waited).To(Equal(30 * time.Millisecond))
	g.Expect(ended[0].LocalIn).To(Equal(30 * time.Millisecond))
	g.Expect(ended[0].RemoteCost).To(Equal(200 * time.Millisecond))
}

// Where waiting cannot pay, is switched off or does not concern the task, the task starts at
// once, as without the feature.
func TestATaskThatGainsNothingDoesNotWait(t *testing.T) {
	for name, change := range map[string]func(*Core, *Job){
		"a remote run costs less than the wait": func(c *Core, _ *Job) { c.config.RemoteFactor = 1.2 },
		"no remote factor":                      func(c *Core, _ *Job) { c.config.RemoteFactor = 0 },
		"equal run times everywhere":            func(c *Core, _ *Job) { c.config.RemoteFactor = 1 },
		"waits are switched off":                func(c *Core, _ *Job) { c.config.MaxLocalWait = 0 },
		"the setting allows too short a wait":   func(c *Core, _ *Job) { c.config.MaxLocalWait = 20 * time.Millisecond },
		"no slack":                              func(_ *Core, j *Job) { j.SlackFactor, j.TargetLatency = 1, 20*time.Millisecond },
		"no data rack":                          func(_ *Core, j *Job) { j.Steps[0].DataRack = "" },
		"no target of the rack":                 func(_ *Core, j *Job) { j.Steps[0].DataRack = "r7" },
		"a trial, which starts at once or not":  func(_ *Core, j *Job) { j.OnlyAtOnce = true },
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newRackCore(2)
			j := newRackJob("j", 1, 70)
			change(c, &j)
			s := starts(c.Submit(j, 2, at(70)))
			NewWithT(t).Expect(s).To(HaveLen(1))
			NewWithT(t).Expect(s[0].Target).To(Equal("t1"))
		})
	}
}

// A wait must not cost others the places that are free: they start at once, also on the last
// one, as long as another place is certain for the task that waits.
func TestATaskThatWaitsHoldsNoPlaceBack(t *testing.T) {
	g := NewWithT(t)
	c, _ := newRackCore(2)
	g.Expect(starts(c.Submit(newRackJob("waits", 1, 70), 2, at(70)))).To(BeEmpty())
	other := newDeskJob("other", 2)
	other.ArrivedAt = at(80)
	s := starts(c.Submit(other, 3, at(80)))
	g.Expect(s).To(HaveLen(2))
	g.Expect([]string{s[0].Run.Job, s[1].Run.Job}).To(HaveEach("other"))
	g.Expect([]string{s[0].Target, s[1].Target}).To(HaveEach("t1"))
}

// Runs that do not end as expected, such as those of a heavy tail, must not keep a task
// waiting beyond its bound, nor a job that could have started be refused for its wait.
func TestATaskIsStartedRemotelyWhenItsLocalPlaceDoesNotBecomeFree(t *testing.T) {
	g := NewWithT(t)
	c, _ := newRackCore(2)
	j := newRackJob("j", 1, 70)
	j.TargetLatency = 300 * time.Millisecond
	g.Expect(starts(c.Submit(j, 2, at(70)))).To(BeEmpty())
	wait := c.jobs["j"].tasks[0].localWait
	for ms := 80; ms < 1000; ms += 20 {
		effects := c.Tick(at(ms))
		g.Expect(replies(effects)).To(BeEmpty())
		if s := starts(effects); len(s) > 0 {
			g.Expect(s[0].Target).To(Equal("t1"))
			g.Expect(localWaitsEnded(effects)[0].Outcome).NotTo(Equal(LocalWaitSucceeded))
			g.Expect(at(ms - 20)).To(BeTemporally("<", wait.startBy))
			return
		}
	}
	t.Fatal("the task is never started")
}

// When the local targets are lost or drain during a wait, nothing is left to wait for.
func TestAWaitEndsWithItsLocalTargets(t *testing.T) {
	for name, lose := range map[string]func(*Core) []Effect{
		"lost":             func(c *Core) []Effect { return c.RemoveTarget("t0", LeasesExpired, 0, at(80)) },
		"does not answer":  func(c *Core) []Effect { return append(c.MarkUnresponsive("t0", at(80)), c.Tick(at(81))...) },
		"domain evacuated": func(c *Core) []Effect { return append(c.SetEvacuated(true, at(80)), c.Tick(at(81))...) },
		"drains": func(c *Core) []Effect {
			draining := newDeskTarget(0)
			draining.Draining = true
			return c.UpdateTarget(draining, false, at(80))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, filled := newRackCore(2)
			c.config.EvacuationGrace = time.Second
			c.HandleRunEnded(filled[0].Target, filled[0].Run, EndDone, at(60))
			g.Expect(starts(c.Submit(newRackJob("j", 2, 70), 2, at(70)))).To(HaveLen(1), "one task starts locally, the other waits")
			effects := lose(c)
			onRemote := starts(effects)
			g.Expect(onRemote).NotTo(BeEmpty())
			g.Expect(onRemote[0].Target).To(Equal("t1"))
			g.Expect(localWaitsEnded(effects)[0].Outcome).To(Equal(LocalWaitHopeless))
		})
	}
}

// The tasks that wait for a hot rack take turns: as many wait as places become free in time.
// Where waits fail, they stop, and are tried again later.
func TestWaitsForAHotRackStopWhenTheyFail(t *testing.T) {
	g := NewWithT(t)
	c, _ := newRackCore(40)
	s := starts(c.Submit(newRackJob("wide", 12, 70), 2, at(70)))
	g.Expect(s).To(BeEmpty(), "20 targets of the rack free 40 places in 30 ms")

	few, _ := newRackCore(2)
	s = starts(few.Submit(newRackJob("wide", 12, 70), 2, at(70)))
	g.Expect(s).To(HaveLen(2), "on the free places of the other rack")
	var forecasts []time.Duration
	for _, w := range few.localWaits.active {
		forecasts = append(forecasts, w.option.LocalIn)
	}
	first := 30 * time.Millisecond
	g.Expect(forecasts).To(ConsistOf(first, first, first+100*time.Millisecond), "two places in 30 ms, and a third after the tasks there")

	failed := waitSuccess{initialWaitSuccess, at(70)}
	for range 20 {
		failed = failed.observe(false, at(70))
	}
	c.localWaits.success = map[string]waitSuccess{"r0": failed}
	g.Expect(starts(c.Submit(newRackJob("after", 1, 75), 3, at(75)))).To(HaveLen(1))
	g.Expect(c.waitSuccessOf("r1", at(75))).To(Equal(initialWaitSuccess), "of another rack")
	g.Expect(c.waitSuccessOf("r0", at(75))).To(BeNumerically("<", minWaitSuccess))
	g.Expect(c.waitSuccessOf("r0", at(10000))).To(BeNumerically(">", minWaitSuccess))
}

// A remote run that takes as long as expected must not make its target or its queue seem
// slow.
func TestARemoteRunIsNotTakenForASlowTarget(t *testing.T) {
	g := NewWithT(t)
	c, _ := newRackCore(2)
	c.config.MaxLocalWait = 0
	j := newRackJob("j", 1, 0)
	s := starts(c.Submit(j, 2, at(0)))
	g.Expect(s[0].Target).To(Equal("t1"))
	c.HandleRunEnded("t1", s[0].Run, EndDone, at(300))
	g.Expect(c.targets["t1"].slowdown).To(BeNumerically("~", 1, 0.01))
	g.Expect(c.runTimes.byQueue["q"].meanLogSeconds).To(BeNumerically("~", -2.3, 0.01), "100 ms")
}
