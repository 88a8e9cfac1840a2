package scheduler

import (
	"maps"
	"slices"
	"time"
)

// HandoverTask is what a new holder of a pool must know of a task.
type HandoverTask struct {
	Step, Index   int
	LastRunNumber int // the number of the last run
	Failures      int
	Done          bool
	Target        string // where the last run is in progress; empty if the task waits
	Stopping      bool   // the run is being stopped
}

// HandoverJob is a job in progress that another host goes on with.
type HandoverJob struct {
	Job        Job
	HasStarted bool // a task has been started
	Tasks      []HandoverTask
}

// handedLife is how long a job that was handed over waits for its caller's host
// to ask for it here, and its answer is kept.
const handedLife = 2 * time.Second

// ExportJobs returns the jobs in progress for another holder, in the order of their
// ids.
func (c *Core) ExportJobs() []HandoverJob {
	var out []HandoverJob
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		h := HandoverJob{Job: s.Job, HasStarted: s.everRan}
		for _, t := range s.tasks {
			task := HandoverTask{Step: t.step, Index: t.index, LastRunNumber: t.started, Failures: t.failures, Done: t.done}
			if t.run != nil {
				task.Target = t.run.target
				task.Stopping = t.run.state == stopping
			}
			h.Tasks = append(h.Tasks, task)
		}
		out = append(out, h)
	}
	return out
}

// ImportJobs takes over jobs in progress. Their callers' hosts submit them again,
// which joins them to what runs.
func (c *Core) ImportJobs(jobs []HandoverJob, now time.Time) []Effect {
	for _, h := range jobs {
		if _, known := c.jobs[h.Job.ID]; known {
			continue
		}
		s := newJobState(h.Job)
		s.everRan = h.HasStarted
		s.handed = now.Add(handedLife)
		s.pending, s.left = 0, 0
		c.jobs[s.ID] = s
		for _, t := range h.Tasks {
			c.importTask(s, t, now)
		}
		if s.pending > 0 {
			c.enqueue(s)
		}
	}
	c.place(now)
	return c.take()
}

func (c *Core) importTask(s *jobState, h HandoverTask, now time.Time) {
	t := s.taskOf(Run{Step: h.Step, Index: h.Index})
	if t == nil {
		return
	}
	t.started, t.failures, t.done = h.LastRunNumber, h.Failures, h.Done
	if t.done {
		return
	}
	s.left++
	to, known := c.targets[h.Target]
	if h.Target == "" || !known {
		s.pending++
		return
	}
	step := s.Steps[t.step]
	r := &run{
		id:   Run{Job: s.ID, Step: t.step, Index: t.index, Number: t.started},
		need: step.Need, target: h.Target, ordered: now, state: running, estimate: step.Estimate,
	}
	t.run = r
	to.add(r)
	if h.Stopping {
		c.stop(r, "the former holder was stopping it")
	}
}

// expireHanded drops handed jobs that nobody asked for, and old answers.
func (c *Core) expireHanded(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		if !s.handed.IsZero() && len(s.waiters) == 0 && now.After(s.handed) {
			c.drop(s, "no host asked for the job after the hand-over")
		}
	}
	for id, a := range c.answers {
		if now.After(a.until) {
			delete(c.answers, id)
		}
	}
}

// keptAnswer is the answer to a handed job that ended before it was asked for.
type keptAnswer struct {
	answer Answer
	until  time.Time
}
