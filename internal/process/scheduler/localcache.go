package scheduler

import (
	"slices"
	"time"
)

// localCache holds what is forecast for the tasks of a step in one round of placement. Tasks
// of a wide job are decided on one after the other, and all that wait are reviewed in each
// round, so each look at all targets would be repeated for each task. It is cleared when a
// round begins and when a task is started.
type localCache struct {
	local   map[localKey]localPlaces
	certain map[localKey]certainPlaces
	ready   map[string]int // tasks that may start now and do not wait for a local place, by service
}

// localKey identifies the tasks with the same forecast.
type localKey struct {
	job           *jobState
	step          int
	avoidTargetID string // empty in forecasts for which it does not matter
}

// localPlaces are the places in the rack of a step.
type localPlaces struct {
	freeAt   freeTimes
	slowdown float64 // mean of the targets
}

// certainPlaces are the places for a step that other tasks cannot take first.
type certainPlaces struct {
	ends []time.Time // of runs whose place is large enough, sorted
	free int         // places for the largest waiting task that are free now
}

func (l *localCache) clear() { *l = localCache{} }

// localPlaces returns the places in the data rack of a task. freeAt is empty if there is none.
func (c *Core) localPlaces(s *jobState, t *task, now time.Time) localPlaces {
	key := localKey{s, t.step, t.released.Target}
	if known, ok := c.localWaits.cache.local[key]; ok {
		return known
	}
	step := s.Steps[t.step]
	var out localPlaces
	locals := 0
	for _, id := range c.targetIDs {
		candidate := c.targets[id]
		if candidate.Service != s.Service || !candidate.isLocal(step) || candidate.cold(now) || id == t.released.Target {
			continue
		}
		if step.AntiAffinity > 0 && s.countRunsOn(t.step, id) >= step.AntiAffinity {
			continue
		}
		if placeTimes := candidate.placeTimes(step, now); len(placeTimes) > 0 {
			out.freeAt = append(out.freeAt, placeTimes...)
			out.slowdown += candidate.slowdown
			locals++
		}
	}
	out.slowdown /= float64(max(1, locals))
	if c.localWaits.cache.local == nil {
		c.localWaits.cache.local = map[localKey]localPlaces{}
	}
	c.localWaits.cache.local[key] = out
	return out
}

// certainPlaces returns the places for a step that other tasks cannot take first. What is left
// over on a target counts as part of a place if no task of usual size fits there.
func (c *Core) certainPlaces(s *jobState, stepIndex int, now time.Time) certainPlaces {
	key := localKey{job: s, step: stepIndex}
	if known, ok := c.localWaits.cache.certain[key]; ok {
		return known
	}
	step := s.Steps[stepIndex]
	largest := step.Need
	for _, q := range c.waitingJobs {
		if q.Service == s.Service {
			for _, each := range q.Steps {
				largest = largest.max(each.Need)
			}
		}
	}
	var out certainPlaces
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if t.Service != s.Service || !t.steady(now) || !t.couldRun(step) {
			continue
		}
		free := t.free()
		limit := len(t.runs) + maxLocalWaits
		if step.AntiAffinity > 0 {
			limit = max(0, step.AntiAffinity-s.countRunsOn(stepIndex, id))
		}
		for rest := free; limit > 0 && rest.Covers(largest); limit-- {
			out.free++
			rest = rest.Minus(largest)
		}
		if float64(free.CPUMilli) >= c.typicalNeed.cpuMilli/2 {
			free = Resources{}
		}
		var ends []time.Time
		for _, r := range t.runs {
			if r.state != stopping && r.need.Plus(free).Covers(step.Need) {
				ends = append(ends, t.expectedEnd(r, now))
			}
		}
		slices.SortFunc(ends, time.Time.Compare)
		out.ends = append(out.ends, ends[:min(limit, len(ends))]...)
	}
	slices.SortFunc(out.ends, time.Time.Compare)
	if c.localWaits.cache.certain == nil {
		c.localWaits.cache.certain = map[localKey]certainPlaces{}
	}
	c.localWaits.cache.certain[key] = out
	return out
}

// readyTasks returns the number of tasks of a service that may start now and do not wait for
// a local place.
func (c *Core) readyTasks(service string) int {
	if known, ok := c.localWaits.cache.ready[service]; ok {
		return known
	}
	n := 0
	for _, s := range c.waitingJobs {
		if s.Service != service {
			continue
		}
		for _, t := range s.tasks {
			if !t.done && t.run == nil && t.localWait == nil && s.ready(t) {
				n++
			}
		}
	}
	if c.localWaits.cache.ready == nil {
		c.localWaits.cache.ready = map[string]int{}
	}
	c.localWaits.cache.ready[service] = n
	return n
}
