package dispatch

import (
	"encoding/json"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/queue"
	"wasabifield.example/wasabifield/internal/request/runtimes"
)

// JobID identifies a job within this process.
type JobID uint64

// jobState is a job in progress.
type jobState struct {
	id               JobID
	spec             *job.Spec
	team             string
	deadline         time.Time
	heapIndex        int // in Core.jobDeadlines
	outputs          []json.RawMessage
	failedAttempts   map[int]int // attempts that did not complete their task, by task index
	incompleteTasks  int         // number of tasks without an output
	startsInProgress map[StartID]bool
	mayHaveRun       bool // an attempt ended with an outcome other than NotStarted
	answered         bool // the job has been answered
}

// attempt is an attempt to start a task that is in progress.
type attempt struct {
	id        StartID
	name      string
	taskRef   queue.TaskRef
	job       *jobState
	target    *Target
	pool      int // index of the pool that the slot belongs to
	startedAt time.Time

	deadline time.Time // end of the attempt and of the lease of the task
}

func (a attempt) task() *job.Task { return &a.job.spec.Tasks[a.taskRef.Task.Index] }

// runtimeKey returns the key under which run times and failures of tasks like this
// one are collected.
func (a attempt) runtimeKey() runtimes.Key {
	return runtimes.Key{Team: a.job.team, Kind: a.task().Kind}
}

// overdue reports whether an attempt reached its timeout before the deadline of its
// job. Its duration counts as a run time, which raises the suspicion delay of the
// kind.
func (a attempt) overdue(now time.Time, outcome Outcome) bool {
	return outcome == OutcomeUnknown && !now.Before(a.deadline) && a.deadline.Before(a.job.deadline)
}

// queueJob returns the form of a job that the queue stores.
func (j *jobState) queueJob() queue.Job {
	return queue.Job{ID: uint64(j.id), Team: j.team, Deadline: j.deadline}
}

// queueTasks returns the tasks of a job with their expected run times: learned
// ones if there are enough samples, else a guess from the declared time.
func (c *Core) queueTasks(now time.Time, j *jobState) []queue.Task {
	list := make([]queue.Task, len(j.spec.Tasks))
	for i, t := range j.spec.Tasks {
		declared := time.Duration(t.DeclaredMS) * time.Millisecond
		e := c.runtimes.Estimate(now, runtimes.Key{Team: j.team, Kind: t.Kind}, declared)
		list[i] = queue.Task{
			Index:           i,
			Accelerator:     t.Accelerator,
			PayloadBytes:    int64(len(t.Payload)),
			ExpectedRunTime: e.Mean,
			Learned:         e.Learned,
		}
	}
	return list
}
