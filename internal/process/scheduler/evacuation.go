package scheduler

import (
	"maps"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Withheld reports that the tasks of a job are not started because the pool's domain is
// evacuated.
type Withheld struct {
	Job     string
	Started bool // a task of the job has been started before
	Answer  Answer
}

func (Withheld) effect() {}

// SetEvacuated sets whether the pool's domain is evacuated. While it is, no new job is
// admitted, and jobs without a started task are answered at once so that they run
// elsewhere. Tasks of started jobs may still start for Config.EvacuationGrace after the
// given time, when the host received the request; later, none is started. Runs in
// progress end normally.
func (c *Core) SetEvacuated(evacuated bool, now time.Time) []Effect {
	if c.evacuated == evacuated {
		return nil
	}
	c.evacuated = evacuated
	if !evacuated {
		c.placeTasks(now)
		return c.drainEffects()
	}
	c.graceEnd = now.Add(c.config.EvacuationGrace)
	for _, s := range slices.Clone(c.waitingJobs) {
		if !s.hasStarted {
			c.answerJob(s, c.withhold(s))
		}
	}
	return c.drainEffects()
}

// Evacuated reports whether the pool's domain is evacuated.
func (c *Core) Evacuated() bool { return c.evacuated }

// startsWithheld reports whether no task may be started because of an evacuation.
func (c *Core) startsWithheld(now time.Time) bool { return c.evacuated && !now.Before(c.graceEnd) }

// withhold reports that a job without a started task is not started because of the
// evacuation and returns its answer: pools of other domains or, if none has reported
// free capacity, a refusal.
func (c *Core) withhold(s *jobState) Answer {
	c.poolCapacities = slices.DeleteFunc(slices.Clone(c.poolCapacities), func(p PoolCapacity) bool { return p.SameDomain })
	answer, _ := c.spillOrRefuse(s, c.newRefusal(failure.NotReady, "the domain is evacuated", time.Time{}))
	c.emit(Withheld{Job: s.ID, Answer: answer})
	return answer
}

// giveUpWithheld answers the started jobs with tasks that wait, once the grace period of
// an evacuation is over and the last run of the job has ended: runs in progress are not
// stopped.
func (c *Core) giveUpWithheld(now time.Time) {
	if !c.startsWithheld(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		if s.pendingTasks == 0 || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil }) {
			continue
		}
		var answer Answer
		if s.hasStarted {
			answer = Answer{Outcome: Broken, Kind: failure.ExpiredRunning, Reason: "the domain was evacuated before all tasks of the job had started"}
			c.emit(Withheld{Job: id, Started: true, Answer: answer})
		} else { // imported from a former holder after the evacuation
			answer = c.withhold(s)
		}
		c.answerJob(s, answer)
	}
}

// limitIfCold limits the number of tasks that would start on the target now to one if it
// is cold.
func (t *target) limitIfCold(tasks int, now time.Time) int {
	if !t.cold(now) {
		return tasks
	}
	return min(tasks, max(0, 1-len(t.runs)))
}
