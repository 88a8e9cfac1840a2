package queue

import (
	"container/heap"
	"time"
)

// TeamPolicy holds the weight and the limits of a team at this host.
type TeamPolicy struct {
	Weight     float64 // share of the slots relative to the other teams; 0 counts as 1
	MaxRunning int     // limit of running tasks of this host; 0 for no limit
	MaxWaiting int     // limit of waiting tasks at this host; 0 for the limits of the queue alone
}

// team holds the waiting tasks, the counts and the virtual time of a team.
type team struct {
	policy             TeamPolicy
	virtualTime        float64 // start tag of the next task, in weighted seconds
	heaps              [taskClasses]jobHeap
	waitingTasks       int
	waitingAccelerated int // those of waitingTasks that need an accelerator
	waitingBytes       int64
	waitingWork        time.Duration // sum of the learned run times of the waiting tasks
	runningTasks       int
	runningWork        time.Duration // sum of the learned run times of the running tasks
}

func newTeam(policy TeamPolicy, order Order, virtualTime float64) *team {
	t := &team{policy: policy, virtualTime: virtualTime}
	for class := range t.heaps {
		t.heaps[class] = jobHeap{class: taskClass(class), order: order}
	}
	return t
}

func (t *team) weight() float64 {
	if t.policy.Weight <= 0 {
		return 1
	}
	return t.policy.Weight
}

// charge adds a run time, divided by the weight, to the virtual time. A negative run
// time corrects an earlier charge.
func (t *team) charge(d time.Duration) { t.virtualTime += d.Seconds() / t.weight() }

// atLimit reports whether the team runs as many tasks as MaxRunning allows.
func (t *team) atLimit() bool {
	return t.policy.MaxRunning > 0 && t.runningTasks >= t.policy.MaxRunning
}

func (t *team) idle() bool { return t.waitingTasks == 0 && t.runningTasks == 0 }

// startable returns the number of waiting tasks of each class that MaxRunning allows
// to start. Tasks that need an accelerator are counted first.
func (t *team) startable() (plain, accelerated int) {
	plain, accelerated = t.waitingTasks-t.waitingAccelerated, t.waitingAccelerated
	if t.policy.MaxRunning > 0 {
		free := max(0, t.policy.MaxRunning-t.runningTasks)
		accelerated = min(accelerated, free)
		plain = min(plain, free-accelerated)
	}
	return plain, accelerated
}

// countRunning adds a running task to the counts (sign 1) or removes it (sign -1).
func (t *team) countRunning(task Task, sign int) {
	t.runningTasks += sign
	if task.Learned {
		t.runningWork += time.Duration(sign) * task.ExpectedRunTime
	}
}

// countWaiting adds a waiting task to the counts (sign 1) or removes it (sign -1).
func (t *team) countWaiting(task Task, sign int) {
	t.waitingTasks += sign
	if task.Accelerator {
		t.waitingAccelerated += sign
	}
	t.waitingBytes += int64(sign) * task.PayloadBytes
	if task.Learned {
		t.waitingWork += time.Duration(sign) * task.ExpectedRunTime
	}
}

// addToHeaps adds a job to the heaps of the classes of its waiting tasks.
func (t *team) addToHeaps(j *queuedJob) {
	for class := range taskClasses {
		if len(j.tasks[class]) > 0 && j.heapIndex[class] < 0 {
			heap.Push(&t.heaps[class], j)
		}
	}
}

// removeFromHeap removes a job from the heap of a class if it is in it.
func (t *team) removeFromHeap(j *queuedJob, class taskClass) {
	if j.heapIndex[class] >= 0 {
		heap.Remove(&t.heaps[class], j.heapIndex[class])
	}
}
