package scheduler

import (
	"container/heap"
	"time"
)

// forecast estimates when the last task of a waiting job ends, if the jobs that
// go before it start first. It is list scheduling (Graham, "Bounds on
// Multiprocessing Timing Anomalies", 1969) over slots of usual size: each task
// goes to the slot that is free first.
func (c *Core) forecast(s *jobState, now time.Time) time.Time {
	free := c.slots(s.Service, now)
	if len(free) == 0 {
		return now.Add(mostRetry)
	}
	heap.Init(&free)
	for _, q := range c.queue {
		if q.Service == s.Service && c.compare(q, s) <= 0 {
			free.run(q)
		}
	}
	return free.run(s)
}

// slots returns when each slot of usual size becomes free.
func (c *Core) slots(service string, now time.Time) slotTimes {
	var out slotTimes
	for _, id := range c.order {
		t := c.targets[id]
		if t.Service != service || t.Draining || t.clearing {
			continue
		}
		from := now
		if to := t.blockedTo(); to.After(now) {
			from = to
		}
		for range int(float64(t.free().CPUMilli) / c.need.cpuMilli) {
			out = append(out, from)
		}
		for _, r := range t.runs {
			end := r.ordered.Add(time.Duration(float64(r.estimate) * t.pace))
			if end.Before(now) {
				end = now.Add(r.estimate / 4) // overdue; nothing better is known
			}
			if end.Before(from) {
				end = from
			}
			out = append(out, end)
		}
	}
	return out
}

// slotTimes is a heap of the times at which slots become free.
type slotTimes []time.Time

func (t slotTimes) Len() int           { return len(t) }
func (t slotTimes) Less(i, j int) bool { return t[i].Before(t[j]) }
func (t slotTimes) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *slotTimes) Push(x any) { *t = append(*t, x.(time.Time)) }

// Pop implements heap.Interface.
func (t *slotTimes) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// run puts a job's waiting tasks on the slots and returns when the last ends.
func (t slotTimes) run(s *jobState) time.Time {
	var last time.Time
	for _, task := range s.tasks {
		if task.done || task.run != nil {
			continue
		}
		end := t[0].Add(s.Steps[task.step].Estimate)
		t[0] = end
		heap.Fix(&t, 0)
		if end.After(last) {
			last = end
		}
	}
	return last
}
