package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/queue"
)

// assign starts waiting tasks while a target has a free slot for them. Tasks
// that need an accelerator go first: no other target will do for them.
func (c *Core) assign(now time.Time) {
	for c.assignOne(now, true) {
	}
	for c.assignOne(now, false) {
	}
}

func (c *Core) assignOne(now time.Time, accelerator bool) bool {
	if !c.queue.Waiting(accelerator) {
		return false
	}
	t := c.choose(now, accelerator)
	if t == nil {
		return false
	}
	r, ok := c.queue.Pop(accelerator)
	if ok {
		c.start(now, r, t)
	}
	return ok
}

// choose returns the less loaded of two random free targets, nil if none is
// free (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
func (c *Core) choose(now time.Time, accelerator bool) *Target {
	var first, second *Target
	free := 0
	for _, t := range c.order {
		if !t.free(now) || !t.fits(accelerator) {
			continue
		}
		free++
		// Reservoir sampling of two among the free targets.
		switch i := c.random.IntN(free); {
		case free <= 2 && first == nil:
			first = t
		case free <= 2:
			second = t
		case i == 0:
			first = t
		case i == 1:
			second = t
		}
	}
	if second != nil && second.load() < first.load() {
		return second
	}
	return first
}

func (c *Core) start(now time.Time, r queue.Ref, t *Target) {
	j := c.jobs[JobID(r.Job.ID)]
	task := &j.spec.Tasks[r.Task.Index]
	c.last++
	c.starts[c.last] = started{ref: r, job: j, target: t, at: now}
	t.busy++
	j.running++
	deadline := now.Add(c.config.AttemptTimeout)
	if j.deadline.Before(deadline) {
		deadline = j.deadline
	}
	c.out.Starts = append(c.out.Starts, Start{
		ID:       c.last,
		Job:      j.id,
		Target:   t.Target,
		Address:  t.Address,
		Conns:    t.Connections,
		Task:     task,
		Deadline: deadline,
		LeaseEnd: t.LeaseEnd,
	})
}
