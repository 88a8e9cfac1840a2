package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// task is one task of a job in progress.
type task struct {
	step, index   int // the index is that in the whole job
	lastRunNumber int // Run.Number of the last run; 0 before the first
	failureCount  int
	done          bool
	run           *run       // in progress; nil while the task waits or once it is done
	released      Release    // end of the last run; its target is used again only if no other fits
	suspect       bool       // a target was lost under the task, here or at another host
	localWait     *localWait // for a target in the data rack; nil if the task has never waited for one
}

// jobState is a job in progress with the state of its tasks.
type jobState struct {
	Job
	tasks           []*task
	pendingTasks    int       // tasks that wait for a start
	unfinishedTasks int       // tasks that are not done
	hasStarted      bool      // a task has been started
	dueAt           time.Time // end of the objective, or the deadline if it is earlier
	latestStart     time.Time // latest start that is expected to meet dueAt
	waiters         []uint64  // callers to reply to
	awaitedAt       time.Time // when its caller was last known to wait for the answer
	dropped         bool      // answered or withdrawn; its runs are being stopped
	expiresAt       time.Time // an answer after this time has no value to the caller
	resubmitBy      time.Time // when an imported job is dropped unless submitted again; zero for others
	late            bool      // started, but past its latest start; queued behind all others
}

// MaxTasks is the largest number of tasks of a job, far above the widest job in the users'
// requirements. Each task takes memory.
const MaxTasks = 10_000

// maxEstimate is the longest estimate of a task in messages between hosts.
const maxEstimate = math.MaxUint32 * time.Millisecond

// Check returns an InvalidRequest failure that names the field that no job can have, or nil.
// A Core must be given only jobs that pass.
func (j Job) Check() error {
	if len(j.Steps) == 0 {
		return failure.Invalid("steps", "must contain at least one step")
	}
	tasks := 0
	for i, s := range j.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		switch {
		case s.Count < 1 || s.Count > MaxTasks:
			return failure.Invalid(field+".count", fmt.Sprintf("is %d, must be from 1 to %d", s.Count, MaxTasks))
		case min(s.Need.CPUMilli, s.Need.MemoryMB, s.Need.GPUs) < 0:
			return failure.Invalid(field, "needs less than nothing of a resource")
		case s.Estimate < 0 || s.Estimate > maxEstimate:
			return failure.Invalid(field+".estimate", fmt.Sprintf("is %v, must be from 0 to %v", s.Estimate, maxEstimate))
		case slices.ContainsFunc(s.After, func(a int) bool { return a < 0 || a >= i }):
			return failure.Invalid(field+".after", "must contain only indexes of earlier steps")
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return failure.Invalid("steps", fmt.Sprintf("have %d tasks, at most %d are allowed", tasks, MaxTasks))
	}
	return nil
}

// expiryFactor is the multiple of a job's objective after which its answer has no
// value. The users' rules say three, which is doubled because estimates are off by
// as much.
const expiryFactor = 6

func newJobState(j Job) *jobState {
	s := &jobState{Job: j}
	for step, st := range j.Steps {
		for index := range st.Count {
			s.tasks = append(s.tasks, &task{step: step, index: j.FirstTask + index})
		}
	}
	s.pendingTasks = len(s.tasks)
	s.unfinishedTasks = len(s.tasks)
	criticalPath := j.criticalPath()
	s.dueAt = j.ArrivedAt.Add(j.Objective())
	if j.Deadline.Before(s.dueAt) {
		s.dueAt = j.Deadline
	}
	s.latestStart = s.dueAt.Add(-criticalPath)
	s.expiresAt = j.ArrivedAt.Add(expiryFactor * j.Objective())
	return s
}

// criticalPath returns the estimated run time of the job's longest chain of
// dependent steps.
func (j Job) criticalPath() time.Duration {
	endOffsets := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var earliestStart time.Duration
		for _, a := range s.After {
			if a < i {
				earliestStart = max(earliestStart, endOffsets[a])
			}
		}
		endOffsets[i] = earliestStart + s.Estimate
		longest = max(longest, endOffsets[i])
	}
	return longest
}

// pathFrom returns the estimated run time of the longest chain of dependent steps that
// begins with a step.
func (j Job) pathFrom(first int) time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	for step := len(j.Steps) - 1; step >= first; step-- {
		for later := step + 1; later < len(j.Steps); later++ {
			if slices.Contains(j.Steps[later].After, step) {
				longest[step] = max(longest[step], longest[later])
			}
		}
		longest[step] += j.Steps[step].Estimate
	}
	return longest[first]
}

// Objective returns the time after arrival within which the job's answer has its
// full value.
func (j Job) Objective() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.criticalPath())) + j.TargetLatency
}

// ready reports whether all steps that a task's step depends on are done.
func (s *jobState) ready(t *task) bool {
	for _, a := range s.Steps[t.step].After {
		for _, other := range s.tasks {
			if other.step == a && !other.done {
				return false
			}
		}
	}
	return true
}

// pendingWork returns the estimated CPU time of the job's waiting tasks, in
// core-milliseconds.
func (s *jobState) pendingWork() int64 {
	var sum int64
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			st := s.Steps[t.step]
			sum += st.Need.CPUMilli * st.Estimate.Milliseconds() / 1000
		}
	}
	return sum
}

// countRunsOn returns the number of runs of a step on a target.
func (s *jobState) countRunsOn(step int, targetID string) int {
	n := 0
	for _, t := range s.tasks {
		if t.step == step && t.run != nil && t.run.targetID == targetID {
			n++
		}
	}
	return n
}

// taskOf returns the task of a run, or nil if the job has no such task. It relies
// on tasks being stored in the order of their steps.
func (s *jobState) taskOf(r Run) *task {
	position := r.Index - s.FirstTask
	if r.Step < 0 || r.Step >= len(s.Steps) || position < 0 || position >= s.Steps[r.Step].Count {
		return nil
	}
	for _, step := range s.Steps[:r.Step] {
		position += step.Count
	}
	return s.tasks[position]
}
