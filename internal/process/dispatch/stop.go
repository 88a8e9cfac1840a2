package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/workers"
)

// stopTasks asks for the running tasks of an answered job to be stopped: their
// outputs are not wanted any more.
func (c *Core) stopTasks(now time.Time, j *jobState) {
	for id := range j.open {
		c.stopTask(now, c.starts[id])
	}
	c.askStops(now)
}

// stopTask lists a task that runs or may run to be stopped.
func (c *Core) stopTask(now time.Time, s started) {
	c.stops.Add(now, workers.Task{
		ID:       uint64(s.id),
		Name:     s.name,
		Target:   s.target.Target,
		Address:  s.target.Address,
		Worker:   s.target.Worker,
		LeaseEnd: s.deadline,
	})
}

// askStops adds the stops that are due to the effects.
func (c *Core) askStops(now time.Time) { c.out.Stops = append(c.out.Stops, c.stops.Due(now)...) }

// ConfirmStopped takes in the proof that a task no longer runs.
func (c *Core) ConfirmStopped(now time.Time, id StartID) {
	c.stops.Confirm(uint64(id))
	if s, ok := c.starts[id]; ok && s.job.done {
		c.HandleResult(now, Result{ID: id, Outcome: TaskError, Message: "the task was stopped"})
		return
	}
	if i := slices.IndexFunc(c.held, func(h heldSlot) bool { return h.id == id }); i >= 0 {
		c.held[i].until = now
		c.assign(now)
	}
}

// AbandonStop takes in that a task will run until its lease ends.
func (c *Core) AbandonStop(id StartID) { c.stops.Confirm(uint64(id)) }
