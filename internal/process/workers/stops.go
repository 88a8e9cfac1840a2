package workers

import (
	"cmp"
	"slices"
	"time"
)

const stopRetry = 500 * time.Millisecond // between two requests to stop a task

// Stops holds the tasks that are to be stopped. A task leaves the list when
// the platform confirms or its lease ends; until then its slot is taken.
type Stops struct {
	limit int
	tasks map[uint64]*stop
}

type stop struct {
	task Task
	next time.Time // when to ask again
}

// NewStops returns Stops for at most limit tasks.
func NewStops(limit int) *Stops {
	return &Stops{limit: limit, tasks: make(map[uint64]*stop)}
}

// Add asks for a task to be stopped. It returns false if the list is full; the
// task then ends with its lease.
func (s *Stops) Add(now time.Time, t Task) bool {
	if _, ok := s.tasks[t.ID]; ok || !now.Before(t.LeaseEnd) {
		return true
	}
	if len(s.tasks) >= s.limit {
		return false
	}
	s.tasks[t.ID] = &stop{task: t, next: now}
	return true
}

// Remove takes out a task that the platform has stopped, or that has ended.
func (s *Stops) Remove(id uint64) { delete(s.tasks, id) }

// Due returns the tasks that the platform is to be asked to stop now, by ID.
func (s *Stops) Due(now time.Time) []Task {
	var due []Task
	for id, st := range s.tasks {
		if !now.Before(st.task.LeaseEnd) {
			delete(s.tasks, id)
			continue
		}
		if !now.Before(st.next) {
			st.next = now.Add(stopRetry)
			due = append(due, st.task)
		}
	}
	slices.SortFunc(due, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// MayBeRunning reports whether a task may still run.
func (s *Stops) MayBeRunning(now time.Time, id uint64) bool {
	st, ok := s.tasks[id]
	return ok && now.Before(st.task.LeaseEnd)
}
