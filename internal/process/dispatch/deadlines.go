package dispatch

import (
	"container/heap"
	"time"
)

// deadlines is a heap of the jobs in progress, the one that ends first on top.
type deadlines []*jobState

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*jobState)
	j.place = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}

func (d *deadlines) add(j *jobState) { heap.Push(d, j) }

func (d *deadlines) remove(j *jobState) { heap.Remove(d, j.place) }

// expired returns a job whose deadline has passed, or nil.
func (d deadlines) expired(now time.Time) *jobState {
	if len(d) == 0 || now.Before(d[0].deadline) {
		return nil
	}
	return d[0]
}
