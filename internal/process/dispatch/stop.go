package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/workers"
)

// stopJobTasks asks for the running tasks of an answered job to be stopped: their
// outputs are not wanted any more.
func (c *Core) stopJobTasks(now time.Time, j *jobState) {
	for id := range j.startsInProgress {
		c.addStop(now, c.attempts[id])
	}
	c.emitDueStops(now)
}

// addStop lists a task that runs or may run to be stopped.
func (c *Core) addStop(now time.Time, a attempt) {
	c.stops.Add(now, workers.Task{
		ID:       uint64(a.id),
		Name:     a.name,
		Target:   a.target.Target,
		Address:  a.target.Address,
		Worker:   a.target.Worker,
		LeaseEnd: a.deadline,
	})
}

// emitDueStops adds the stops that are due to the effects.
func (c *Core) emitDueStops(now time.Time) {
	c.effects.Stops = append(c.effects.Stops, c.stops.Due(now)...)
}

// ConfirmStopped takes in the proof that a task no longer runs.
func (c *Core) ConfirmStopped(now time.Time, id StartID) {
	c.stops.Confirm(uint64(id))
	if a, ok := c.attempts[id]; ok && a.job.answered {
		c.HandleResult(now, Result{ID: id, Outcome: TaskError, Message: "the task was stopped"})
		return
	}
	if i := slices.IndexFunc(c.heldSlots, func(h heldSlot) bool { return h.id == id }); i >= 0 {
		c.heldSlots[i].until = now
		c.assignTasks(now)
	}
}

// AbandonStop takes in that a task will run until its lease ends.
func (c *Core) AbandonStop(id StartID) { c.stops.Confirm(uint64(id)) }
