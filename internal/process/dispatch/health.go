package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	sharing "wasabifield.example/wasabifield/internal/process/slots"
	"wasabifield.example/wasabifield/internal/process/workers"
)

// usable reports whether a target may get another task now: it is alive, its health
// allows another task and its worker and rack are not lost.
func (c *Core) usable(now time.Time, t *Target) bool {
	return t.Alive(now) && c.health.Usable(now, t.Target, t.starts) && !c.workers.Lost(now, t.Target)
}

// TargetHealth returns the health state of a target: healthy, ejected or on trial.
func (c *Core) TargetHealth(now time.Time, target string) health.State {
	return c.health.State(now, target)
}

// ReportUsage records the load of workers as reported by their platform.
func (c *Core) ReportUsage(now time.Time, list []workers.Usage) {
	for _, u := range list {
		c.usages.Record(now, u)
	}
}

// recordContact records whether a target answered an attempt.
func (c *Core) recordContact(now time.Time, target string, noAnswer bool) {
	if noAnswer {
		c.workers.RecordNoAnswer(now, target)
		return
	}
	c.workers.RecordContact(now, target)
}

// updateHealthTargets passes the live targets to the health tracker and their
// workers and racks to the worker table.
func (c *Core) updateHealthTargets(now time.Time, live [poolCount][]sharing.Target) {
	var names []string
	var places []workers.Placement
	for _, list := range live {
		for _, t := range list {
			names = append(names, t.Name)
			a := c.targets[t.Name].Announcement
			places = append(places, workers.Placement{Target: t.Name, Worker: a.Worker, Rack: a.Rack})
		}
	}
	c.health.SetTargets(now, names)
	c.workers.SetPlacements(places)
	c.disableEjectedTargets(now)
}

// disableEjectedTargets updates the health state of all targets and takes the slots
// of ejected and evacuated targets out of use: they are neither assigned nor lent.
func (c *Core) disableEjectedTargets(now time.Time) {
	for _, t := range c.targetOrder {
		t.healthState = c.health.State(now, t.Target)
		t.workerLost = c.workers.Lost(now, t.Target)
		t.evacuated = c.evacuated
		c.pools.slotPools[poolOf(t)].SetDisabled(t.Target, t.healthState == health.Ejected || c.evacuated)
	}
}

// observeHealth reports the outcome of a task that was started to the health tracker.
func (c *Core) observeHealth(now time.Time, a attempt, outcome Outcome) {
	key := a.runtimeKey()
	if c.health.Observe(now, a.target.Target, key.Team+"/"+key.Kind, outcome != Done) {
		c.disableEjectedTargets(now)
	}
}

// heldSlot is the slot of an ended attempt that stays in use until a given time.
type heldSlot struct {
	id        StartID
	heldUntil time.Time
	pool      int
	target    string
}

// holdSlot keeps the slot of an ended attempt in use until a given time. The slot
// of a failed task is kept for the mean run time of its kind, so that a target that
// fails fast gets no more tasks than a target that works.
func (c *Core) holdSlot(now time.Time, a attempt, until time.Time) {
	if !now.Before(until) {
		c.pools.slotPools[a.pool].Release(a.target.Target)
		return
	}
	c.heldSlots = append(c.heldSlots, heldSlot{a.id, until, a.pool, a.target.Target})
}

// releaseHeldSlots releases the held slots whose time has passed.
func (c *Core) releaseHeldSlots(now time.Time) {
	c.heldSlots = slices.DeleteFunc(c.heldSlots, func(h heldSlot) bool {
		expired := !now.Before(h.heldUntil)
		if expired {
			c.pools.slotPools[h.pool].Release(h.target)
		}
		return expired
	})
}

const (
	minStragglerSamples = 50              // run times of a kind needed to derive its suspicion delay
	stragglerFactor     = 5               // suspicion delay, in multiples of the longest run time of the kind
	minStragglerTimeout = 2 * time.Second // lower bound of the suspicion delay
)

// suspicionDelay returns how long an attempt may take before its connection is
// suspect: a multiple of the longest recent run time of its kind, or AttemptTimeout
// if too few run times are known. The attempt continues to its deadline, because a
// late answer within the deadline is worth more than an unknown outcome.
func (c *Core) suspicionDelay(now time.Time, a attempt) time.Duration {
	e := c.runtimes.Estimate(now, a.runtimeKey(), 0)
	if e.Samples < minStragglerSamples {
		return c.config.AttemptTimeout
	}
	return min(c.config.AttemptTimeout, max(minStragglerTimeout, stragglerFactor*e.Longest))
}
