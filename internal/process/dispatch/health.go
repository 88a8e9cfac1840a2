package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	sharing "wasabifield.example/wasabifield/internal/process/slots"
	"wasabifield.example/wasabifield/internal/process/workers"
)

// usable reports whether a target may get another task now.
func (c *Core) usable(now time.Time, t *Target) bool {
	return t.Alive(now) && c.health.Usable(now, t.Target, t.starts) && !c.workers.Lost(now, t.Target)
}

// TargetHealth returns whether a target is healthy, ejected or on trial.
func (c *Core) TargetHealth(now time.Time, target string) health.State {
	return c.health.State(now, target)
}

// ReportUsage takes in the platform's reports on workers.
func (c *Core) ReportUsage(now time.Time, list []workers.Usage) {
	for _, u := range list {
		c.usages.Report(now, u)
	}
}

// recordContact notes whether a target gave a sign of life.
func (c *Core) recordContact(now time.Time, target string, silent bool) {
	if silent {
		c.workers.Failed(now, target)
		return
	}
	c.workers.Alive(now, target)
}

// updateHealthTargets hands the live targets to their judges.
func (c *Core) updateHealthTargets(now time.Time, live [poolCount][]sharing.Target) {
	var names []string
	var places []workers.Place
	for _, list := range live {
		for _, t := range list {
			names = append(names, t.Name)
			a := c.targets[t.Name].Announcement
			places = append(places, workers.Place{Target: t.Name, Worker: a.Worker, Rack: a.Rack})
		}
	}
	c.health.SetTargets(now, names)
	c.workers.SetPlaces(places)
	c.disableEjectedTargets(now)
}

// disableEjectedTargets keeps the slots of ejected targets from being used or lent.
func (c *Core) disableEjectedTargets(now time.Time) {
	for _, t := range c.targetOrder {
		t.healthState = c.health.State(now, t.Target)
		t.workerLost = c.workers.Lost(now, t.Target)
		c.pools.slotPools[poolOf(t)].Shut(t.Target, t.healthState == health.Ejected)
	}
}

// observeHealth tells the judge of targets how a task ended that was started.
func (c *Core) observeHealth(now time.Time, a attempt, outcome Outcome) {
	key := a.runtimeKey()
	if c.health.Observe(now, a.target.Target, key.Team+"/"+key.Kind, outcome != Done) {
		c.disableEjectedTargets(now)
	}
}

// heldSlot is the slot of an ended attempt that stays taken for a while.
type heldSlot struct {
	id     StartID
	until  time.Time
	pool   int
	target string
}

// holdSlot keeps the slot of an ended attempt. That of a failed task is kept for
// the usual run time, so that a target which fails fast gets no more tasks than
// one that works.
func (c *Core) holdSlot(now time.Time, a attempt, until time.Time) {
	if !now.Before(until) {
		c.pools.slotPools[a.pool].Release(a.target.Target)
		return
	}
	c.heldSlots = append(c.heldSlots, heldSlot{a.id, until, a.pool, a.target.Target})
}

// releaseHeldSlots frees the slots whose time is over.
func (c *Core) releaseHeldSlots(now time.Time) {
	c.heldSlots = slices.DeleteFunc(c.heldSlots, func(h heldSlot) bool {
		expired := !now.Before(h.until)
		if expired {
			c.pools.slotPools[h.pool].Release(h.target)
		}
		return expired
	})
}

const (
	minStragglerSamples = 50              // run times that suspicion is learned from at least
	stragglerFactor     = 5               // suspicion of an attempt, in longest run times of its kind
	minStragglerTimeout = 2 * time.Second // suspicion of an attempt at least
)

// suspicionDelay returns how long an attempt may take before its connection is
// suspect: a multiple of the longest run time of its kind lately, where that is
// known. The attempt itself goes on to its deadline: an answer that comes late
// and in time is worth more than an unknown outcome.
func (c *Core) suspicionDelay(now time.Time, a attempt) time.Duration {
	e := c.runtimes.Estimate(now, a.runtimeKey(), 0)
	if e.Samples < minStragglerSamples {
		return c.config.AttemptTimeout
	}
	return min(c.config.AttemptTimeout, max(minStragglerTimeout, stragglerFactor*e.Longest))
}
