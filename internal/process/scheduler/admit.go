package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	// newestNeedWeight is the weight of the newest task in the moving average of the
	// tasks' needs.
	newestNeedWeight = 0.02
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is
	// told to retry. They are the typical run time of a task and the longest
	// deadline.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// taskNeed is a moving average of the CPU that tasks need, the size of a typical
// task.
type taskNeed struct {
	cpuMilli    float64
	initialized bool
}

// initialTypicalCPUMilli is the CPU need of a typical task before any was submitted.
const initialTypicalCPUMilli = 1000

// minTypicalCPUMilli is the least that a task counts as in the average. A task may need no
// CPU, and any number of such tasks would fit on a target.
const minTypicalCPUMilli = 100

// observe adds count equal tasks to the average, of which at most 8 are weighed.
func (n *taskNeed) observe(r Resources, count int) {
	cpuMilli := float64(max(minTypicalCPUMilli, r.CPUMilli))
	for range min(count, 8) {
		if !n.initialized {
			n.initialized, n.cpuMilli = true, cpuMilli
		}
		n.cpuMilli += newestNeedWeight * (cpuMilli - n.cpuMilli)
	}
}

// maxTargetSlots bounds the slots of a target, each of which takes memory in a forecast. It
// is above the tasks of typical size that any machine runs at once.
const maxTargetSlots = 4096

// slots returns how many tasks of typical size fit into an amount of CPU, negative if the
// amount is.
func (n *taskNeed) slots(cpuMilli int64) int {
	return int(min(maxTargetSlots, math.Floor(float64(cpuMilli)/n.cpuMilli)))
}

// SetPoolCapacities replaces the free capacities of other pools. The scheduler
// reduces them by the jobs that it spills.
func (c *Core) SetPoolCapacities(capacities []PoolCapacity) { c.poolCapacities = capacities }

// admit decides whether a new job runs or waits here (true), or is spilled to
// another pool or refused (false, with the answer).
//
// Admission protects the pool in a burst, when a domain's callers demand more than
// its targets can do: admitting more than that would make all jobs late.
func (c *Core) admit(s *jobState, now time.Time) (Answer, bool) {
	if c.evacuated {
		return c.withhold(s), false
	}
	if a, ok := c.checkRunnable(s); !ok {
		return c.spillOrRefuse(s, a)
	}
	startable := c.startableNow(s, now) || c.hasFormerRuns(s) // which are about to end, and make room
	if s.OnlyAtOnce && !startable {
		return c.newRefusal(failure.Overloaded, "the pool has no free capacity for the whole job", now), false
	}
	work, cores := float64(s.pendingWork()), float64(c.usableCPUMilli(s.Service, now))/1000
	withinShare := c.shares.offer(s.Queue, work, cores*c.config.UsableFraction, s.Returned, now)
	if startable {
		return Answer{}, true
	}
	if !withinShare && cores > 0 {
		return c.spillOrRefuse(s, c.newRefusal(failure.Overloaded, c.shares.overShareReason(s.Queue), now))
	}
	if end := c.forecastEnd(s, now); end.After(s.dueAt) {
		reason := fmt.Sprintf("the job would end %v after its due time, behind %d waiting jobs", end.Sub(s.dueAt).Round(time.Millisecond), len(c.waitingJobs))
		return c.spillOrRefuse(s, c.newRefusal(failure.DeadlineTooShort, reason, now))
	}
	if c.anyPoolReportsRoom(s.pendingTasks) {
		if pools := c.chooseSpillPools(s); len(pools) > 0 {
			return Answer{Outcome: Spill, Pools: pools, Reason: "this pool has no free capacity now, another one has"}, false
		}
	}
	return Answer{}, true
}

// spillOrRefuse spills a job to pools that may have free capacity for it, or else
// returns the refusal.
//
// It answers the load of short bursts in one domain while others have room: what the
// pools reported last is up to one hello interval old, in which tasks of a few hundred
// milliseconds end and start, so a pool is asked also if it reported too little room.
func (c *Core) spillOrRefuse(s *jobState, refusal Answer) (Answer, bool) {
	if pools := c.chooseSpillPools(s); len(pools) > 0 {
		return Answer{Outcome: Spill, Pools: pools, Reason: refusal.Reason}, false
	}
	return refusal, false
}

// startableNow reports whether all tasks of the job's steps without dependencies
// would start now. Waiting jobs are ignored: they would have started if they fitted.
func (c *Core) startableNow(s *jobState, now time.Time) bool {
	if !c.suspectsStartable(s, now) {
		return false
	}
	for _, step := range s.Steps {
		if len(step.After) == 0 && c.countStartable(s.Service, step, now) < step.Count {
			return false
		}
	}
	return true
}

