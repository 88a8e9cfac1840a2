package queue

import "time"

// Order is the order of a team's jobs.
type Order int

// The orders.
const (
	ByArrival Order = iota
	ByDeadline
)

// Config bounds a Queue.
type Config struct {
	MaxTasks int   // waiting tasks at most
	MaxBytes int64 // their payload bytes at most
	Order    Order // of the jobs of one team
}

// Queue holds waiting tasks. It is not safe for concurrent use.
type Queue struct {
	config   Config
	policies map[string]TeamPolicy
	teams    map[string]*team // with tasks that wait or run, or ahead of virtual
	entries  map[uint64]*entry
	virtual  float64 // start tag of the task popped last
	seq      uint64
	tasks    int
	bytes    int64
}

// New returns an empty Queue.
func New(config Config) *Queue {
	return &Queue{
		config:   config,
		policies: make(map[string]TeamPolicy),
		teams:    make(map[string]*team),
		entries:  make(map[uint64]*entry),
	}
}

// SetLimits changes the bounds. Tasks that wait already stay.
func (q *Queue) SetLimits(tasks int, bytes int64) {
	q.config.MaxTasks, q.config.MaxBytes = tasks, bytes
}

// SetPolicies replaces what the teams are granted.
func (q *Queue) SetPolicies(policies map[string]TeamPolicy) {
	q.policies = policies
	for name, t := range q.teams {
		t.policy = policies[name]
	}
}

// WaitingTasks returns the number of waiting tasks.
func (q *Queue) WaitingTasks() int { return q.tasks }

// WaitingBytes returns the payload bytes of the waiting tasks.
func (q *Queue) WaitingBytes() int64 { return q.bytes }

// Startable returns the waiting tasks, without and with an accelerator, that a
// team's limit would let start now.
func (q *Queue) Startable() (withoutAccelerator, withAccelerator int) {
	for _, t := range q.teams {
		p, a := t.startable()
		withoutAccelerator += p
		withAccelerator += a
	}
	return withoutAccelerator, withAccelerator
}

// Demand returns the tasks that wait or run, by team.
func (q *Queue) Demand() map[string]int {
	demand := make(map[string]int, len(q.teams))
	for name, t := range q.teams {
		if !t.idle() {
			demand[name] = t.waiting + t.running
		}
	}
	return demand
}

// team returns the team of a name. One that comes back starts at the present
// virtual time: idle time earns no credit.
func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = newTeam(q.policies[name], q.config.Order, q.virtual)
		q.teams[name] = t
	}
	if t.idle() {
		t.virtual = max(t.virtual, q.virtual)
	}
	return t
}

// Push adds a job's tasks. The caller has asked Admit. Tasks of a job that
// waits already join it.
func (q *Queue) Push(j Job, tasks []Task) {
	t := q.team(j.Team)
	q.seq++
	e := q.entry(j, q.seq)
	for _, task := range tasks {
		e.tasks[task.lane()] = append(e.tasks[task.lane()], task)
		q.count(t, task, 1)
	}
	t.enter(e)
}

// entry returns the waiting part of a job; a new one is put in place seq.
func (q *Queue) entry(j Job, seq uint64) *entry {
	e, ok := q.entries[j.ID]
	if !ok {
		e = &entry{job: j, seq: seq, place: [lanes]int{-1, -1}}
		q.entries[j.ID] = e
	}
	return e
}

// HasStartable reports whether a task waits that could start now: for an
// accelerator if needAccelerator, else without one.
func (q *Queue) HasStartable(needAccelerator bool) bool {
	return q.next(laneOf(needAccelerator)) != nil
}

func laneOf(needAccelerator bool) lane { return Task{Accelerator: needAccelerator}.lane() }

// next returns the team whose turn it is, nil if none may start a task.
func (q *Queue) next(l lane) *team {
	var best *team
	var bestName string
	for name, t := range q.teams {
		if t.heaps[l].Len() == 0 || t.atLimit() {
			continue
		}
		if best == nil || t.virtual < best.virtual || t.virtual == best.virtual && name < bestName {
			best, bestName = t, name
		}
	}
	return best
}

// Pop takes out the task whose turn it is and counts it as running.
func (q *Queue) Pop(needAccelerator bool) (TaskRef, bool) {
	l := laneOf(needAccelerator)
	t := q.next(l)
	if t == nil {
		return TaskRef{}, false
	}
	e := t.heaps[l].items[0]
	task := e.tasks[l][0]
	e.tasks[l] = e.tasks[l][1:]
	if len(e.tasks[l]) == 0 {
		t.leave(e, l)
	}
	q.count(t, task, -1)
	q.forget(e)
	q.virtual = max(q.virtual, t.virtual)
	t.charge(task.ExpectedRunTime)
	t.run(task, 1)
	return TaskRef{Job: e.job, Task: task}, true
}

// forget drops an entry without waiting tasks.
func (q *Queue) forget(e *entry) {
	if len(e.tasks[plain])+len(e.tasks[accelerator]) == 0 {
		delete(q.entries, e.job.ID)
	}
}

// Requeue puts a popped task back in front: it did not start.
func (q *Queue) Requeue(r TaskRef) {
	t := q.team(r.Job.Team)
	t.run(r.Task, -1)
	t.charge(-r.Task.ExpectedRunTime)
	e := q.entry(r.Job, 0)
	l := r.Task.lane()
	e.tasks[l] = append([]Task{r.Task}, e.tasks[l]...)
	q.count(t, r.Task, 1)
	t.enter(e)
}

// Finish ends a popped task, which ran for a time.
func (q *Queue) Finish(r TaskRef, ran time.Duration) {
	t := q.team(r.Job.Team)
	t.run(r.Task, -1)
	t.charge(ran - r.Task.ExpectedRunTime)
}

// RemoveJob takes out the waiting tasks of a job and returns their number.
func (q *Queue) RemoveJob(id uint64) int {
	e, ok := q.entries[id]
	if !ok {
		return 0
	}
	t := q.teams[e.job.Team]
	removed := 0
	for l := range lanes {
		t.leave(e, l)
		for _, task := range e.tasks[l] {
			q.count(t, task, -1)
			removed++
		}
	}
	delete(q.entries, id)
	return removed
}

// DropIdleTeams forgets teams without tasks whose use has been evened out.
func (q *Queue) DropIdleTeams() {
	for name, t := range q.teams {
		if t.idle() && (t.virtual <= q.virtual || q.tasks == 0) {
			delete(q.teams, name)
		}
	}
}

func (q *Queue) count(t *team, task Task, sign int) {
	t.count(task, sign)
	q.tasks += sign
	q.bytes += int64(sign) * task.PayloadBytes
}
