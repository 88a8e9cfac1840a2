package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// forecastLocal estimates when a local place is free for a task, after the other tasks that
// began to wait for the same rack before it, and the mean slowdown of the rack's targets. It
// assigns these tasks by list scheduling, as forecastEnd does. It returns false if there is no
// such target.
func (c *Core) forecastLocal(s *jobState, t *task, now time.Time) (freeAt time.Time, slowdown float64, ok bool) {
	places := c.localPlaces(s, t, now)
	if len(places.freeAt) == 0 {
		return time.Time{}, 0, false
	}
	step, times := s.Steps[t.step], slices.Clone(places.freeAt)
	runTime := time.Duration(float64(step.Estimate) * places.slowdown)
	for _, w := range c.localWaits.active {
		if !w.ended && w.task != t && w.job.Service == s.Service && w.job.Steps[w.task.step].DataRack == step.DataRack &&
			(t.localWait == nil || compareLocalWaits(w, t.localWait) < 0) {
			earliest := times.earliest()
			times[earliest] = times[earliest].Add(runTime)
		}
	}
	return times[times.earliest()], places.slowdown, true
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
	type ending struct {
		at   time.Time
		need Resources
	}
	endings := make([]ending, 0, len(t.runs))
	for _, r := range t.runs {
		endings = append(endings, ending{t.expectedEnd(r, now), r.need})
	}
	slices.SortFunc(endings, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.need.CPUMilli, b.need.CPUMilli))
	})
	out := make(freeTimes, 0, len(t.runs)+1)
	free := t.free()
	take := func(at time.Time) {
		for free.Covers(s.Need) && len(out) < len(endings)+maxLocalWaits && s.Need != (Resources{}) {
			out = append(out, at)
			free = free.Minus(s.Need)
		}
	}
	take(earliest)
	for _, e := range endings {
		free = free.Plus(e.need)
		if e.at.After(earliest) {
			earliest = e.at
		}
		take(earliest)
	}
	return out
}

// fallbackCertain reports whether the task of a wait can still start on some target by
// startBy if it declines the places that are free now. It counts the runs that end until then
// and whose place is large enough, and the places that are free now beyond what other tasks
// can take in this round. Each of the other waits takes one at most.
func (c *Core) fallbackCertain(w *localWait, now time.Time) bool {
	others := 0
	for _, other := range c.localWaits.active {
		if other != w && other.job.Service == w.job.Service {
			others++
		}
	}
	places := c.certainPlaces(w.job, w.task.step, now)
	ready := c.readyTasks(w.job.Service)
	if w.task.localWait == nil {
		ready-- // the task itself
	}
	later, _ := slices.BinarySearchFunc(places.ends, w.startBy, func(end, startBy time.Time) int {
		if end.After(startBy) {
			return 1
		}
		return -1
	})
	return later+max(0, places.free-ready) > others
}

// steady reports whether the target may get as many runs as fit.
func (t *target) steady(now time.Time) bool {
	return t.usable(now) && !t.withheld() && !t.probing() && t.unansweredCount == 0 && !t.cold(now)
}

// max returns the componentwise maximum of r and o.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}
