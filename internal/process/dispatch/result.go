package dispatch

import (
	"encoding/json"
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Result takes in the end of an attempt. A result for an attempt that has
// ended is ignored.
func (c *Core) Result(now time.Time, r Result) {
	s, ok := c.starts[r.ID]
	if !ok {
		return
	}
	delete(c.starts, r.ID)
	s.target.busy--
	s.task.job.running--
	if r.Outcome == NotStarted {
		s.target.avoided = now.Add(c.config.RefusalPause)
	} else {
		s.task.job.ran = true
	}
	if !s.task.job.done {
		c.settle(s.task, r)
	}
	c.assign(now)
}

// settle decides what the end of an attempt means for an unanswered job.
func (c *Core) settle(t taskRef, r Result) {
	switch r.Outcome {
	case Done:
		c.complete(t, r.Output)
	case NotStarted:
		c.queue.pushFront(t)
	case TaskError:
		c.fail(t.job, failure.TaskFailed, taskMessage(t, r))
	case Lost:
		if t.job.spec.Idempotent && c.config.RestartIdempotent {
			c.queue.pushFront(t)
			return
		}
		c.fail(t.job, failure.OutcomeUnknown, taskMessage(t, r))
	}
}

func taskMessage(t taskRef, r Result) string {
	return fmt.Sprintf("task %s: %s", t.task().ID, r.Message)
}

func (c *Core) complete(t taskRef, output json.RawMessage) {
	j := t.job
	j.outputs[t.index] = output
	j.left--
	if j.left > 0 {
		return
	}
	answer := &job.Answer{Outcome: job.Complete, Outputs: make([]job.Output, len(j.outputs))}
	for i, o := range j.outputs {
		answer.Outputs[i] = job.Output{ID: j.spec.Tasks[i].ID, Output: o}
	}
	c.finish(j, answer)
}

// giveUp answers a job with kind notRun if none of its tasks may have been
// started, else with kind mayHaveRun.
func (c *Core) giveUp(j *jobState, notRun, mayHaveRun failure.Kind, message string) {
	if j.ran || j.running > 0 {
		c.fail(j, mayHaveRun, message)
		return
	}
	c.fail(j, notRun, message)
}

func (c *Core) fail(j *jobState, kind failure.Kind, message string) {
	queued, bytes := 0, int64(0)
	c.discardQueued(j, &queued, &bytes)
	c.finish(j, job.Refuse(failure.New(kind, message)))
	c.queue.discard(queued, bytes)
}

// discardQueued counts the tasks of j that wait for a slot.
func (c *Core) discardQueued(j *jobState, tasks *int, bytes *int64) {
	for _, r := range c.queue.items[c.queue.head:] {
		if r.job == j {
			*tasks++
			*bytes += int64(len(r.task().Payload))
		}
	}
}

func (c *Core) finish(j *jobState, answer *job.Answer) {
	j.done = true
	delete(c.jobs, j.id)
	c.out.Finishes = append(c.out.Finishes, Finish{Job: j.id, Answer: answer})
}

func newOutputs(spec *job.Spec) []json.RawMessage {
	return make([]json.RawMessage, len(spec.Tasks))
}
