package dispatch

import (
	"encoding/json"
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/queue"
)

// HandleResult takes in the end of an attempt. A result for an attempt that has
// ended is ignored.
func (c *Core) HandleResult(now time.Time, r Result) {
	s, ok := c.starts[r.ID]
	if !ok {
		return
	}
	delete(c.starts, r.ID)
	s.target.busy--
	delete(s.job.open, r.ID)
	c.stops.Confirm(uint64(r.ID))
	c.account(now, s, r)
	if !s.job.done {
		c.settle(now, s, r)
	}
	c.assign(now)
}

// account tells the queue and the learned run times how an attempt ended. A
// task that goes back to the queue is settled there.
func (c *Core) account(now time.Time, s started, r Result) {
	ran, outcome := now.Sub(s.at), r.Outcome
	switch {
	case outcome != NotStarted:
		s.job.ran = true
		c.queue.Done(s.ref, ran)
	case s.job.done:
		c.queue.Done(s.ref, 0)
	default:
		c.queue.Return(s.ref)
	}
	c.hear(now, s.target.Target, r.NoAnswer)
	c.free(now, s, r)
	if outcome == Done || outcome != NotStarted && !s.job.done {
		c.observe(now, s, outcome)
	}
	if outcome == Done || s.overdue(now, outcome) {
		c.runtimes.Observe(now, s.key(), ran)
	}
}

// settle decides what the end of an attempt means for an unanswered job.
func (c *Core) settle(now time.Time, s started, r Result) {
	switch r.Outcome {
	case Done:
		c.complete(now, s, r.Output)
	case NotStarted:
		if !c.mayRetry(s) {
			c.giveUp(now, s.job, failure.Overloaded, failure.NotPlaced, taskMessage(s, r))
		}
	case TaskError:
		c.fail(now, s.job, failure.TaskFailed, taskMessage(s, r))
	case OutcomeUnknown:
		if s.job.spec.Idempotent && c.config.RestartIdempotent && c.mayRetry(s) {
			c.queue.Push(s.job.queueJob(), []queue.Task{s.ref.Task})
			return
		}
		c.fail(now, s.job, failure.OutcomeUnknown, taskMessage(s, r))
	}
}

// mayRetry counts an attempt and reports whether its task may be started again.
func (c *Core) mayRetry(s started) bool {
	if s.job.attempts == nil {
		s.job.attempts = make(map[int]int)
	}
	s.job.attempts[s.ref.Task.Index]++
	return s.job.attempts[s.ref.Task.Index] < c.config.MaxAttempts
}

func taskMessage(s started, r Result) string {
	return fmt.Sprintf("task %s: %s", s.task().ID, r.Message)
}

func (c *Core) complete(now time.Time, s started, output json.RawMessage) {
	j := s.job
	j.outputs[s.ref.Task.Index] = output
	j.left--
	if j.left > 0 {
		return
	}
	answer := &job.Answer{Outcome: job.Complete, Outputs: make([]job.Output, len(j.outputs))}
	for i, o := range j.outputs {
		answer.Outputs[i] = job.Output{ID: j.spec.Tasks[i].ID, Output: o}
	}
	c.finish(now, j, answer)
}

// giveUp answers a job with kind notRun if none of its tasks may have been
// started, else with kind mayHaveRun.
func (c *Core) giveUp(now time.Time, j *jobState, notRun, mayHaveRun failure.Kind, message string) {
	if j.ran || len(j.open) > 0 {
		c.fail(now, j, mayHaveRun, message)
		return
	}
	c.fail(now, j, notRun, message)
}

func (c *Core) fail(now time.Time, j *jobState, kind failure.Kind, message string) {
	c.finish(now, j, job.Refuse(failure.New(kind, message)))
}

func (c *Core) finish(now time.Time, j *jobState, answer *job.Answer) {
	j.done = true
	delete(c.jobs, j.id)
	c.ends.remove(j)
	c.queue.Remove(uint64(j.id))
	c.stopTasks(now, j)
	c.out.Answers = append(c.out.Answers, JobAnswer{Job: j.id, Answer: answer})
}

func newOutputs(spec *job.Spec) []json.RawMessage {
	return make([]json.RawMessage, len(spec.Tasks))
}
