package queue

import "time"

// Job is what the queue knows of a job.
type Job struct {
	ID       uint64
	Team     string
	Deadline time.Time
}

// Task is one task of a job.
type Task struct {
	Index           int // in the job
	Accelerator     bool
	PayloadBytes    int64         // of its payload
	ExpectedRunTime time.Duration // expected run time
	Learned         bool          // whether Cost comes from tasks that ran
}

// TaskRef is a task that was popped.
type TaskRef struct {
	Job  Job
	Task Task
}

// lane tells tasks that need an accelerator from the others.
type lane int

const (
	plain lane = iota
	accelerator
	lanes
)

func (t Task) lane() lane {
	if t.Accelerator {
		return accelerator
	}
	return plain
}

// entry is the waiting part of a job.
type entry struct {
	job   Job
	seq   uint64 // order of arrival
	tasks [lanes][]Task
	place [lanes]int // in the team's heap of that lane; -1 if absent
}

// jobHeap holds the entries of one team and lane that have waiting tasks.
type jobHeap struct {
	lane  lane
	order Order
	items []*entry
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.order == ByDeadline && !a.job.Deadline.Equal(b.job.Deadline) {
		return a.job.Deadline.Before(b.job.Deadline)
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].place[h.lane] = i
	h.items[j].place[h.lane] = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	e := x.(*entry)
	e.place[h.lane] = len(h.items)
	h.items = append(h.items, e)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	e := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	e.place[h.lane] = -1
	return e
}
