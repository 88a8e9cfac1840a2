package scheduler

import (
	"time"
)

// task is one task of a job in progress.
type task struct {
	step, index int
	started     int // the number of the last run
	failures    int
	done        bool
	run         *run   // in progress; nil while it waits
	avoid       string // the target that failed it last
}

// jobState is a job in progress.
type jobState struct {
	Job
	tasks     []*task
	pending   int // tasks that wait
	left      int // tasks that are not done
	everRan   bool
	due       time.Time
	startBy   time.Time // latest start that meets the due time
	waiters   []uint64
	uselessAt time.Time // an answer after this is worth nothing
	handed    time.Time // until when a handed job waits to be asked for; zero for others
	late      bool      // cannot be in time any more
}

// uselessAfter is the multiple of a job's objective after which its answer is
// worth nothing: three by the users' rules, doubled as estimates err by as much.
const uselessAfter = 6

func newJobState(j Job) *jobState {
	s := &jobState{Job: j}
	for step, st := range j.Steps {
		for index := range st.Count {
			s.tasks = append(s.tasks, &task{step: step, index: index})
		}
	}
	s.pending = len(s.tasks)
	s.left = len(s.tasks)
	chain := j.chain()
	s.due = j.ArrivedAt.Add(j.Objective())
	if j.Deadline.Before(s.due) {
		s.due = j.Deadline
	}
	s.startBy = s.due.Add(-chain)
	s.uselessAt = j.ArrivedAt.Add(uselessAfter * j.Objective())
	return s
}

// chain returns the estimated length of the job's longest chain of steps.
func (j Job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, a := range s.After {
			if a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time within which the job's answer has its full worth.
func (j Job) Objective() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.chain())) + j.TargetLatency
}

// ready reports whether the steps before a task's step are done.
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

// work returns the processor time that the job's waiting tasks need, in
// core-milliseconds.
func (s *jobState) work() int64 {
	var sum int64
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			st := s.Steps[t.step]
			sum += st.Need.CPUMilli * st.Estimate.Milliseconds() / 1000
		}
	}
	return sum
}

// runsAt counts the runs of a step on a target.
func (s *jobState) runsAt(step int, target string) int {
	n := 0
	for _, t := range s.tasks {
		if t.step == step && t.run != nil && t.run.target == target {
			n++
		}
	}
	return n
}

// taskOf returns the task of a run, or nil if the job has none such. Tasks lie
// in the order of their steps.
func (s *jobState) taskOf(r Run) *task {
	if r.Step < 0 || r.Step >= len(s.Steps) || r.Index < 0 || r.Index >= s.Steps[r.Step].Count {
		return nil
	}
	place := r.Index
	for _, step := range s.Steps[:r.Step] {
		place += step.Count
	}
	return s.tasks[place]
}
