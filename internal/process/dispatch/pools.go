package dispatch

import (
	"slices"
	"time"

	sharing "wasabifield.example/wasabifield/internal/process/slots"
)

// Indices of the pools. Targets with an accelerator form a pool of their own, so that
// a host whose tasks need an accelerator borrows no slots that cannot run them.
const (
	plainPool = iota
	acceleratorPool
	poolCount
)

const (
	slotBatchDelay     = 2 * time.Millisecond // time for which slots lent to a peer are gathered into one message
	fullReportInterval = time.Second          // time between two reports that list the slots of every target
)

// pools shares the slots of the live targets with the peers, one pool per kind of
// target.
type pools struct {
	slotPools [poolCount]*sharing.DemandPolicy
	targets   [poolCount][]sharing.Target // live targets of each pool
}

func newPools(config Config) *pools {
	p := &pools{}
	for i := range p.slotPools {
		p.slotPools[i] = sharing.NewDemandPolicy(config.sharing())
	}
	return p
}

func (c Config) sharing() sharing.DemandConfig {
	return sharing.DemandConfig{
		Self:               c.Host,
		RetryInterval:      c.SlotRequestInterval,
		ProbeBusyPeers:     c.ProbeBusyPeers,
		BatchDelay:         slotBatchDelay,
		PeerLease:          c.PeerLease,
		RefusalPause:       c.InitialRefusalBackoff,
		FullReportInterval: fullReportInterval,
	}
}

func poolOf(t *Target) int {
	if t.Accelerators > 0 {
		return acceleratorPool
	}
	return plainPool
}

// refreshTargets passes the live targets to the pools and to the health tracker if
// they have changed.
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
// Targets on workers that are reported full are used only if no other target has a
// free slot: the report lags, and the load may come from tasks of this system.
func (c *Core) acquireSlot(now time.Time, accelerator bool) (*Target, int) {
	usable := func(name string) bool { return c.usable(now, c.targets[name]) }
	if c.usages.Empty() {
		return c.acquireUsableSlot(now, accelerator, usable)
	}
	t, pool := c.acquireUsableSlot(now, accelerator, func(name string) bool {
		return usable(name) && !c.usages.Overloaded(now, c.targets[name].Worker)
	})
	if t == nil {
		return c.acquireUsableSlot(now, accelerator, usable)
	}
	return t, pool
}

// acquireUsableSlot reserves a slot on a usable target. A task that needs no
// accelerator gets a slot of a target with one only if no other slot is free.
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

// releaseSlot returns the slot of an attempt that has ended. After an unknown outcome
// the task may run until its lease ends: the slot is held until then and a stop of
// the task is requested.
func (c *Core) releaseSlot(now time.Time, a attempt, r Result) {
	pool, target := c.pools.slotPools[a.pool], a.target.Target
	switch {
	case r.Outcome == NotStarted && r.NoAnswer:
		pool.ReleaseUnreachable(now, target)
	case r.Outcome == NotStarted:
		pool.ReleaseRefused(now, target)
	case r.Outcome == TaskError && !a.job.answered:
		c.holdSlot(now, a, a.startedAt.Add(c.runtimes.Estimate(now, a.runtimeKey(), 0).Mean))
	case r.Outcome == OutcomeUnknown:
		c.holdSlot(now, a, a.deadline)
		c.addStop(now, a)
	default:
		pool.Release(target)
	}
}

// waitingTasks returns, for each pool, the number of waiting tasks that its slots
// can run and that the limits of their teams let start.
func (c *Core) waitingTasks() [poolCount]int {
	plain, accelerated := c.queue.Startable()
	return [poolCount]int{plain, plain + accelerated}
}

// slotCapacity returns the number of slots available to this host: those that it
// holds and those that are idle at its peers.
func (c *Core) slotCapacity(now time.Time) int {
	sum := 0
	for _, pool := range c.pools.slotPools {
		sum += pool.Capacity(now)
	}
	return sum
}
