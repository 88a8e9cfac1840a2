package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// forecastEnd estimates when the last task of a waiting job ends if all jobs ahead
// of it in the queue start first. It uses list scheduling (Graham, "Bounds on
// Multiprocessing Timing Anomalies", 1969) over slots of the size of a typical
// task: each task goes to the slot that becomes free first.
func (c *Core) forecastEnd(s *jobState, now time.Time) time.Time {
	free := c.slotFreeTimes(s.Service, now)
	if len(free) == 0 {
		return now.Add(maxRetryAfter)
	}
	heap.Init(&free)
	for _, q := range c.waitingJobs {
		if q.Service == s.Service && c.compareJobs(q, s) <= 0 {
			free.schedule(q)
		}
	}
	return free.schedule(s)
}

// slotFreeTimes returns when each slot of the size of a typical task becomes free.
func (c *Core) slotFreeTimes(service string, now time.Time) freeTimes {
	var out freeTimes
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if t.Service != service || t.Draining || t.clearing {
			continue
		}
		earliest := now
		if until := t.blockedUntil(); until.After(now) {
			earliest = until
		}
		if t.withheld() {
			for range c.typicalNeed.slots(t.Capacity.CPUMilli) {
				out = append(out, t.idleAt(earliest))
			}
			continue
		}
		free := c.typicalNeed.slots(t.free().CPUMilli)
		if t.cold(now) {
			free = min(free, 1-len(t.runs))
		}
		for range free {
			out = append(out, earliest)
		}
		var ends []time.Time
		for _, r := range t.runs {
			end := t.expectedEnd(r, now)
			if end.Before(earliest) {
				end = earliest
			}
			ends = append(ends, end)
		}
		// On a target whose capacity has shrunk below what runs, the first ends free nothing.
		slices.SortFunc(ends, time.Time.Compare)
		out = append(out, ends[min(len(ends), max(0, -free)):]...)
	}
	return out
}

// expectedEnd estimates when a run on the target ends.
func (t *target) expectedEnd(r *run, now time.Time) time.Time {
	end := r.requestedAt.Add(time.Duration(float64(r.estimate) * t.slowdown))
	if end.Before(now) {
		return now.Add(r.estimate / 4) // overdue: nothing better is known than a quarter
	}
	return end
}

// idleAt estimates when the last run on the target ends; now if there is none.
func (t *target) idleAt(now time.Time) time.Time {
	idleAt := now
	for _, r := range t.runs {
		if end := t.expectedEnd(r, now); end.After(idleAt) {
			idleAt = end
		}
	}
	return idleAt
}

// freeTimes is a min-heap of the times at which slots become free.
type freeTimes []time.Time

func (t freeTimes) Len() int           { return len(t) }
func (t freeTimes) Less(i, j int) bool { return t[i].Before(t[j]) }
func (t freeTimes) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *freeTimes) Push(x any) { *t = append(*t, x.(time.Time)) }

// Pop implements heap.Interface.
func (t *freeTimes) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// schedule assigns a job's waiting tasks to the slots and returns when the last of
// these tasks ends. It ignores dependencies between steps.
func (t freeTimes) schedule(s *jobState) time.Time {
	var lastEnd time.Time
	for _, task := range s.tasks {
		if task.done || task.run != nil {
			continue
		}
		end := t[0].Add(s.Steps[task.step].Estimate)
		t[0] = end
		heap.Fix(&t, 0)
		if end.After(lastEnd) {
			lastEnd = end
		}
	}
	return lastEnd
}
