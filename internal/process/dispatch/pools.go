package dispatch

import (
	"slices"
	"time"

	sharing "wasabifield.example/wasabifield/internal/process/slots"
)

// Targets with an accelerator are shared apart from the others, so that a host
// whose tasks need one borrows no slots that are of no use to it.
const (
	plainPool = iota
	acceleratorPool
	poolCount
)

const (
	slotBatch = 2 * time.Millisecond // loans to a peer are gathered for this long
	slotFull  = time.Second          // between two reports that name every target
)

// pools shares the slots of the live targets with the peers.
type pools struct {
	demand  [poolCount]*sharing.Demand
	targets [poolCount][]sharing.Target // in force
}

func newPools(config Config) *pools {
	p := &pools{}
	for i := range p.demand {
		p.demand[i] = sharing.NewDemand(config.sharing())
	}
	return p
}

func (c Config) sharing() sharing.DemandConfig {
	return sharing.DemandConfig{
		Self:  c.Host,
		Retry: c.SlotRequestInterval,
		Probe: c.ProbeBusyPeers,
		Batch: slotBatch,
		Lease: c.PeerLease,
		Pause: c.InitialRefusalBackoff,
		Full:  slotFull,
	}
}

func poolOf(t *Target) int {
	if t.Accelerators > 0 {
		return acceleratorPool
	}
	return plainPool
}

// refreshTargets hands the live targets to the pools if they have changed.
func (c *Core) refreshTargets(now time.Time) {
	var live [poolCount][]sharing.Target
	for _, t := range c.order {
		if t.Alive(now) {
			live[poolOf(t)] = append(live[poolOf(t)], sharing.Target{Name: t.Target, Slots: t.Slots})
		}
	}
	changed := false
	for i, list := range live {
		if !slices.Equal(list, c.pools.targets[i]) {
			c.pools.targets[i] = list
			c.pools.demand[i].SetTargets(now, list)
			changed = true
		}
	}
	if changed {
		c.setHealthTargets(now, live)
	}
}

// acquire reserves a slot for a task and returns its target and pool, or nil.
// Targets on workers that are reported full are taken only if no other is free:
// the report lags, and their load may be the tasks of this system.
func (c *Core) acquire(now time.Time, accelerator bool) (*Target, int) {
	usable := func(name string) bool { return c.usable(now, c.targets[name]) }
	if c.usages.None() {
		return c.acquireFrom(now, accelerator, usable)
	}
	t, pool := c.acquireFrom(now, accelerator, func(name string) bool {
		return usable(name) && !c.usages.Full(now, c.targets[name].Worker)
	})
	if t == nil {
		return c.acquireFrom(now, accelerator, usable)
	}
	return t, pool
}

// acquireFrom reserves a slot on a usable target. A task without need for an
// accelerator takes one's place last.
func (c *Core) acquireFrom(now time.Time, accelerator bool, usable func(string) bool) (*Target, int) {
	for i := range poolCount {
		if accelerator && i != acceleratorPool {
			continue
		}
		if name, ok := c.pools.demand[i].Acquire(now, c.random, usable); ok {
			return c.targets[name], i
		}
	}
	return nil, 0
}

// free returns the slot of an attempt that has ended. After a lost answer the
// task may run until its lease ends, and keeps the slot.
func (c *Core) free(now time.Time, s started, r Result) {
	pool, target := c.pools.demand[s.pool], s.target.Target
	switch {
	case r.Outcome == NotStarted && r.NoAnswer:
		pool.Unreachable(now, target)
	case r.Outcome == NotStarted:
		pool.Refused(now, target)
	case r.Outcome == TaskError && !s.job.done:
		c.hold(now, s, s.at.Add(c.runtimes.Estimate(now, s.key(), 0).Mean))
	case r.Outcome == OutcomeUnknown:
		c.hold(now, s, s.deadline)
		c.stopTask(now, s)
	default:
		pool.Release(target)
	}
}

// waiting returns the tasks that want a slot of each pool.
func (c *Core) waiting() [poolCount]int {
	without, with := c.queue.Startable()
	return [poolCount]int{without, without + with}
}

// capacity returns the slots that this host can count on.
func (c *Core) capacity(now time.Time) int {
	sum := 0
	for _, pool := range c.pools.demand {
		sum += pool.Capacity(now)
	}
	return sum
}
