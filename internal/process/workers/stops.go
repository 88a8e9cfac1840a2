package workers

import (
	"cmp"
	"slices"
	"time"
)

const stopRetryInterval = 500 * time.Millisecond // between two requests to stop a task

// Stops holds the tasks that are to be stopped. A task stays until the platform confirms
// the stop or the task's lease ends; until then its slot counts as used.
type Stops struct {
	limit   int                     // largest number of pending stops
	pending map[uint64]*pendingStop // by Task.ID
}

type pendingStop struct {
	task          Task
	nextRequestAt time.Time // when to send the next stop request
}

// NewStops returns a Stops that holds at most limit tasks.
func NewStops(limit int) *Stops {
	return &Stops{limit: limit, pending: make(map[uint64]*pendingStop)}
}

// Add adds a task to be stopped. It returns false if Stops is full; the task then runs
// until it ends by itself or its lease ends. A task that is pending already or whose lease
// has ended is not added, and Add returns true.
func (s *Stops) Add(now time.Time, t Task) bool {
	if _, ok := s.pending[t.ID]; ok || !now.Before(t.LeaseEnd) {
		return true
	}
	if len(s.pending) >= s.limit {
		return false
	}
	s.pending[t.ID] = &pendingStop{task: t, nextRequestAt: now}
	return true
}

// Remove removes a task that the platform has stopped or cannot stop, or that has ended.
func (s *Stops) Remove(id uint64) { delete(s.pending, id) }

// Due returns the tasks for which a stop request is to be sent now, ordered by ID. A task
// is due again after stopRetryInterval. Due drops the tasks whose leases have ended.
func (s *Stops) Due(now time.Time) []Task {
	var due []Task
	for id, st := range s.pending {
		if !now.Before(st.task.LeaseEnd) {
			delete(s.pending, id)
			continue
		}
		if !now.Before(st.nextRequestAt) {
			st.nextRequestAt = now.Add(stopRetryInterval)
			due = append(due, st.task)
		}
	}
	slices.SortFunc(due, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// MayBeRunning reports whether a task is pending and its lease has not ended.
func (s *Stops) MayBeRunning(now time.Time, id uint64) bool {
	st, ok := s.pending[id]
	return ok && now.Before(st.task.LeaseEnd)
}
