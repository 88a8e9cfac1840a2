package scheduler

import (
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	// usualWeight is the weight of the newest task in the usual need.
	usualWeight = 0.02
	// leastRetry and mostRetry bound the time after which a refused caller is
	// told to come back: a task's usual length, and the longest deadline.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// usual is the average need of a task.
type usual struct {
	cpuMilli float64
	seen     bool
}

// usualAtFirst is the need that is taken for usual before any task was seen.
const usualAtFirst = 1000

func (u *usual) see(r Resources, count int) {
	for range min(count, 8) {
		if !u.seen {
			u.seen, u.cpuMilli = true, float64(r.CPUMilli)
		}
		u.cpuMilli += usualWeight * (float64(r.CPUMilli) - u.cpuMilli)
	}
}

// SetPoolCapacities takes in what other pools could take at once.
func (c *Core) SetPoolCapacities(room []PoolCapacity) { c.room = room }

// admit decides on a new job: run or wait here, go to another pool, or refusal.
//
// It answers the load of a burst, in which a domain's callers ask for more than
// its targets can do: what is admitted beyond that makes all jobs late.
func (c *Core) admit(s *jobState, now time.Time) (Answer, bool) {
	if a, ok := c.possible(s); !ok {
		return c.elsewhere(s, a)
	}
	work, cores := float64(s.work()), float64(c.capacity(s.Service, now))/1000
	inShare := c.shares.offer(s.Queue, work, cores*c.config.UsableFraction, now)
	if c.fitsAtOnce(s, now) {
		return Answer{}, true
	}
	if !inShare && cores > 0 {
		return c.elsewhere(s, c.refusal(failure.Overloaded, c.shares.explain(s.Queue), now))
	}
	if end := c.forecast(s, now); end.After(s.due) {
		reason := fmt.Sprintf("it would end %v after its due time, behind %d waiting jobs", end.Sub(s.due).Round(time.Millisecond), len(c.queue))
		return c.elsewhere(s, c.refusal(failure.DeadlineTooShort, reason, now))
	}
	if pool, ok := c.spillTo(s); ok {
		return Answer{Outcome: Spill, Pool: pool, Reason: "this pool has no room at once, that one has"}, false
	}
	return Answer{}, true
}

// elsewhere sends a job that is refused here to a pool that has room for it.
func (c *Core) elsewhere(s *jobState, refusal Answer) (Answer, bool) {
	if pool, ok := c.spillTo(s); ok {
		return Answer{Outcome: Spill, Pool: pool, Reason: refusal.Reason}, false
	}
	return refusal, false
}

// fitsAtOnce reports whether all tasks of a job that may begin would start now.
// What waits is not looked at: it would have started if it fitted.
func (c *Core) fitsAtOnce(s *jobState, now time.Time) bool {
	for _, step := range s.Steps {
		if len(step.After) == 0 && c.fitting(s.Service, step, now) < step.Count {
			return false
		}
	}
	return true
}

// fitting counts the tasks of a step that would start now.
func (c *Core) fitting(service string, step Step, now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.Service == service && t.fits(step, now) {
			n += int(t.free().CPUMilli / max(1, step.Need.CPUMilli))
		}
	}
	return n
}

// possible refuses a job with a task that no known target could run.
func (c *Core) possible(s *jobState) (Answer, bool) {
	served := false
	for _, step := range s.Steps {
		suits := false
		for _, t := range c.targets {
			if t.Service == s.Service && !t.Draining {
				served = true
				suits = suits || t.suits(step)
			}
		}
		if !suits {
			kind, reason := failure.NeverRunnable, "no target has the room or label that a task needs"
			if !served {
				kind, reason = failure.NoTargets, "no target of the service is known"
			}
			return c.refusal(kind, reason, time.Time{}), false
		}
	}
	return Answer{}, true
}

// capacity returns the thousandths of a core of the service's usable targets.
func (c *Core) capacity(service string, now time.Time) int64 {
	var sum int64
	for _, t := range c.targets {
		if t.Service == service && t.usable(now) {
			sum += t.Capacity.CPUMilli
		}
	}
	return sum
}

// freeTasks returns how many tasks of usual size would start at once.
func (c *Core) freeTasks(service string, now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if (service == "" || t.Service == service) && t.usable(now) {
			n += int(float64(t.free().CPUMilli) / c.need.cpuMilli)
		}
	}
	return n
}

// Load returns what the pool could take at once and how many tasks wait.
func (c *Core) Load(now time.Time) (free, queued int) {
	for _, s := range c.queue {
		queued += s.pending
	}
	return max(0, c.freeTasks("", now)-queued), queued
}

// spillTo returns another pool with room for the whole job: one of the same
// domain if there is any, and then the one with the most room. What is sent there
// is taken off until the next report.
func (c *Core) spillTo(s *jobState) (string, bool) {
	if s.Spilled {
		return "", false
	}
	best := -1
	for i, r := range c.room {
		if r.FreeTasks >= s.pending && (best < 0 || r.roomier(c.room[best])) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	c.room[best].FreeTasks -= s.pending
	return c.room[best].Pool, true
}

// roomier reports whether a job goes to r before it goes to o.
func (r PoolCapacity) roomier(o PoolCapacity) bool {
	if r.SameDomain != o.SameDomain {
		return r.SameDomain
	}
	return r.FreeTasks > o.FreeTasks
}

// refusal answers a job of which nothing ran, and says when the work that
// waits now will be done.
func (c *Core) refusal(kind failure.Kind, reason string, now time.Time) Answer {
	var work, capacity int64
	for _, q := range c.queue {
		work += q.work()
	}
	for _, t := range c.targets {
		capacity += t.Capacity.CPUMilli
	}
	retry := leastRetry
	if capacity > 0 {
		retry += time.Duration(work*1000/capacity) * time.Millisecond
	}
	return Answer{Outcome: Refused, Kind: kind, Reason: reason, RetryAfter: min(retry, mostRetry)}
}
