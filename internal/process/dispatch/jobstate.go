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
	id               JobID
	spec             *job.Spec
	team             string
	deadline         time.Time
	heapIndex        int // in the heap of deadlines
	outputs          []json.RawMessage
	failedAttempts   map[int]int      // starts that were not the last of their task, by task
	incompleteTasks  int              // tasks without an output
	startsInProgress map[StartID]bool // starts in progress
	mayHaveRun       bool             // a start ended otherwise than not started
	answered         bool             // the answer was given
}

// attempt is an attempt in progress.
type attempt struct {
	id        StartID
	name      string
	taskRef   queue.Ref
	job       *jobState
	target    *Target
	pool      int // that the target's slot was taken from
	startedAt time.Time

	deadline time.Time // the attempt is given up and the task's lease ends
}

func (a attempt) task() *job.Task { return &a.job.spec.Tasks[a.taskRef.Task.Index] }

// runtimeKey names the tasks whose run times and failures are like this one's.
func (a attempt) runtimeKey() runtimes.Key {
	return runtimes.Key{Team: a.job.team, Kind: a.task().Kind}
}

// overdue reports whether an attempt was given up before its job. Its time
// counts as a run time, so that suspicion of the kind comes later.
func (a attempt) overdue(now time.Time, outcome Outcome) bool {
	return outcome == OutcomeUnknown && !now.Before(a.deadline) && a.deadline.Before(a.job.deadline)
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