// countStartable returns how many tasks of a step would start now, counted by CPU
// on each target where one task may start.
func (c *Core) countStartable(service string, step Step, now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.Service == service && t.canStart(step, now) {
			n += t.limitIfCold(int(t.free().CPUMilli/max(1, step.Need.CPUMilli)), now)
		}
	}
	return n
}

// checkRunnable returns a refusal and false if a step of the job fits none of the
// service's targets that aren't draining. One whose labels are not known may fit.
func (c *Core) checkRunnable(s *jobState) (Answer, bool) {
	serviceKnown := false
	for _, step := range s.Steps {
		runnable := false
		for _, t := range c.targets {
			if t.Service == s.Service && !t.Draining {
				serviceKnown = true
				runnable = runnable || t.LabelsUnknown || t.couldRun(step)
			}
		}
		if !runnable {
			kind, reason := failure.NeverRunnable, "no target has the capacity or label that a task needs"
			if !serviceKnown {
				kind, reason = failure.NoTargets, "no target of the service is known"
			}
			return c.newRefusal(kind, reason, time.Time{}), false
		}
	}
	return Answer{}, true
}

// usableCPUMilli returns the total capacity of the service's usable targets in
// thousandths of a core.
func (c *Core) usableCPUMilli(service string, now time.Time) int64 {
	var sum int64
	for _, t := range c.targets {
		if t.Service == service && t.usable(now) {
			sum += t.Capacity.CPUMilli
		}
	}
	return sum
}

// freeTasks returns how many tasks of typical size would start now on the targets of
// a service, or on all targets if service is empty.
func (c *Core) freeTasks(service string, now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if (service == "" || t.Service == service) && t.usable(now) && !t.withheld() {
			n += t.limitIfCold(c.typicalNeed.slots(max(0, t.free().CPUMilli)), now) // negative once the capacity has shrunk below what runs
		}
	}
	return n
}

// Load returns how many further tasks of typical size could start now, after those
// that wait, and how many tasks wait.
func (c *Core) Load(now time.Time) (free, queued int) {
	for _, s := range c.waitingJobs {
		queued += s.pendingTasks
	}
	if c.evacuated {
		return 0, queued
	}
	return max(0, c.freeTasks("", now)-queued), queued
}

// anyPoolReportsRoom reports whether another pool last reported free capacity for a
// number of tasks.
func (c *Core) anyPoolReportsRoom(tasks int) bool {
	return slices.ContainsFunc(c.poolCapacities, func(r PoolCapacity) bool { return r.FreeTasks >= tasks })
}

// chooseSpillPools returns the pools to try for a job, at most Config.SpillTries. Pools that
// reported room for the whole job come first, then those of the same domain, then those
// with the most free capacity. The job is subtracted from the first pool's capacity until
// the next report. A job that was already spilled is never spilled again.
func (c *Core) chooseSpillPools(s *jobState) []string {
	if s.Spilled {
		return nil
	}
	slices.SortFunc(c.poolCapacities, func(a, b PoolCapacity) int { return a.compareForSpill(b, s.pendingTasks) })
	var pools []string
	for _, candidate := range c.poolCapacities[:min(len(c.poolCapacities), c.config.SpillTries)] {
		pools = append(pools, candidate.Pool)
	}
	if len(pools) > 0 {
		c.poolCapacities[0].FreeTasks -= s.pendingTasks
	}
	return pools
}

// compareForSpill orders pools for spilling a job with a number of tasks, the preferred
// one first.
func (r PoolCapacity) compareForSpill(o PoolCapacity, tasks int) int {
	return cmp.Or(
		compareTrueFirst(r.FreeTasks >= tasks, o.FreeTasks >= tasks),
		compareTrueFirst(r.SameDomain, o.SameDomain),
		cmp.Compare(o.FreeTasks, r.FreeTasks),
		cmp.Compare(r.Pool, o.Pool),
	)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// newRefusal returns the answer for a job of which no task has started. Its
// RetryAfter is the estimated time that the targets need for the work waiting now,
// between minRetryAfter and maxRetryAfter.
func (c *Core) newRefusal(kind failure.Kind, reason string, now time.Time) Answer {
	var work, capacity int64
	for _, q := range c.waitingJobs {
		work += q.pendingWork()
	}
	for _, t := range c.targets {
		capacity += t.Capacity.CPUMilli
	}
	retry := minRetryAfter
	if capacity > 0 {
		retry += time.Duration(work*1000/capacity) * time.Millisecond
	}
	return Answer{Outcome: Refused, Kind: kind, Reason: reason, RetryAfter: min(retry, maxRetryAfter)}
}
