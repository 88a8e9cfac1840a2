package scheduler

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// maxJobsPerRound is the maximum number of waiting jobs examined in one placement
// round, so that a long queue costs no more than a short one.
const maxJobsPerRound = 64

// placeTasks starts waiting tasks in queue order while targets have free capacity,
// and removes jobs without waiting tasks from the queue.
func (c *Core) placeTasks(now time.Time) {
	c.reviewReservations(now)
	if c.startsHeld || c.startsWithheld(now) {
		return
	}
	c.reviewLocalWaits(now)
	tried := 0
	maxFree := c.maxFreeCPUMilli(now)
	for _, s := range slices.Clone(c.waitingJobs) {
		if tried++; tried > maxJobsPerRound {
			break
		}
		if !c.isAwaited(s, now) {
			continue
		}
		if c.placeJob(s, maxFree, now) {
			maxFree = c.maxFreeCPUMilli(now)
		}
	}
	c.waitingJobs = slices.DeleteFunc(c.waitingJobs, func(s *jobState) bool { return s.pendingTasks == 0 })
}

// maxFreeCPUMilli returns the largest free CPU of a usable target, in thousandths of
// a core. A task that needs more need not be tried on each target.
func (c *Core) maxFreeCPUMilli(now time.Time) int64 {
	var maxFree int64
	for _, t := range c.targets {
		if t.usable(now) && !t.withheld() {
			maxFree = max(maxFree, t.free().CPUMilli)
		}
	}
	return maxFree
}

// placeJob starts a job's ready tasks until one of them fits no target, and reports
// whether it started any.
func (c *Core) placeJob(s *jobState, maxFree int64, now time.Time) (started bool) {
	for _, t := range s.tasks {
		if t.done || t.run != nil || !s.ready(t) || !c.mayStart(s, t) || len(c.unknownRunsOf(s, t)) > 0 {
			continue
		}
		if c.isSuspect(s, t) {
			started = c.startSuspect(s, t, now) || started
			continue
		}
		if s.Steps[t.step].Need.CPUMilli > maxFree {
			return started
		}
		best := c.bestTarget(s, t, now)
		if best == nil {
			return started
		}
		if c.deferForLocal(s, t, best, now) {
			continue
		}
		c.startTask(s, t, best, now)
		started = true
	}
	return started
}

// bestTarget returns the target for a task, or nil if none can start it now.
func (c *Core) bestTarget(s *jobState, t *task, now time.Time) *target {
	step := s.Steps[t.step]
	return c.chooseTarget(s, t, func(candidate *target) bool { return candidate.canStart(step, now) }, now)
}

// chooseTarget returns the best target for a task among those that can start it, or nil
// if there is none. The target of the task's last run is used only if no other target can
// start it.
func (c *Core) chooseTarget(s *jobState, t *task, canStart func(*target) bool, now time.Time) *target {
	step := s.Steps[t.step]
	var best, avoided *target
	for _, id := range c.targetIDs {
		candidate := c.targets[id]
		if candidate.Service != s.Service || !canStart(candidate) {
			continue
		}
		if step.AntiAffinity > 0 && c.countRunsOn(s, t.step, id) >= step.AntiAffinity {
			continue
		}
		if id == t.released.Target {
			avoided = candidate
			continue
		}
		if best == nil || betterTarget(candidate, best, step, now) {
			best = candidate
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// betterTarget reports whether a is better than b for a task of the step. A cold target
// is the last choice.
func betterTarget(a, b *target, s Step, now time.Time) bool {
	if coldA, coldB := a.cold(now), b.cold(now); coldA != coldB {
		return coldB
	}
	rackA, slowdownA, remainingA := a.placementCost(s)
	rackB, slowdownB, remainingB := b.placementCost(s)
	if rackA != rackB {
		return rackA < rackB
	}
	if slowdownA != slowdownB {
		return slowdownA < slowdownB
	}
	return remainingA < remainingB
}

// startTask creates the next run of a task on a target and requests its start.
func (c *Core) startTask(s *jobState, t *task, chosen *target, now time.Time) {
	step := s.Steps[t.step]
	t.lastRunNumber++
	r := &run{
		id:          Run{Job: s.ID, Step: t.step, Index: t.index, Number: t.lastRunNumber},
		job:         s,
		need:        step.Need,
		targetID:    chosen.ID,
		incarnation: chosen.Incarnation,
		requestedAt: now,
		estimate:    time.Duration(float64(step.Estimate) * c.remoteFactor(step, chosen)),
	}
	c.recordLocalStart(t, chosen, now)
	t.run = r
	s.pendingTasks--
	s.hasStarted = true
	c.addRun(chosen, r)
	c.emit(Start{Target: chosen.ID, Run: r.id, Spec: s.Spec, Label: step.Label, Incarnation: chosen.Incarnation, Former: t.released})
}

// Tick drops imported jobs that were not submitted again, limits the leases of targets, gives
// up jobs with deadly tasks, refuses or expires waiting jobs that can no longer end in time,
// stops stalled runs and places waiting tasks.
func (c *Core) Tick(now time.Time) []Effect {
	c.expireHandedOver(now)
	c.expireDetachedRuns(now)
	c.expireUnknownRuns(now)
	c.limitLeases(now)
	c.giveUpWithheld(now)
	for _, s := range slices.Clone(c.waitingJobs) {
		if !c.giveUpDeadly(s, now) && !c.answerHeld(s, now) {
			c.reviewWaiting(s, now)
		}
	}
	for _, id := range c.targetIDs {
		c.stopStalledRuns(c.targets[id], now)
	}
	c.placeTasks(now)
	return c.drainEffects()
}

// reviewWaiting refuses a job that has passed its latest start before any of its
// tasks was started.
func (c *Core) reviewWaiting(s *jobState, now time.Time) {
	if now.Before(s.latestStart) {
		return
	}
	if s.hasStarted {
		c.reviewStarted(s, now)
		return
	}
	c.answerJob(s, c.refusalOf(s, c.newRefusal(failure.DeadlineTooShort, "no capacity became free before the latest start", now)))
}

// reviewStarted moves a started job that is late behind all others in the queue, and
// answers it once its answer would have no value to the caller. The outcome is not
// Refused, because a task of the job has run, and not Failed, because no task used all
// its attempts.
func (c *Core) reviewStarted(s *jobState, now time.Time) {
	if now.After(s.expiresAt) {
		c.answerJob(s, Answer{Outcome: Broken, Kind: failure.ExpiredRunning, Reason: "a task still waits, and the answer would come too late to be useful"})
		return
	}
	if !s.late {
		c.waitingJobs = slices.DeleteFunc(c.waitingJobs, func(q *jobState) bool { return q == s })
		s.late = true
		c.enqueue(s)
	}
}

// stopStalledRuns stops the runs of a target that make no progress, and ejects the
// target for each of them.
func (c *Core) stopStalledRuns(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		if !r.stalled() {
			continue
		}
		t.eject(now)
		c.emit(LogEntry{Message: "A run is stalled.", Job: r.id.Job, Target: t.ID, Age: now.Sub(r.requestedAt)})
		c.stopRun(r, "the run makes no progress")
	}
}
