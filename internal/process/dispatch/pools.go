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
	slotBatchDelay     = 2 * time.Millisecond // loans to a peer are gathered for this long
	fullReportInterval = time.Second          // between two reports that name every target
)

// pools shares the slots of the live targets with the peers.
type pools struct {
	slotPools [poolCount]*sharing.Demand
	targets   [poolCount][]sharing.Target // in force
}

func newPools(config Config) *pools {
	p := &pools{}
	for i := range p.slotPools {
		p.slotPools[i] = sharing.NewDemand(config.sharing())
	}
	return p
}

func (c Config) sharing() sharing.DemandConfig {
	return sharing.DemandConfig{
		Self:  c.Host,
		Retry: c.SlotRequestInterval,
		Probe: c.ProbeBusyPeers,
		Batch: slotBatchDelay,
		Lease: c.PeerLease,
		Pause: c.InitialRefusalBackoff,
		Full:  fullReportInterval,
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
	for _, t := range c.targetOrder {
		if t.Alive(now) {
			live[poolOf(t)] = append(live[poolOf(t)], sharing.Target{Name: t.Target, Slots: t.Slots})
		}
	}
	changed := false
	for i, list := range live {
		if !slices.Equal(list, c.pools.targets[i]) {
			c.pools.targets[i] = list
			c.pools.slotPools[i].SetTargets(now, list)
			changed = true
		}
	}
	if changed {
		c.updateHealthTargets(now, live)
	}
}

// acquireSlot reserves a slot for a task and returns its target and pool, or nil.
// Targets on workers that are reported full are taken only if no other is free:
// the report lags, and their load may be the tasks of this system.
func (c *Core) acquireSlot(now time.Time, accelerator bool) (*Target, int) {
	usable := func(name string) bool { return c.usable(now, c.targets[name]) }
	if c.usages.None() {
		return c.acquireUsableSlot(now, accelerator, usable)
	}
	t, pool := c.acquireUsableSlot(now, accelerator, func(name string) bool {
		return usable(name) && !c.usages.Full(now, c.targets[name].Worker)
	})
	if t == nil {
		return c.acquireUsableSlot(now, accelerator, usable)
	}
	return t, pool
}

// acquireUsableSlot reserves a slot on a usable target. A task without need for an
// accelerator takes one's place last.
func (c *Core) acquireUsableSlot(now time.Time, accelerator bool, usable func(string) bool) (*Target, int) {
	for i := range poolCount {
		if accelerator && i != acceleratorPool {
			continue
		}
		if name, ok := c.pools.slotPools[i].Acquire(now, c.random, usable); ok {
			return c.targets[name], i
		}
	}
	return nil, 0
}

// releaseSlot returns the slot of an attempt that has ended. After a lost answer the
// task may run until its lease ends, and keeps the slot.
func (c *Core) releaseSlot(now time.Time, a attempt, r Result) {
	pool, target := c.pools.slotPools[a.pool], a.target.Target
	switch {
	case r.Outcome == NotStarted && r.NoAnswer:
		pool.Unreachable(now, target)
	case r.Outcome == NotStarted:
		pool.Refused(now, target)
	case r.Outcome == TaskError && !a.job.answered:
		c.holdSlot(now, a, a.startedAt.Add(c.runtimes.Estimate(now, a.runtimeKey(), 0).Mean))
	case r.Outcome == OutcomeUnknown:
		c.holdSlot(now, a, a.deadline)
		c.addStop(now, a)
	default:
		pool.Release(target)
	}
}

// waitingTasks returns the tasks that want a slot of each pool.
func (c *Core) waitingTasks() [poolCount]int {
	plain, accelerated := c.queue.Startable()
	return [poolCount]int{plain, plain + accelerated}
}

// slotCapacity returns the slots that this host can count on.
func (c *Core) slotCapacity(now time.Time) int {
	sum := 0
	for _, pool := range c.pools.slotPools {
		sum += pool.Capacity(now)
	}
	return sum
}
