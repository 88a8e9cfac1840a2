package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	sharing "wasabifield.example/wasabifield/internal/process/slots"
)

// usable reports whether a target may get another task now.
func (c *Core) usable(now time.Time, t *Target) bool {
	return t.alive(now) && c.health.Usable(now, t.Target, t.busy)
}

// State returns whether a target is healthy, ejected or on trial.
func (c *Core) State(now time.Time, target string) health.State { return c.health.State(now, target) }

func (c *Core) setHealthTargets(now time.Time, live [poolCount][]sharing.Target) {
	var names []string
	for _, list := range live {
		for _, t := range list {
			names = append(names, t.Name)
		}
	}
	c.health.SetTargets(now, names)
	c.shutEjected(now)
}

// shutEjected keeps the slots of ejected targets from being used or lent.
func (c *Core) shutEjected(now time.Time) {
	for _, t := range c.order {
		ejected := c.health.State(now, t.Target) == health.Ejected
		c.pools.demand[poolOf(t)].Shut(t.Target, ejected)
	}
}

// observe tells the judge of targets how a task ended that was started.
func (c *Core) observe(now time.Time, s started, outcome Outcome) {
	key := s.key()
	if c.health.Observe(now, s.target.Target, key.Team+"/"+key.Kind, outcome != Done) {
		c.shutEjected(now)
	}
}

// heldSlot is the slot of a task that failed sooner than such tasks end.
type heldSlot struct {
	until  time.Time
	pool   int
	target string
}

// hold keeps the slot of a failed task for the rest of the usual run time, so
// that a target which fails fast gets no more tasks than one that works.
func (c *Core) hold(now time.Time, s started) {
	until := s.at.Add(c.runtimes.Estimate(now, s.key(), 0).Mean)
	if !now.Before(until) {
		c.pools.demand[s.pool].Release(s.target.Target)
		return
	}
	c.held = append(c.held, heldSlot{until, s.pool, s.target.Target})
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
	stragglerSamples = 50              // run times that a limit is learned from at least
	stragglerFactor  = 5               // limit of an attempt, in 99th percentiles of its kind
	stragglerLeast   = 2 * time.Second // limit of an attempt at least
)

// attemptLimit returns how long an attempt may take: a multiple of the longest
// usual run time where that is known, so that a silent connection or a task
// that hangs is given up long before the general limit.
func (c *Core) attemptLimit(now time.Time, s started) time.Duration {
	e := c.runtimes.Estimate(now, s.key(), 0)
	if e.Samples < stragglerSamples {
		return c.config.AttemptTimeout
	}
	return min(c.config.AttemptTimeout, max(stragglerLeast, stragglerFactor*e.P99))
}
