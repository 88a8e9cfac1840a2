package dispatch

import (
	"encoding/json"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/queue"
	"wasabifield.example/wasabifield/internal/request/runtimes"
)

// JobID names a job within this host.
type JobID uint64

// jobState is a job in progress.
type jobState struct {
	id       JobID
	spec     *job.Spec
	team     string
	deadline time.Time
	place    int // in the heap of deadlines
	outputs  []json.RawMessage
	attempts map[int]int      // starts that were not the last of their task, by task
	left     int              // tasks without an output
	open     map[StartID]bool // starts in progress
	ran      bool             // a start ended otherwise than not started
	done     bool             // the answer was given
}

// started is an attempt in progress.
type started struct {
	id     StartID
	name   string
	ref    queue.Ref
	job    *jobState
	target *Target
	pool   int // that the target's slot was taken from
	at     time.Time

	deadline time.Time // the attempt is given up and the task's lease ends
}

func (s started) task() *job.Task { return &s.job.spec.Tasks[s.ref.Task.Index] }

// key names the tasks whose run times and failures are like this one's.
func (s started) key() runtimes.Key {
	return runtimes.Key{Team: s.job.team, Kind: s.task().Kind}
}

// overdue reports whether an attempt was given up before its job. Its time
// counts as a run time, so that suspicion of the kind comes later.
func (s started) overdue(now time.Time, outcome Outcome) bool {
	return outcome == OutcomeUnknown && !now.Before(s.deadline) && s.deadline.Before(s.job.deadline)
}

// queueJob returns what the queue knows of a job.
func (j *jobState) queueJob() queue.Job {
	return queue.Job{ID: uint64(j.id), Team: j.team, Deadline: j.deadline}
}

// queueTasks returns the tasks of a job with their expected run times.
func (c *Core) queueTasks(now time.Time, j *jobState) []queue.Task {
	list := make([]queue.Task, len(j.spec.Tasks))
	for i, t := range j.spec.Tasks {
		declared := time.Duration(t.DeclaredMS) * time.Millisecond
		e := c.runtimes.Estimate(now, runtimes.Key{Team: j.team, Kind: t.Kind}, declared)
		list[i] = queue.Task{
			Index:       i,
			Accelerator: t.Accelerator,
			Bytes:       int64(len(t.Payload)),
			Cost:        e.Mean,
			Learned:     e.Learned,
		}
	}
	return list
}
