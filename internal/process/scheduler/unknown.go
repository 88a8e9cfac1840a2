package scheduler

import (
	"slices"
	"time"
)

// An unknown run is a run that a target lists and that was not started here: a former holder of
// the pool started it, or its start was carried out late. It is being stopped. If its task comes
// here meanwhile, because the caller sends its job again, the task waits until the run has ended,
// and is then started under a higher number.
type unknownRun struct {
	id     Run
	target string
	until  time.Time // when it has ended at the latest, unless it is listed again
	endsBy time.Time // when its lease has expired if no request extends it
}

// RecordUnknownRun records that a target lists a run that was not started here. It has ended by
// the given time unless the target lists it again.
func (c *Core) RecordUnknownRun(id string, r Run, until time.Time) {
	task := r.ofTask()
	listed := unknownRun{id: r, target: id, until: until, endsBy: until}
	if i := slices.IndexFunc(c.unknownRuns[task], func(u unknownRun) bool { return u.id == r && u.target == id }); i >= 0 {
		listed.endsBy = c.unknownRuns[task][i].endsBy
		c.unknownRuns[task][i] = listed
		return
	}
	c.unknownRuns[task] = append(c.unknownRuns[task], listed)
	c.withholdLease(listed)
	if s := c.jobOf(r); s != nil {
		c.awaitUnknownRuns(s, s.taskOf(r))
	}
}

// ReleaseUnlistedRuns records that a target lists none but the given runs: its other unknown
// runs have ended.
func (c *Core) ReleaseUnlistedRuns(id string, listed map[Run]bool, now time.Time) []Effect {
	return c.releaseUnknownRuns(EvidenceReported, now, func(u unknownRun) bool { return u.target == id && !listed[u.id] })
}

// ReleaseUnknownRun records that an unknown run has ended after its stop.
func (c *Core) ReleaseUnknownRun(id string, r Run, now time.Time) []Effect {
	return c.releaseUnknownRuns(EvidenceStopped, now, func(u unknownRun) bool { return u.target == id && u.id == r })
}

// ExtendUnknownRuns makes the tasks of unknown runs wait for leases that were sent to their
// targets later. leaseRemaining returns how long these may be in force, 0 if there is none.
func (c *Core) ExtendUnknownRuns(leaseRemaining func(targetID string) time.Duration, now time.Time) {
	for _, runs := range c.unknownRuns {
		for i, u := range runs {
			if end := now.Add(leaseRemaining(u.target)); end.After(u.until) {
				runs[i].until = end
			}
		}
	}
}

func (c *Core) expireUnknownRuns(now time.Time) {
	c.forgetUnknownRuns(EvidenceLease, now, func(u unknownRun) bool { return !now.Before(u.until) })
}

func (c *Core) releaseUnknownRuns(by Evidence, now time.Time, ended func(unknownRun) bool) []Effect {
	if c.forgetUnknownRuns(by, now, ended) {
		c.placeTasks(now)
	}
	return c.drainEffects()
}

// forgetUnknownRuns drops the unknown runs that have ended, and reports whether a task here
// waited for one of them.
func (c *Core) forgetUnknownRuns(by Evidence, now time.Time, ended func(unknownRun) bool) (awaited bool) {
	for task, runs := range c.unknownRuns {
		for _, u := range runs {
			s := c.jobOf(task)
			if s == nil || !ended(u) {
				continue
			}
			awaited = true
			if t := s.taskOf(task); t.run == nil {
				t.released = Release{Target: u.target, Evidence: by, At: now}
			}
		}
		if runs = slices.DeleteFunc(runs, ended); len(runs) == 0 {
			delete(c.unknownRuns, task)
		} else {
			c.unknownRuns[task] = runs
		}
	}
	return awaited
}

// unknownRunsOf returns the unknown runs of a task.
func (c *Core) unknownRunsOf(s *jobState, t *task) []unknownRun {
	if len(c.unknownRuns) == 0 {
		return nil
	}
	return c.unknownRuns[Run{Job: s.ID, Step: t.step, Index: t.index}]
}

// awaitUnknownRuns makes the next run of a task follow its unknown runs. The job has run, so it
// is not answered as refused.
func (c *Core) awaitUnknownRuns(s *jobState, t *task) {
	for _, u := range c.unknownRunsOf(s, t) {
		s.hasStarted = true
		t.lastRunNumber = max(t.lastRunNumber, u.id.Number)
		c.emit(LogEntry{Message: "A task waits for its former run.", Job: s.ID, Target: u.target, Reason: "the target lists a run that was not started here"})
	}
}
