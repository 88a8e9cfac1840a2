package dispatch

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/workers"
)

// stopJobTasks requests stops of the running tasks of an answered job, whose outputs
// are no longer needed.
func (c *Core) stopJobTasks(now time.Time, j *jobState) {
	for id := range j.startsInProgress {
		c.addStop(now, c.attempts[id])
	}
	c.emitDueStops(now)
}

// addStop adds a task that runs or may run to the tasks to be stopped.
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

// emitDueStops adds the stop requests that are due to the effects.
func (c *Core) emitDueStops(now time.Time) {
	c.effects.Stops = append(c.effects.Stops, c.stops.Due(now)...)
}

// ConfirmStopped records that the task of an attempt is proven to run no longer, and
// releases its slot.
func (c *Core) ConfirmStopped(now time.Time, id StartID) {
	c.stops.Remove(uint64(id))
	if a, ok := c.attempts[id]; ok && a.job.answered {
		c.HandleResult(now, Result{ID: id, Outcome: TaskError, Message: "the task was stopped"})
		return
	}
	if i := slices.IndexFunc(c.heldSlots, func(h heldSlot) bool { return h.id == id }); i >= 0 {
		c.heldSlots[i].heldUntil = now
		c.assignTasks(now)
	}
}

// AbandonStop ends the stop requests for a task whose target cannot stop it. The task
// may run, and keeps its slot, until its lease ends.
func (c *Core) AbandonStop(id StartID) { c.stops.Remove(uint64(id)) }
