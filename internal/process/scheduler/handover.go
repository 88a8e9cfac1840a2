package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HandoverTask is the state of a task that the new holder of a pool receives.
type HandoverTask struct {
	Step, Index   int
	LastRunNumber int // Run.Number of the last run; 0 if there was none
	Failures      int
	Done          bool
	Target        string // id of the target of the run in progress; empty if the task waits
	Incarnation   uint64 // of that target; 0 if unknown
	Stopping      bool   // the run in progress is being stopped
	Confirmed     bool   // the target has answered that it started the run, or listed it
	// LeaseRemaining is how long the lease of the run in progress may still be in force.
	LeaseRemaining time.Duration
}

// HandoverJob is a job in progress that the new holder of a pool continues.
type HandoverJob struct {
	Job        Job
	HasStarted bool      // a task has been started
	Waiters    []uint64  // that wait for the answer; not handed over
	AwaitedAt  time.Time // when it was last known that the caller waits
	Tasks      []HandoverTask
}

// answerRetention is how long after its caller was last known to wait the new holder keeps the
// answer of a handed-over job that ended before the caller's host submitted it again.
const answerRetention = 2 * time.Second

// ExportJobs returns the jobs in progress for a handover, ordered by key. It does not
// change them; see CompleteHandover. leaseRemaining returns how long the leases that were
// sent to a target may still be in force.
func (c *Core) ExportJobs(leaseRemaining func(targetID string) time.Duration, now time.Time) []HandoverJob {
	var out []HandoverJob
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		h := HandoverJob{Job: s.Job, HasStarted: s.hasStarted, Waiters: slices.Clone(s.waiters), AwaitedAt: now}
		if len(s.waiters) == 0 {
			h.AwaitedAt = s.resubmitBy.Add(-c.config.KeptFor())
		}
		for _, t := range s.tasks {
			task := HandoverTask{Step: t.step, Index: t.index, LastRunNumber: t.lastRunNumber, Failures: t.failureCount, Done: t.done}
			if t.run != nil {
				task.Target, task.Incarnation, task.Confirmed = t.run.targetID, t.run.incarnation, t.run.confirmed
				task.LastRunNumber = t.run.id.Number // an unknown run may have a higher one
				task.Stopping = t.run.state == stopping
				task.LeaseRemaining = c.leaseRemaining(t.run, leaseRemaining, now)
			} else if unknown := c.unknownRunsOf(s, t); len(unknown) > 0 && !t.done {
				last := slices.MaxFunc(unknown, func(a, b unknownRun) int { return cmp.Compare(a.id.Number, b.id.Number) })
				task.Target, task.LastRunNumber, task.Stopping = last.target, last.id.Number, true
				task.LeaseRemaining = max(0, last.until.Sub(now))
			}
			h.Tasks = append(h.Tasks, task)
		}
		out = append(out, h)
	}
	return out
}

// ImportJobs adds the jobs in progress of a former holder, except those already
// known. The callers' hosts submit these jobs again, which adds waiters to the jobs.
func (c *Core) ImportJobs(jobs []HandoverJob, now time.Time) []Effect {
	for _, h := range jobs {
		if c.anyTaskInProgress(h.Job) {
			continue
		}
		s := newJobState(h.Job)
		s.hasStarted = h.HasStarted
		s.awaitedAt, s.resubmitBy = h.AwaitedAt, h.AwaitedAt.Add(c.config.KeptFor())
		s.pendingTasks, s.unfinishedTasks = 0, 0
		c.addJob(s)
		for _, t := range h.Tasks {
			c.importTask(s, t, now)
		}
		c.recallLosses(s)
		c.isolateRuns(s)
		if s.pendingTasks > 0 {
			c.enqueue(s)
		}
	}
	c.expireHandedOver(now)
	c.placeTasks(now)
	return c.drainEffects()
}

// importTask restores a task. A run on a target that is not known here is detached: its
// task must not start again while the run may be in progress.
func (c *Core) importTask(s *jobState, h HandoverTask, now time.Time) {
	t := s.taskOf(Run{Step: h.Step, Index: h.Index})
	if t == nil {
		return
	}
	t.lastRunNumber, t.failureCount, t.done = h.LastRunNumber, h.Failures, h.Done
	if t.done {
		return
	}
	s.unfinishedTasks++
	if h.Target == "" {
		s.pendingTasks++
		c.awaitUnknownRuns(s, t)
		return
	}
	step := s.Steps[t.step]
	r := &run{
		id: Run{Job: s.ID, Step: t.step, Index: t.index, Number: t.lastRunNumber}, job: s,
		need: step.Need, targetID: h.Target, incarnation: h.Incarnation, requestedAt: now, state: running, confirmed: h.Confirmed, estimate: step.Estimate,
	}
	t.run = r
	if to, known := c.targets[h.Target]; known {
		r.estimate = time.Duration(float64(step.Estimate) * c.remoteFactor(step, to))
		c.adopt(to, r, now)
	} else {
		c.detach(r, now.Add(h.LeaseRemaining))
	}
	if h.Stopping {
		c.stopRun(r, "the former holder was stopping it")
	}
}

// expireHandedOver drops imported jobs that were not submitted again in time, and
// retained answers past their time.
func (c *Core) expireHandedOver(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		if !s.resubmitBy.IsZero() && len(s.waiters) == 0 && now.After(s.resubmitBy) {
			c.dropJob(s, "no host resubmitted the job after the handover")
		}
	}
	for id, a := range c.retainedAnswers {
		if now.After(a.expiresAt) {
			delete(c.retainedAnswers, id)
		}
	}
}

// retainedAnswer is the answer of an imported job that ended before its caller's
// host submitted it again.
type retainedAnswer struct {
	answer    Answer
	tasks     int // of the job: another part may begin with the same task
	expiresAt time.Time
}
