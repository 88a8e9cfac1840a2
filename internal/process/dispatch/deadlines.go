package dispatch

import (
	"container/heap"
	"time"
)

// deadlineHeap is a heap of the jobs in progress with the earliest deadline on top.
type deadlineHeap []*jobState

// Len implements heap.Interface.
func (d deadlineHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlineHeap) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

// Swap implements heap.Interface.
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	j := x.(*jobState)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}

func (d *deadlineHeap) add(j *jobState) { heap.Push(d, j) }

func (d *deadlineHeap) remove(j *jobState) { heap.Remove(d, j.heapIndex) }

// expired returns the job with the earliest deadline if that has passed, else nil.
// The job stays in the heap.
func (d deadlineHeap) expired(now time.Time) *jobState {
	if len(d) == 0 || now.Before(d[0].deadline) {
		return nil
	}
	return d[0]
}
