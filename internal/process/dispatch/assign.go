package dispatch

import "time"

// assign starts queued tasks while a target has a free slot for them. A task
// that needs an accelerator does not hold back the tasks behind it.
func (c *Core) assign(now time.Time) {
	var waiting []taskRef
	for {
		r, ok := c.queue.pop()
		if !ok {
			break
		}
		accelerator := r.task().Accelerator
		var t *Target
		if !accelerator || len(waiting) == 0 {
			t = c.choose(now, accelerator)
		}
		if t != nil {
			c.start(now, r, t)
			continue
		}
		waiting = append(waiting, r)
		if !accelerator {
			break
		}
	}
	for i := len(waiting) - 1; i >= 0; i-- {
		c.queue.pushFront(waiting[i])
	}
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

func (c *Core) start(now time.Time, r taskRef, t *Target) {
	c.last++
	c.starts[c.last] = started{r, t}
	t.busy++
	r.job.running++
	deadline := now.Add(c.config.AttemptTimeout)
	if r.job.deadline.Before(deadline) {
		deadline = r.job.deadline
	}
	c.out.Starts = append(c.out.Starts, Start{
		ID:       c.last,
		Job:      r.job.id,
		Target:   t.Target,
		Address:  t.Address,
		Conns:    t.Connections,
		Task:     r.task(),
		Deadline: deadline,
	})
}
