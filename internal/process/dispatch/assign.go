package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/queue"
)

// assignTasks starts waiting tasks while targets have free slots for them. Tasks
// that need an accelerator are assigned first, because only targets with an
// accelerator can run them.
func (c *Core) assignTasks(now time.Time) {
	c.releaseHeldSlots(now)
	if !c.evacuated {
		for c.assignOne(now, true) {
		}
		for c.assignOne(now, false) {
		}
	}
	c.collectPoolMessages(now)
}

// assignOne starts the next waiting task, with or without a need for an
// accelerator, and reports whether one was started.
func (c *Core) assignOne(now time.Time, accelerator bool) bool {
	if !c.queue.HasStartable(accelerator) {
		return false
	}
	t, pool := c.acquireSlot(now, accelerator)
	if t == nil {
		return false
	}
	ref, ok := c.queue.Pop(accelerator)
	if ok {
		c.startTask(now, ref, t, pool)
	}
	return ok
}

func (c *Core) startTask(now time.Time, ref queue.TaskRef, t *Target, pool int) {
	j := c.jobs[JobID(ref.Job.ID)]
	task := &j.spec.Tasks[ref.Task.Index]
	c.lastStartID++
	a := attempt{id: c.lastStartID, taskRef: ref, job: j, target: t, pool: pool, startedAt: now}
	a.deadline = now.Add(c.config.AttemptTimeout)
	if j.deadline.Before(a.deadline) {
		a.deadline = j.deadline
	}
	start := Start{
		ID:             c.lastStartID,
		Job:            j.id,
		Target:         t.Target,
		Address:        t.Address,
		MaxConnections: t.Connections,
		Task:           task,
		SuspectAt:      now.Add(c.suspicionDelay(now, a)),
		Deadline:       a.deadline,
		LeaseEnd:       t.LeaseEnd,
	}
	a.name = start.AttemptName()
	c.attempts[c.lastStartID] = a
	t.starts++
	j.startsInProgress[c.lastStartID] = true
	c.effects.Starts = append(c.effects.Starts, start)
}
