package queue

import "time"

// Job identifies a job and holds what its place in the queue depends on.
type Job struct {
	ID       uint64
	Team     string
	Deadline time.Time
}

// Task is a task of a job that waits or runs.
type Task struct {
	Index           int // index in the job
	Accelerator     bool
	PayloadBytes    int64
	ExpectedRunTime time.Duration // learned run time, or a guess
	Learned         bool          // whether ExpectedRunTime comes from tasks that ran
}

// TaskRef is a task that Pop returned, with its job.
type TaskRef struct {
	Job  Job
	Task Task
}

// taskClass separates the tasks that need an accelerator from the others.
type taskClass int

const (
	plain taskClass = iota
	accelerator
	taskClasses
)

func (t Task) class() taskClass {
	if t.Accelerator {
		return accelerator
	}
	return plain
}

// queuedJob holds the waiting tasks of a job.
type queuedJob struct {
	job        Job
	arrivalSeq uint64 // order of arrival; 0 for a job that returned after its last waiting task was popped
	tasks      [taskClasses][]Task
	heapIndex  [taskClasses]int // index in the team's heap of the class; -1 if absent
}

// jobHeap holds the jobs of one team that have waiting tasks of one class. The job to
// be served next is on top.
type jobHeap struct {
	class taskClass
	order Order
	items []*queuedJob
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.order == ByDeadline && !a.job.Deadline.Equal(b.job.Deadline) {
		return a.job.Deadline.Before(b.job.Deadline)
	}
	return a.arrivalSeq < b.arrivalSeq
}

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.class] = i
	h.items[j].heapIndex[h.class] = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*queuedJob)
	j.heapIndex[h.class] = len(h.items)
	h.items = append(h.items, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	j := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	j.heapIndex[h.class] = -1
	return j
}
