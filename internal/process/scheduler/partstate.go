package scheduler

import (
	"slices"
	"strconv"
)

// A part of a job is a job with the same id whose tasks are a range of the whole job's. A
// pool may have several parts of one job, but no two jobs with the same id and a task in
// common: that task would run twice at once.

// key identifies a job among those of a pool. It is the id for a whole job and for a part
// that begins with the first task.
func (j Job) key() string {
	if j.FirstTask == 0 {
		return j.ID
	}
	return j.ID + "\x00" + strconv.Itoa(j.FirstTask)
}

// overlaps reports whether two jobs with the same id have a task in common.
func (j Job) overlaps(o Job) bool {
	return j.FirstTask < o.FirstTask+o.TaskCount() && o.FirstTask < j.FirstTask+j.TaskCount()
}

func (c *Core) addJob(s *jobState) {
	c.jobs[s.key()] = s
	if s.FirstTask > 0 {
		c.laterParts[s.ID] = append(c.laterParts[s.ID], s)
	}
}

func (c *Core) removeJob(s *jobState) {
	delete(c.jobs, s.key())
	if s.FirstTask == 0 {
		return
	}
	c.laterParts[s.ID] = slices.DeleteFunc(c.laterParts[s.ID], func(o *jobState) bool { return o == s })
	if len(c.laterParts[s.ID]) == 0 {
		delete(c.laterParts, s.ID)
	}
}

func (c *Core) forgetJobs() {
	c.jobs = map[string]*jobState{}
	c.laterParts = map[string][]*jobState{}
	c.waitingJobs = nil
}

// jobOf returns the job in progress that a run's task belongs to, or nil if there is none.
func (c *Core) jobOf(r Run) *jobState {
	if s, ok := c.jobs[r.Job]; ok && s.taskOf(r) != nil {
		return s
	}
	for _, s := range c.laterParts[r.Job] {
		if s.taskOf(r) != nil {
			return s
		}
	}
	return nil
}

// jobOfWaiter returns the job with the given id that a waiter waits for, or nil if there
// is none.
func (c *Core) jobOfWaiter(id string, waiter uint64) *jobState {
	if s, ok := c.jobs[id]; ok && slices.Contains(s.waiters, waiter) {
		return s
	}
	for _, s := range c.laterParts[id] {
		if slices.Contains(s.waiters, waiter) {
			return s
		}
	}
	return nil
}

// anyTaskInProgress reports whether a job in progress has a task in common with j.
func (c *Core) anyTaskInProgress(j Job) bool {
	if s, ok := c.jobs[j.ID]; ok && s.overlaps(j) {
		return true
	}
	return slices.ContainsFunc(c.laterParts[j.ID], func(s *jobState) bool { return s.overlaps(j) })
}

// countRunsOn returns the number of runs of a step on a target, over all parts of the job
// in this pool.
func (c *Core) countRunsOn(s *jobState, step int, targetID string) int {
	n := s.countRunsOn(step, targetID)
	if first := c.jobs[s.ID]; first != nil && first != s {
		n += first.countRunsOn(step, targetID)
	}
	for _, part := range c.laterParts[s.ID] {
		if part != s {
			n += part.countRunsOn(step, targetID)
		}
	}
	return n
}
