package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/queue"
)

// assign starts waiting tasks while a target has a free slot for them. Tasks
// that need an accelerator go first: no other target will do for them.
func (c *Core) assign(now time.Time) {
	c.releaseHeld(now)
	for c.assignOne(now, true) {
	}
	for c.assignOne(now, false) {
	}
	c.tell(now)
}

func (c *Core) assignOne(now time.Time, accelerator bool) bool {
	if !c.queue.Waiting(accelerator) {
		return false
	}
	t, pool := c.acquire(now, accelerator)
	if t == nil {
		return false
	}
	r, ok := c.queue.Pop(accelerator)
	if ok {
		c.start(now, r, t, pool)
	}
	return ok
}

func (c *Core) start(now time.Time, r queue.Ref, t *Target, pool int) {
	j := c.jobs[JobID(r.Job.ID)]
	task := &j.spec.Tasks[r.Task.Index]
	c.last++
	s := started{id: c.last, ref: r, job: j, target: t, pool: pool, at: now}
	s.deadline = now.Add(c.config.AttemptTimeout)
	if j.deadline.Before(s.deadline) {
		s.deadline = j.deadline
	}
	start := Start{
		ID:             c.last,
		Job:            j.id,
		Target:         t.Target,
		Address:        t.Address,
		MaxConnections: t.Connections,
		Task:           task,
		SuspectAt:      now.Add(c.suspectAfter(now, s)),
		Deadline:       s.deadline,
		LeaseEnd:       t.LeaseEnd,
	}
	s.name = start.AttemptName()
	c.starts[c.last] = s
	t.busy++
	j.open[c.last] = true
	c.out.Starts = append(c.out.Starts, start)
}
