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
	return t.Alive(now) && c.health.Usable(now, t.Target, t.busy) && !c.workers.Lost(now, t.Target)
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

// hear notes whether a target gave a sign of life.
func (c *Core) hear(now time.Time, target string, silent bool) {
	if silent {
		c.workers.Failed(now, target)
		return
	}
	c.workers.Alive(now, target)
}

// setHealthTargets hands the live targets to their judges.
func (c *Core) setHealthTargets(now time.Time, live [poolCount][]sharing.Target) {
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
	c.shutEjected(now)
}

// shutEjected keeps the slots of ejected targets from being used or lent.
func (c *Core) shutEjected(now time.Time) {
	for _, t := range c.order {
		t.state = c.health.State(now, t.Target)
		t.lost = c.workers.Lost(now, t.Target)
		c.pools.demand[poolOf(t)].Shut(t.Target, t.state == health.Ejected)
	}
}

// observe tells the judge of targets how a task ended that was started.
func (c *Core) observe(now time.Time, s started, outcome Outcome) {
	key := s.key()
	if c.health.Observe(now, s.target.Target, key.Team+"/"+key.Kind, outcome != Done) {
		c.shutEjected(now)
	}
}

// heldSlot is the slot of an ended attempt that stays taken for a while.
type heldSlot struct {
	id     StartID
	until  time.Time
	pool   int
	target string
}

// hold keeps the slot of an ended attempt. That of a failed task is kept for
// the usual run time, so that a target which fails fast gets no more tasks than
// one that works.
func (c *Core) hold(now time.Time, s started, until time.Time) {
	if !now.Before(until) {
		c.pools.demand[s.pool].Release(s.target.Target)
		return
	}
	c.held = append(c.held, heldSlot{s.id, until, s.pool, s.target.Target})
}

// releaseHeld frees the slots whose time is over.
func (c *Core) releaseHeld(now time.Time) {
	c.held = slices.DeleteFunc(c.held, func(h heldSlot) bool {
		over := !now.Before(h.until)
		if over {
			c.pools.demand[h.pool].Release(h.target)
		}
		return over
	})
}

const (
	stragglerSamples = 50              // run times that suspicion is learned from at least
	stragglerFactor  = 5               // suspicion of an attempt, in longest run times of its kind
	stragglerLeast   = 2 * time.Second // suspicion of an attempt at least
)

// suspectAfter returns how long an attempt may take before its connection is
// suspect: a multiple of the longest run time of its kind lately, where that is
// known. The attempt itself goes on to its deadline: an answer that comes late
// and in time is worth more than an unknown outcome.
func (c *Core) suspectAfter(now time.Time, s started) time.Duration {
	e := c.runtimes.Estimate(now, s.key(), 0)
	if e.Samples < stragglerSamples {
		return c.config.AttemptTimeout
	}
	return min(c.config.AttemptTimeout, max(stragglerLeast, stragglerFactor*e.Longest))
}
