package dispatch

import (
	"encoding/json"
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/queue"
)

// HandleResult processes the end of an attempt and assigns waiting tasks. A
// result for an attempt that has already ended is ignored.
func (c *Core) HandleResult(now time.Time, r Result) {
	a, ok := c.attempts[r.ID]
	if !ok {
		return
	}
	delete(c.attempts, r.ID)
	a.target.starts--
	delete(a.job.startsInProgress, r.ID)
	c.stops.Remove(uint64(r.ID))
	c.recordAttempt(now, a, r)
	if !a.job.answered {
		c.applyOutcome(now, a, r)
	}
	if c.evacuated && !a.job.answered {
		c.withhold(a.job)
	}
	c.assignTasks(now)
}

// recordAttempt updates the queue, the slot, the health of the target and the
// learned run times after an attempt. A task that was not started returns to the
// queue, unless its job has been answered.
func (c *Core) recordAttempt(now time.Time, a attempt, r Result) {
	ran, outcome := now.Sub(a.startedAt), r.Outcome
	switch {
	case outcome != NotStarted:
		a.job.mayHaveRun = true
		c.queue.Finish(a.taskRef, ran)
	case a.job.answered:
		c.queue.Finish(a.taskRef, 0)
	default:
		c.queue.Requeue(a.taskRef)
	}
	c.recordContact(now, a.target.Target, r.NoAnswer)
	c.releaseSlot(now, a, r)
	if outcome == Done || outcome != NotStarted && !a.job.answered {
		c.observeHealth(now, a, outcome)
	}
	if outcome == Done || a.overdue(now, outcome) {
		c.runtimes.Observe(now, a.runtimeKey(), ran)
	}
}

// applyOutcome applies the end of an attempt to a job that has not been answered:
// it completes the task, leaves it queued for another attempt or fails the job.
func (c *Core) applyOutcome(now time.Time, a attempt, r Result) {
	switch r.Outcome {
	case Done:
		c.completeTask(now, a, r.Output)
	case NotStarted:
		if !c.mayRetry(a) {
			c.abortJob(now, a.job, failure.Overloaded, failure.NotPlaced, taskMessage(a, r))
		}
	case TaskError:
		c.failJob(now, a.job, failure.TaskFailed, taskMessage(a, r))
	case OutcomeUnknown:
		if a.job.spec.Idempotent && c.config.RestartIdempotent && c.mayRetry(a) {
			c.queue.Push(a.job.queueJob(), []queue.Task{a.taskRef.Task})
			return
		}
		c.failJob(now, a.job, failure.OutcomeUnknown, taskMessage(a, r))
	}
}

// mayRetry counts a failed attempt and reports whether MaxAttempts allows another
// attempt to start its task.
func (c *Core) mayRetry(a attempt) bool {
	if a.job.failedAttempts == nil {
		a.job.failedAttempts = make(map[int]int)
	}
	a.job.failedAttempts[a.taskRef.Task.Index]++
	return a.job.failedAttempts[a.taskRef.Task.Index] < c.config.MaxAttempts
}

func taskMessage(a attempt, r Result) string {
	return fmt.Sprintf("task %s: %s", a.task().ID, r.Message)
}

func (c *Core) completeTask(now time.Time, a attempt, output json.RawMessage) {
	j := a.job
	j.outputs[a.taskRef.Task.Index] = output
	j.incompleteTasks--
	if j.incompleteTasks > 0 {
		return
	}
	answer := &job.Answer{Outcome: job.Complete, Outputs: make([]job.Output, len(j.outputs))}
	for i, o := range j.outputs {
		answer.Outputs[i] = job.Output{ID: j.spec.Tasks[i].ID, Output: o}
	}
	c.answerJob(now, j, answer)
}

// abortJob answers a job with an error: of kind notRun if all its attempts are
// proven not to have started a task, else of kind mayHaveRun.
func (c *Core) abortJob(now time.Time, j *jobState, notRun, mayHaveRun failure.Kind, message string) {
	if j.mayHaveRun || len(j.startsInProgress) > 0 {
		c.failJob(now, j, mayHaveRun, message)
		return
	}
	c.failJob(now, j, notRun, message)
}

func (c *Core) failJob(now time.Time, j *jobState, kind failure.Kind, message string) {
	c.answerJob(now, j, job.ErrorAnswer(failure.New(kind, message)))
}

func (c *Core) answerJob(now time.Time, j *jobState, answer *job.Answer) {
	c.endJob(j, JobAnswer{Job: j.id, Answer: answer})
	c.stopJobTasks(now, j)
}

// endJob answers a job and removes its waiting tasks. Its running tasks continue.
func (c *Core) endJob(j *jobState, answer JobAnswer) {
	j.answered = true
	delete(c.jobs, j.id)
	c.jobDeadlines.remove(j)
	c.queue.RemoveJob(uint64(j.id))
	c.effects.Answers = append(c.effects.Answers, answer)
}

func newOutputs(spec *job.Spec) []json.RawMessage {
	return make([]json.RawMessage, len(spec.Tasks))
}
