package scheduler

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// A suspect is a task under which a target was lost that may have crashed. It is started
// alone: on a target without other runs, where nothing is started beside it. If it crashes
// that target too, it takes no other task along, and no other task can be the cause.
//
// On a full pool no target becomes idle by itself. A target is therefore reserved for a
// suspect that waits: it gets no other work until the suspect has started there.

// reservedShare is the inverse of the share of a service's usable targets that may be
// reserved at once. When a rack is lost, there are more suspects than targets left, and
// idle targets would cost the tasks that are not late more than the suspects are worth.
const reservedShare = 8

// SuspectDecision is a decision about a suspect.
type SuspectDecision int

// The decisions about suspects.
const (
	SuspectStartedAlone SuspectDecision = iota // on an idle target
	SuspectTargetReserved
	SuspectVerdictNotAwaited // its job is answered, as the objective can no longer be met
	SuspectGivenUp           // crashLimit targets have crashed under it
)

var suspectDecisionNames = [...]string{"started_alone", "target_reserved", "verdict_not_awaited", "given_up"}

// String returns the decision's name.
func (d SuspectDecision) String() string { return suspectDecisionNames[d] }

var suspectMessages = [...]string{
	"A suspect was started alone.", "A target was reserved for a suspect.",
	"A job is answered without the verdict on lost targets.", "A task was given up.",
}

// Message returns the decision's log message.
func (d SuspectDecision) Message() string { return suspectMessages[d] }

// SuspectDecided reports a decision about a suspect and what it rests on.
type SuspectDecided struct {
	Decision SuspectDecision
	Run      Run    // Number is that of the last run
	Target   string // empty if the decision concerns none
	Losses   losses.Count
	Age      time.Duration // of the last loss
}

func (SuspectDecided) effect() {}

// emitSuspect reports a decision about a suspect.
func (c *Core) emitSuspect(d SuspectDecision, s *jobState, t *task, targetID string, now time.Time) {
	r := Run{Job: s.ID, Step: t.step, Index: t.index, Number: t.lastRunNumber}
	e := SuspectDecided{Decision: d, Run: r, Target: targetID, Losses: c.lossCount(s, t)}
	for _, l := range c.losses.OfJob(s.ID) {
		if l.Task == lossTask(r) {
			e.Age = now.Sub(l.LostAt)
		}
	}
	c.emit(e)
}

// isSuspect reports whether a target that may have crashed was lost under a task.
func (c *Core) isSuspect(s *jobState, t *task) bool {
	return t.suspect && c.lossCount(s, t).Sum() > 0
}

// reservation is a target that gets no work but a suspect's.
type reservation struct {
	job    *jobState
	task   *task
	target *target
}

// withheld reports whether the target gets no work beside or before a suspect.
func (t *target) withheld() bool { return t.aloneRuns > 0 || t.reservedFor != nil }

// canStartAlone reports whether a suspect of the step may start on the target now.
func (t *target) canStartAlone(suspect *task, s Step, now time.Time) bool {
	return len(t.runs) == 0 && (t.reservedFor == nil || t.reservedFor == suspect) && t.usable(now) && t.couldRun(s)
}

// startSuspect starts a suspect on an idle target and reports whether there is one.
// Otherwise it reserves a target for it.
func (c *Core) startSuspect(s *jobState, t *task, now time.Time) bool {
	step := s.Steps[t.step]
	chosen := c.chooseTarget(s, t, func(candidate *target) bool { return candidate.canStartAlone(t, step, now) }, now)
	if chosen == nil {
		c.reserve(s, t, now)
		return false
	}
	c.release(t)
	c.startTask(s, t, chosen, now)
	chosen.isolate(t.run)
	c.emitSuspect(SuspectStartedAlone, s, t, chosen.ID, now)
	return true
}

// isolate marks a run of the target as one that must stay alone.
func (t *target) isolate(r *run) {
	r.alone = true
	t.aloneRuns++
}

// isolateRuns marks the runs of the suspects of an imported job. The former holder has
// started them alone.
func (c *Core) isolateRuns(s *jobState) {
	for _, t := range s.tasks {
		if t.run == nil || !c.isSuspect(s, t) {
			continue
		}
		if on, known := c.targets[t.run.targetID]; known {
			on.isolate(t.run)
		} else {
			t.run.alone = true // a target that becomes known takes it over
		}
	}
}

