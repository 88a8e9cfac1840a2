package queue

import (
	"container/heap"
	"time"
)

// TeamPolicy is what the bundle grants a team.
type TeamPolicy struct {
	Weight     float64 // share of the slots in relation to the other teams; 0 counts as 1
	MaxRunning int     // tasks that may run at once from this host; 0 for no limit
	MaxWaiting int     // tasks that may wait at this host; 0 for the queue's own bounds
}

// team is a team with tasks that wait or run.
type team struct {
	policy      TeamPolicy
	virtual     float64 // start tag of the next task, in weighted seconds
	heaps       [lanes]jobHeap
	waiting     int
	accelerated int // of the waiting tasks, those that need an accelerator
	bytes       int64
	work        time.Duration // learned run times of the waiting tasks
	running     int
	runningWork time.Duration // learned run times of the running tasks
}

func newTeam(policy TeamPolicy, order Order, virtual float64) *team {
	t := &team{policy: policy, virtual: virtual}
	for l := range t.heaps {
		t.heaps[l] = jobHeap{lane: lane(l), order: order}
	}
	return t
}

func (t *team) weight() float64 {
	if t.policy.Weight <= 0 {
		return 1
	}
	return t.policy.Weight
}

// charge moves the virtual time by a run time.
func (t *team) charge(d time.Duration) { t.virtual += d.Seconds() / t.weight() }

// atLimit reports whether the team's limit keeps its tasks waiting.
func (t *team) atLimit() bool { return t.policy.MaxRunning > 0 && t.running >= t.policy.MaxRunning }

func (t *team) idle() bool { return t.waiting == 0 && t.running == 0 }

// startable returns the waiting tasks of both lanes that the limit lets start.
func (t *team) startable() (plain, accelerated int) {
	plain, accelerated = t.waiting-t.accelerated, t.accelerated
	if t.policy.MaxRunning > 0 {
		room := max(0, t.policy.MaxRunning-t.running)
		accelerated = min(accelerated, room)
		plain = min(plain, room-accelerated)
	}
	return plain, accelerated
}

// run takes a running task into the counts (sign 1) or out of them (-1).
func (t *team) run(task Task, sign int) {
	t.running += sign
	if task.Learned {
		t.runningWork += time.Duration(sign) * task.ExpectedRunTime
	}
}

// count takes a waiting task into the counts (sign 1) or out of them (-1).
func (t *team) count(task Task, sign int) {
	t.waiting += sign
	if task.Accelerator {
		t.accelerated += sign
	}
	t.bytes += int64(sign) * task.PayloadBytes
	if task.Learned {
		t.work += time.Duration(sign) * task.ExpectedRunTime
	}
}

// enter puts e into the heaps of the lanes in which it has tasks.
func (t *team) enter(e *entry) {
	for l := range lanes {
		if len(e.tasks[l]) > 0 && e.place[l] < 0 {
			heap.Push(&t.heaps[l], e)
		}
	}
}

// leave takes e out of the heap of lane l.
func (t *team) leave(e *entry, l lane) {
	if e.place[l] >= 0 {
		heap.Remove(&t.heaps[l], e.place[l])
	}
}
