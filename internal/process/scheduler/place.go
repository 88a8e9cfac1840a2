package scheduler

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// tryAtMost bounds the waiting jobs that are looked at in one round, so that a
// long queue costs no more than a short one.
const tryAtMost = 64

// place starts waiting tasks in the order of the queue while targets have room.
func (c *Core) place(now time.Time) {
	tried := 0
	most := c.mostFree(now)
	for _, s := range slices.Clone(c.queue) {
		if tried++; tried > tryAtMost {
			break
		}
		if c.placeJob(s, most, now) {
			most = c.mostFree(now)
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(s *jobState) bool { return s.pending == 0 })
}

// mostFree returns the most thousandths of a core that a usable target has free:
// a task that needs more need not be tried on each target.
func (c *Core) mostFree(now time.Time) int64 {
	var most int64
	for _, t := range c.targets {
		if t.usable(now) {
			most = max(most, t.free().CPUMilli)
		}
	}
	return most
}

// placeJob starts what it can of a job's waiting tasks and reports whether it
// started any.
func (c *Core) placeJob(s *jobState, most int64, now time.Time) (started bool) {
	for _, t := range s.tasks {
		if t.done || t.run != nil || !s.ready(t) {
			continue
		}
		if s.Steps[t.step].Need.CPUMilli > most {
			return started
		}
		best := c.best(s, t, now)
		if best == nil {
			return started
		}
		c.start(s, t, best, now)
		started = true
	}
	return started
}

// best returns the target for a task, or nil if none has room.
func (c *Core) best(s *jobState, t *task, now time.Time) *target {
	step := s.Steps[t.step]
	var best, avoided *target
	for _, id := range c.order {
		candidate := c.targets[id]
		if candidate.Service != s.Service || !candidate.fits(step, now) {
			continue
		}
		if step.AntiAffinity > 0 && s.runsAt(t.step, id) >= step.AntiAffinity {
			continue
		}
		if id == t.avoid {
			avoided = candidate
			continue
		}
		if best == nil || better(candidate, best, step) {
			best = candidate
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

func better(a, b *target, s Step) bool {
	rackA, paceA, leftA := a.grade(s)
	rackB, paceB, leftB := b.grade(s)
	if rackA != rackB {
		return rackA < rackB
	}
	if paceA != paceB {
		return paceA < paceB
	}
	return leftA < leftB
}

func (c *Core) start(s *jobState, t *task, to *target, now time.Time) {
	step := s.Steps[t.step]
	t.started++
	r := &run{
		id:       Run{Job: s.ID, Step: t.step, Index: t.index, Number: t.started},
		need:     step.Need,
		target:   to.ID,
		ordered:  now,
		estimate: step.Estimate,
	}
	t.run = r
	s.pending--
	s.everRan = true
	to.add(r)
	c.emit(Start{Target: to.ID, Run: r.id, Spec: s.Spec})
}

// Tick refuses jobs that can no longer be done in time, and stops runs that
// hang.
func (c *Core) Tick(now time.Time) []Effect {
	c.expireHanded(now)
	for _, s := range slices.Clone(c.queue) {
		c.review(s, now)
	}
	for _, id := range c.order {
		c.stopHung(c.targets[id], now)
	}
	c.place(now)
	return c.take()
}

// review refuses a waiting job of which nothing has run and which can no
// longer be done in time.
func (c *Core) review(s *jobState, now time.Time) {
	if now.Before(s.startBy) {
		return
	}
	if s.everRan {
		c.reviewBegun(s, now)
		return
	}
	c.answer(s, c.refusal(failure.DeadlineTooShort, "no room came free before the latest start", now))
}

// reviewBegun puts a late job of which a task has run behind all others, and
// gives it up once its answer is of no more use. It is not refused, as it has
// run, and not failed, as no task failed too often.
func (c *Core) reviewBegun(s *jobState, now time.Time) {
	if now.After(s.uselessAt) {
		c.answer(s, Answer{Outcome: Broken, Kind: failure.ExpiredRunning, Reason: "a task waits, and the answer would come too late to be of use"})
		return
	}
	if !s.late {
		c.queue = slices.DeleteFunc(c.queue, func(q *jobState) bool { return q == s })
		s.late = true
		c.enqueue(s)
	}
}

// stopHung stops the runs that make no progress.
func (c *Core) stopHung(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		if !r.stalled() {
			continue
		}
		t.eject(now)
		c.emit(LogEntry{Message: "A run hangs.", Job: r.id.Job, Target: t.ID, Age: now.Sub(r.ordered)})
		c.stop(r, "it makes no progress")
	}
}