// reserve reserves the target that is expected to be idle first, unless enough targets are
// reserved. A job that is late reserves one only if no other is reserved.
func (c *Core) reserve(s *jobState, t *task, now time.Time) {
	if _, ok := c.reservations[t]; ok {
		return
	}
	usable, reserved := 0, 0
	var best *target
	var bestIdleAt time.Time
	for _, id := range c.targetIDs {
		candidate := c.targets[id]
		if candidate.Service != s.Service || !candidate.usable(now) {
			continue
		}
		usable++
		if candidate.reservedFor != nil {
			reserved++
		}
		if candidate.withheld() || !candidate.couldRun(s.Steps[t.step]) {
			continue
		}
		if idleAt := candidate.idleAt(now); best == nil || idleAt.Before(bestIdleAt) {
			best, bestIdleAt = candidate, idleAt
		}
	}
	limit := max(1, usable/reservedShare)
	if s.late {
		limit = 1
	}
	if best == nil || reserved >= limit {
		return
	}
	best.reservedFor = t
	c.localWaits.cache.clear()
	c.reservations[t] = reservation{s, t, best}
	c.emitSuspect(SuspectTargetReserved, s, t, best.ID, now)
}

// release ends the reservation for a task, if there is one.
func (c *Core) release(t *task) {
	if r, ok := c.reservations[t]; ok {
		r.target.reservedFor = nil
		delete(c.reservations, t)
	}
}

// reviewReservations releases the targets that their suspects no longer need or cannot
// use: the job was answered, the task is no suspect any more or must wait for a verdict, or
// the target was lost or gets no work.
func (c *Core) reviewReservations(now time.Time) {
	for t, r := range c.reservations {
		if c.jobs[r.job.key()] != r.job || t.run != nil || t.done || !c.isSuspect(r.job, t) || !c.mayStart(r.job, t) ||
			c.targets[r.target.ID] != r.target || !r.target.usable(now) {
			c.release(t)
		}
	}
}

// suspectsStartable reports whether there are idle targets for all suspects of a job that
// has not started here: its caller sent it again.
func (c *Core) suspectsStartable(s *jobState, now time.Time) bool {
	suspects, idle := 0, 0
	for _, t := range s.tasks {
		if !c.isSuspect(s, t) {
			continue
		}
		if !c.mayStart(s, t) {
			return false
		}
		if suspects++; suspects > 1 {
			continue
		}
		for _, candidate := range c.targets {
			if candidate.Service == s.Service && candidate.canStartAlone(t, s.Steps[t.step], now) {
				idle++
			}
		}
	}
	return suspects <= idle
}

// answerHeld answers a job with a suspect that must wait for the verdict on lost targets
// once the job can no longer meet its objective, and reports whether it did. A verdict may
// take longer than the caller waits, and never comes if the targets stay away. The outcome
// is not Refused, because the task has run, and not Failed, because too few targets are
// known to have crashed.
func (c *Core) answerHeld(s *jobState, now time.Time) bool {
	for _, t := range s.tasks {
		if t.done || t.run != nil || c.mayStart(s, t) || !now.Add(s.pathFrom(t.step)).After(s.dueAt) {
			continue
		}
		c.emitSuspect(SuspectVerdictNotAwaited, s, t, "", now)
		c.answerJob(s, Answer{Outcome: Broken, Kind: failure.ExpiredRunning, Reason: "what became of the targets that were lost under a task is not known in time"})
		return true
	}
	return false
}

// refusalOf returns the answer to a job that is not run. A job whose caller sent it again
// after a target was lost under one of its tasks has run, so it is not answered as refused.
// A trial for another host is: that host answers the caller.
func (c *Core) refusalOf(s *jobState, refusal Answer) Answer {
	if refusal.Outcome != Refused || s.OnlyAtOnce || !c.losses.Knows(s.ID) {
		return refusal
	}
	return Answer{Outcome: Broken, Kind: failure.OutcomeUnknown, Reason: "a target was lost while an earlier attempt ran there, and this attempt does not run: " + refusal.Reason}
}
