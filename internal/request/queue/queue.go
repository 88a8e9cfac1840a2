package queue

import "time"

// Order is the order in which the jobs of a team are served.
type Order int

// The orders of jobs.
const (
	ByArrival Order = iota
	ByDeadline
)

// Config holds the limits of a Queue and its order.
type Config struct {
	MaxTasks int   // limit of waiting tasks
	MaxBytes int64 // limit of the payload bytes of the waiting tasks
	Order    Order // order of the jobs of one team
}

// Queue holds the waiting tasks and counts the running ones. It is not safe for
// concurrent use.
type Queue struct {
	config       Config
	policies     map[string]TeamPolicy
	teams        map[string]*team // teams with waiting or running tasks, or ahead of virtualTime
	jobs         map[uint64]*queuedJob
	virtualTime  float64 // start tag of the task popped last
	lastSeq      uint64
	waitingTasks int
	waitingBytes int64
}

// New returns an empty Queue.
func New(config Config) *Queue {
	return &Queue{
		config:   config,
		policies: make(map[string]TeamPolicy),
		teams:    make(map[string]*team),
		jobs:     make(map[uint64]*queuedJob),
	}
}

// SetLimits replaces MaxTasks and MaxBytes. Tasks that already wait stay.
func (q *Queue) SetLimits(tasks int, bytes int64) {
	q.config.MaxTasks, q.config.MaxBytes = tasks, bytes
}

// SetPolicies replaces the policies of all teams.
func (q *Queue) SetPolicies(policies map[string]TeamPolicy) {
	q.policies = policies
	for name, t := range q.teams {
		t.policy = policies[name]
	}
}

// WaitingTasks returns the number of waiting tasks.
func (q *Queue) WaitingTasks() int { return q.waitingTasks }

// WaitingBytes returns the payload bytes of the waiting tasks.
func (q *Queue) WaitingBytes() int64 { return q.waitingBytes }

// Startable returns the number of waiting tasks that the limits of their teams allow
// to start now: those that need no accelerator and those that need one.
func (q *Queue) Startable() (withoutAccelerator, withAccelerator int) {
	for _, t := range q.teams {
		p, a := t.startable()
		withoutAccelerator += p
		withAccelerator += a
	}
	return withoutAccelerator, withAccelerator
}

// Demand returns the number of waiting and running tasks by team.
func (q *Queue) Demand() map[string]int {
	demand := make(map[string]int, len(q.teams))
	for name, t := range q.teams {
		if !t.idle() {
			demand[name] = t.waitingTasks + t.runningTasks
		}
	}
	return demand
}

// team returns the team of a name and adds it if needed. A new or idle team starts at
// the current virtual time at the earliest, so that idle time gives it no advantage.
func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = newTeam(q.policies[name], q.config.Order, q.virtualTime)
		q.teams[name] = t
	}
	if t.idle() {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	return t
}

// Push adds tasks of a job, behind those of the job that already wait. The caller has
// called Admit for a new job.
func (q *Queue) Push(j Job, tasks []Task) {
	t := q.team(j.Team)
	q.lastSeq++
	queued := q.findOrAddJob(j, q.lastSeq)
	for _, task := range tasks {
		queued.tasks[task.class()] = append(queued.tasks[task.class()], task)
		q.countWaiting(t, task, 1)
	}
	t.addToHeaps(queued)
}

// findOrAddJob returns the waiting tasks of a job. A job that has none is added with
// the place seq in the order of arrival.
func (q *Queue) findOrAddJob(j Job, seq uint64) *queuedJob {
	queued, ok := q.jobs[j.ID]
	if !ok {
		queued = &queuedJob{job: j, arrivalSeq: seq, heapIndex: [taskClasses]int{-1, -1}}
		q.jobs[j.ID] = queued
	}
	return queued
}

// HasStartable reports whether Pop would return a task that needs an accelerator or,
// if needAccelerator is false, a task that needs none.
func (q *Queue) HasStartable(needAccelerator bool) bool {
	return q.nextTeam(classOf(needAccelerator)) != nil
}

func classOf(needAccelerator bool) taskClass { return Task{Accelerator: needAccelerator}.class() }

// nextTeam returns the team with the lowest virtual time among those that may start a
// task of a class, or nil. Among equals the first name is chosen.
func (q *Queue) nextTeam(class taskClass) *team {
	var best *team
	var bestName string
	for name, t := range q.teams {
		if t.heaps[class].Len() == 0 || t.atLimit() {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || t.virtualTime == best.virtualTime && name < bestName {
			best, bestName = t, name
		}
	}
	return best
}

// Pop removes the task to be served next and counts it as running. Its team is charged
// with the expected run time. Pop returns false if no task may start.
func (q *Queue) Pop(needAccelerator bool) (TaskRef, bool) {
	class := classOf(needAccelerator)
	t := q.nextTeam(class)
	if t == nil {
		return TaskRef{}, false
	}
	j := t.heaps[class].items[0]
	task := j.tasks[class][0]
	j.tasks[class] = j.tasks[class][1:]
	if len(j.tasks[class]) == 0 {
		t.removeFromHeap(j, class)
	}
	q.countWaiting(t, task, -1)
	q.dropIfEmpty(j)
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.charge(task.ExpectedRunTime)
	t.countRunning(task, 1)
	return TaskRef{Job: j.job, Task: task}, true
}

// dropIfEmpty removes a job without waiting tasks.
func (q *Queue) dropIfEmpty(j *queuedJob) {
	if len(j.tasks[plain])+len(j.tasks[accelerator]) == 0 {
		delete(q.jobs, j.job.ID)
	}
}

// Requeue returns a popped task that did not start to the front of its job and takes
// back the charge. A job without other waiting tasks counts as the first to arrive.
func (q *Queue) Requeue(ref TaskRef) {
	t := q.team(ref.Job.Team)
	t.countRunning(ref.Task, -1)
	t.charge(-ref.Task.ExpectedRunTime)
	j := q.findOrAddJob(ref.Job, 0)
	class := ref.Task.class()
	j.tasks[class] = append([]Task{ref.Task}, j.tasks[class]...)
	q.countWaiting(t, ref.Task, 1)
	t.addToHeaps(j)
}

// Finish ends a popped task and replaces the charged run time by the actual one.
func (q *Queue) Finish(ref TaskRef, ran time.Duration) {
	t := q.team(ref.Job.Team)
	t.countRunning(ref.Task, -1)
	t.charge(ran - ref.Task.ExpectedRunTime)
}

// RemoveJob removes the waiting tasks of a job and returns their number.
func (q *Queue) RemoveJob(id uint64) int {
	j, ok := q.jobs[id]
	if !ok {
		return 0
	}
	t := q.teams[j.job.Team]
	removed := 0
	for class := range taskClasses {
		t.removeFromHeap(j, class)
		for _, task := range j.tasks[class] {
			q.countWaiting(t, task, -1)
			removed++
		}
	}
	delete(q.jobs, id)
	return removed
}

// DropIdleTeams removes teams without tasks whose virtual time the queue has reached,
// or all teams without tasks if no task waits.
func (q *Queue) DropIdleTeams() {
	for name, t := range q.teams {
		if t.idle() && (t.virtualTime <= q.virtualTime || q.waitingTasks == 0) {
			delete(q.teams, name)
		}
	}
}

func (q *Queue) countWaiting(t *team, task Task, sign int) {
	t.countWaiting(task, sign)
	q.waitingTasks += sign
	q.waitingBytes += int64(sign) * task.PayloadBytes
}
