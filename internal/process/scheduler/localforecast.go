package scheduler

import (
	"slices"
	"time"
)

// forecastLocal estimates when a local place is free for a task, after the other tasks that
// began to wait for the same rack before it, and the mean slowdown of the rack's targets. It
// assigns these tasks by list scheduling, as forecastEnd does. It returns false if there is no
// such target.
func (c *Core) forecastLocal(s *jobState, t *task, now time.Time) (freeAt time.Time, slowdown float64, ok bool) {
	step := s.Steps[t.step]
	var times freeTimes
	var slowdowns float64
	locals := 0
	for _, id := range c.targetIDs {
		candidate := c.targets[id]
		if candidate.Service != s.Service || !candidate.isLocal(step) || candidate.cold(now) || id == t.avoidTargetID {
			continue
		}
		if step.AntiAffinity > 0 && s.countRunsOn(t.step, id) >= step.AntiAffinity {
			continue
		}
		if placeTimes := candidate.placeTimes(step, now); len(placeTimes) > 0 {
			times = append(times, placeTimes...)
			slowdowns += candidate.slowdown
			locals++
		}
	}
	if locals == 0 {
		return time.Time{}, 0, false
	}
	slowdown = slowdowns / float64(locals)
	runTime := time.Duration(float64(step.Estimate) * slowdown)
	for _, w := range c.localWaits.active {
		if !w.ended && w.task != t && w.job.Service == s.Service && w.job.Steps[w.task.step].DataRack == step.DataRack &&
			(t.localWait == nil || compareLocalWaits(w, t.localWait) < 0) {
			earliest := times.earliest()
			times[earliest] = times[earliest].Add(runTime)
		}
	}
	return times[times.earliest()], slowdown, true
}

// earliest returns the index of the earliest time.
func (t freeTimes) earliest() int {
	first := 0
	for i := range t {
		if t[i].Before(t[first]) {
			first = i
		}
	}
	return first
}

// placeTimes estimates when each place for a task of the step is free on the target, now for
// those that are free already. It is empty for a target that gets no work or is withheld.
func (t *target) placeTimes(s Step, now time.Time) freeTimes {
	if t.Draining || t.clearing || t.withheld() || !t.couldRun(s) {
		return nil
	}
	earliest := now
	if until := t.blockedUntil(); until.After(now) {
		earliest = until
	}
	if t.probing() || t.unansweredCount > 0 || t.cold(now) {
		return freeTimes{t.idleAt(earliest)} // one run at a time
	}
	runs := t.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *run) int { return t.expectedEnd(a, now).Compare(t.expectedEnd(b, now)) })
	var out freeTimes
	free := t.free()
	take := func(at time.Time) {
		for free.Covers(s.Need) && len(out) < len(runs)+maxLocalWaits && s.Need != (Resources{}) {
			out = append(out, at)
			free = free.Minus(s.Need)
		}
	}
	take(earliest)
	for _, r := range runs {
		free = free.Plus(r.need)
		if end := t.expectedEnd(r, now); end.After(earliest) {
			earliest = end
		}
		take(earliest)
	}
	return out
}

// fallbackCertain reports whether the task of a wait can still start on some target by
// startBy if it declines the places that are free now. It counts the runs that end until then
// and whose place is large enough, and the places that are free now beyond what other tasks
// can take in this round. Each of the other waits takes one at most. What is left over on a
// target counts as part of a place if no task of usual size fits there.
func (c *Core) fallbackCertain(w *localWait, now time.Time) bool {
	service, step := w.job.Service, w.job.Steps[w.task.step]
	largest, ready, others := step, c.readyTasks(service), 0
	for _, s := range c.waitingJobs {
		if s.Service == service {
			for _, each := range s.Steps {
				largest.Need = largest.Need.max(each.Need)
			}
		}
	}
	for _, other := range c.localWaits.active {
		if other != w && other.job.Service == service {
			others++
		}
	}
	free, later := 0, 0
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if t.Service != service || !t.steady(now) || !t.couldRun(step) {
			continue
		}
		limit := maxLocalWaits + ready
		if step.AntiAffinity > 0 {
			limit = max(0, step.AntiAffinity-w.job.countRunsOn(w.task.step, id))
		}
		leftover := t.free()
		if float64(leftover.CPUMilli) >= c.typicalNeed.cpuMilli/2 {
			leftover = Resources{}
		}
		for _, r := range t.runs {
			if limit > 0 && r.state != stopping && r.need.Plus(leftover).Covers(step.Need) && !t.expectedEnd(r, now).After(w.startBy) {
				later++
				limit--
			}
		}
		for rest := t.free(); limit > 0 && rest.Covers(largest.Need); limit-- {
			free++
			rest = rest.Minus(largest.Need)
		}
	}
	if w.task.localWait == nil {
		ready-- // the task itself
	}
	return later+max(0, free-ready) > others
}

// steady reports whether the target may get as many runs as fit.
func (t *target) steady(now time.Time) bool {
	return t.usable(now) && !t.withheld() && !t.probing() && t.unansweredCount == 0 && !t.cold(now)
}

// max returns the componentwise maximum of r and o.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}

// readyTasks returns the number of tasks that may start now and do not wait for a local
// place.
func (c *Core) readyTasks(service string) int {
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
	return n
}
