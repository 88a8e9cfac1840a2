package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Config configures a Core.
type Config struct {
	LearnedRunTimeWeight float64 // of a queue's usual run time beside the declared one, 0 to 1
	UsableFraction       float64 // share of the targets' cores that tasks can fill; the rest is too small for a task
}

// DefaultConfig returns the values for tasks whose estimates are off by up to
// two fifths and whose run times spread as much again.
func DefaultConfig() Config {
	return Config{LearnedRunTimeWeight: 0.5, UsableFraction: 0.65}
}

// PoolCapacity is what another pool could take at once.
type PoolCapacity struct {
	Pool       string
	FreeTasks  int  // of usual size
	SameDomain bool // the pool is in the same domain
}

// Core schedules the jobs of one pool.
type Core struct {
	config  Config
	jobs    map[string]*jobState
	queue   []*jobState // with waiting tasks, in the order of compare
	targets map[string]*target
	order   []string // target ids, sorted
	effects []Effect
	room    []PoolCapacity        // of other pools
	need    usual                 // of a task
	answers map[string]keptAnswer // to handed jobs
	times   runTimes
	shares  shares
}

// NewCore returns a Core without targets.
func NewCore(config Config) *Core {
	return &Core{config: config, jobs: map[string]*jobState{}, targets: map[string]*target{}, answers: map[string]keptAnswer{}, times: newRunTimes(), shares: newShares(), need: usual{cpuMilli: usualAtFirst}}
}

// take returns the effects since the last call.
func (c *Core) take() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Submit takes in a job. The waiter is named in the Reply that answers it.
func (c *Core) Submit(j Job, waiter uint64, now time.Time) []Effect {
	if s, ok := c.jobs[j.ID]; ok {
		s.waiters = append(s.waiters, waiter)
		c.emit(LogEntry{Message: "A job that is in progress was submitted again.", Job: j.ID})
		return c.take()
	}
	if kept, ok := c.answers[j.ID]; ok {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: kept.answer})
		return c.take()
	}
	s := newJobState(c.refine(j))
	s.waiters = []uint64{waiter}
	if answer, ok := c.admit(s, now); !ok {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: answer})
		return c.take()
	}
	for _, st := range j.Steps {
		c.need.see(st.Need, st.Count)
	}
	c.jobs[j.ID] = s
	c.enqueue(s)
	c.place(now)
	return c.take()
}

// Withdraw drops a waiter. A job without waiters is stopped.
func (c *Core) Withdraw(id string, waiter uint64, now time.Time) []Effect {
	s, ok := c.jobs[id]
	if !ok {
		return nil
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w uint64) bool { return w == waiter })
	if len(s.waiters) == 0 {
		c.drop(s, "the caller left")
		c.place(now)
	}
	return c.take()
}

// UpdateTarget takes in what a target says of itself. It gets no work until Clear if
// runs of a former holder may be there.
func (c *Core) UpdateTarget(t Target, clearing bool, now time.Time) []Effect {
	known, ok := c.targets[t.ID]
	switch {
	case ok && known.Incarnation > t.Incarnation:
		return nil
	case !ok:
		c.targets[t.ID] = newTarget(t)
		c.order = append(c.order, t.ID)
		slices.Sort(c.order)
	case known.Incarnation < t.Incarnation || known.Address != t.Address:
		c.reborn(known, t)
	default:
		known.Target = t
	}
	if clearing {
		c.targets[t.ID].clearing = true
	}
	c.place(now)
	return c.take()
}

// reborn takes in that a target started anew under its id. What ran there is gone,
// but an order on its way may have reached the new incarnation: each run is stopped
// there before its task waits again.
func (c *Core) reborn(known *target, t Target) {
	c.emit(LogEntry{Message: "A target started anew.", Target: t.ID, Reason: fmt.Sprintf("%d runs are stopped there", len(known.runs))})
	anew := newTarget(t)
	c.targets[t.ID] = anew
	for _, r := range known.sortedRuns() {
		anew.add(r)
		r.state = starting // its former stop went to the former incarnation
		c.stop(r, "the target started anew")
	}
}

// RemoveTarget forgets a target that left.
func (c *Core) RemoveTarget(id string, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok {
		c.lose(t, "the target left", now)
		c.place(now)
	}
	return c.take()
}

// lose drops a target; what ran there waits again.
func (c *Core) lose(t *target, reason string, now time.Time) {
	c.releaseAll(t)
	delete(c.targets, t.ID)
	c.order = slices.DeleteFunc(c.order, func(id string) bool { return id == t.ID })
	c.emit(LogEntry{Message: "A target is no longer used.", Target: t.ID, Reason: reason})
}

// SetClearing says whether runs of a former holder may still be on a target, which
// gets no work until they are gone.
func (c *Core) SetClearing(id string, clearing bool, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.clearing != clearing {
		t.clearing = clearing
		if !clearing {
			c.place(now)
		}
	}
	return c.take()
}

// MarkUnresponsive says that a target does not answer: it gets no work for a while, or until
// it answers.
func (c *Core) MarkUnresponsive(id string, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.usable(now) {
		t.silent(now)
		c.emit(LogEntry{Message: "A target is left alone.", Target: id, Reason: "it does not answer"})
	}
	return c.take()
}

// MarkResponsive says that a target has answered.
func (c *Core) MarkResponsive(id string, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.silences > 0 {
		c.emit(LogEntry{Message: "A target answers again.", Target: id})
		t.heard()
		c.place(now)
	}
	return c.take()
}

// ExpireLeases says that every lease of a target's runs has ended.
func (c *Core) ExpireLeases(id string, now time.Time) []Effect {
	t, ok := c.targets[id]
	if !ok || len(t.runs) == 0 {
		return nil
	}
	c.releaseAll(t)
	c.emit(LogEntry{Message: "The leases of a target ended.", Target: id})
	c.place(now)
	return c.take()
}

// HandleStartResult takes in a target's answer to a start.
func (c *Core) HandleStartResult(id string, r Run, result StartResult, now time.Time) []Effect {
	t, ru := c.find(id, r)
	if ru == nil {
		return nil
	}
	switch result {
	case Started:
		if ru.state == starting {
			ru.state = running
		}
	case Unanswered:
		t.silent(now)
		c.stop(ru, "the start was not answered")
	case NoRoom:
		t.pause(now.Add(roomPause))
		c.notStarted(t, ru, now)
	case Unhealthy:
		t.eject(now)
		c.notStarted(t, ru, now)
	case NotAccepted:
		c.notStarted(t, ru, now)
		c.fail(r, now)
	default:
		c.notStarted(t, ru, now)
	}
	c.place(now)
	return c.take()
}

// notStarted takes a run back that was refused.
func (c *Core) notStarted(t *target, r *run, now time.Time) {
	c.emit(LogEntry{Message: "A start was refused.", Job: r.id.Job, Target: t.ID, Age: now.Sub(r.ordered)})
	c.release(r)
}

// HandleRunStopped says that a target confirmed the stop of a run: it is gone, and will
// not start there later.
func (c *Core) HandleRunStopped(id string, r Run, now time.Time) []Effect {
	if t, ru := c.find(id, r); ru != nil {
		t.heard()
		c.release(ru)
		c.place(now)
	}
	return c.take()
}

// HandleRunEnded takes in the end of a run.
func (c *Core) HandleRunEnded(id string, r Run, end End, now time.Time) []Effect {
	t, ru := c.find(id, r)
	if ru == nil {
		return nil
	}
	stopped := ru.state == stopping
	c.release(ru)
	switch {
	case end == EndDone:
		c.learn(t, ru, now)
		c.done(r)
	case end == EndFailed && !stopped:
		if t.fail(now) {
			c.emit(LogEntry{Message: "A target is left alone.", Target: id, Reason: "its tasks fail"})
		}
		c.fail(r, now)
	}
	c.place(now)
	return c.take()
}

// AbandonJobs ends all jobs, since another host holds the pool: those of which
// nothing has run may go there, the end of the others is unknown.
func (c *Core) AbandonJobs() []Effect {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[id]
		answer := Answer{Outcome: Moved, Kind: failure.NotReady, Reason: "another host holds the pool"}
		if s.everRan {
			answer = Answer{Outcome: Broken, Kind: failure.OutcomeUnknown, Reason: "another host took the pool over"}
		}
		for _, w := range s.waiters {
			c.emit(Reply{Waiter: w, Job: id, Answer: answer})
		}
	}
	c.jobs = map[string]*jobState{}
	c.queue = nil
	return c.take()
}

// CompleteHandover ends all jobs here, since another host goes on with them.
func (c *Core) CompleteHandover(holder string) []Effect {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		for _, w := range c.jobs[id].waiters {
			c.emit(Reply{Waiter: w, Job: id, Answer: Answer{Outcome: Moved, HandedOver: true, Holder: holder, Reason: "the pool was handed over"}})
		}
	}
	c.jobs = map[string]*jobState{}
	c.queue = nil
	return c.take()
}

// RecordProgress takes in that a target lists a run as running. It reports whether
// the run is one that the core ordered there.
func (c *Core) RecordProgress(id string, r Run, percent int, now time.Time) bool {
	_, ru := c.find(id, r)
	if ru == nil {
		return false
	}
	ru.progress(percent, now)
	return true
}

// missingAfter is how long after its order a run must be listed: a list may
// have waited 300 ms before the order came.
const missingAfter = 700 * time.Millisecond

// StopUnlisted stops the runs on a target that should be listed and are not: their
// order was lost, or may come late.
func (c *Core) StopUnlisted(id string, listed map[Run]bool, now time.Time) []Effect {
	t, ok := c.targets[id]
	if !ok {
		return nil
	}
	for _, r := range t.sortedRuns() {
		if r.state == running && !listed[r.id] && now.Sub(r.ordered) > missingAfter {
			c.emit(LogEntry{Message: "A run is not listed.", Job: r.id.Job, Target: id, Age: now.Sub(r.ordered)})
			c.stop(r, "the target does not list it")
		}
	}
	return c.take()
}

// RunCount counts the runs on a target.
func (c *Core) RunCount(id string) int {
	t, ok := c.targets[id]
	if !ok {
		return 0
	}
	return len(t.runs)
}

// learn takes in how long a run took.
func (c *Core) learn(t *target, r *run, now time.Time) {
	took := now.Sub(r.ordered)
	t.succeed(took, r.estimate)
	if s, ok := c.jobs[r.id.Job]; ok {
		c.times.see(s.Queue, took, t.pace)
	}
}

func (c *Core) find(id string, r Run) (*target, *run) {
	t, ok := c.targets[id]
	if !ok {
		return nil, nil
	}
	return t, t.runs[r]
}

// releaseAll takes in that nothing runs on a target any more.
func (c *Core) releaseAll(t *target) {
	for _, r := range t.sortedRuns() {
		c.release(r)
	}
}

// release frees a run's room; its task waits again.
func (c *Core) release(r *run) {
	if t, ok := c.targets[r.target]; ok {
		t.remove(r)
	}
	s, ok := c.jobs[r.id.Job]
	if !ok {
		return
	}
	t := s.taskOf(r.id)
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.avoid = r.target
	s.pending++
	if s.pending == 1 {
		c.enqueue(s)
	}
}

// done marks a task as done, and answers its job with the last one.
func (c *Core) done(r Run) {
	s, ok := c.jobs[r.Job]
	if !ok {
		return
	}
	t := s.taskOf(r)
	if t == nil || t.done {
		return
	}
	t.done = true
	s.pending--
	s.left--
	if s.left == 0 {
		c.answer(s, Answer{Outcome: Completed})
	}
}

// fail counts a failed run, and ends the job with too many.
func (c *Core) fail(r Run, _ time.Time) {
	s, ok := c.jobs[r.Job]
	if !ok {
		return
	}
	t := s.taskOf(r)
	if t == nil {
		return
	}
	t.failures++
	c.emit(LogEntry{
		Message: "A task failed.", Job: r.Job, Target: t.avoid,
		Reason: fmt.Sprintf("task %s, run %d, %d of %d attempts used", r.TaskID(), r.Number, t.failures, s.MaxAttempts),
	})
	if t.failures >= s.MaxAttempts {
		c.answer(s, Answer{Outcome: Failed, Kind: failure.TaskFailed, Reason: "a task failed as often as its queue allows"})
	}
}

// answer ends a job and stops what is left of it.
func (c *Core) answer(s *jobState, a Answer) {
	for _, w := range s.waiters {
		c.emit(Reply{Waiter: w, Job: s.ID, Answer: a})
	}
	if !s.handed.IsZero() && len(s.waiters) == 0 {
		c.answers[s.ID] = keptAnswer{a, s.handed}
	}
	s.waiters = nil
	c.drop(s, "the job was answered")
}

// drop forgets a job and stops its runs.
func (c *Core) drop(s *jobState, reason string) {
	delete(c.jobs, s.ID)
	c.queue = slices.DeleteFunc(c.queue, func(q *jobState) bool { return q == s })
	for _, t := range s.tasks {
		if t.run != nil {
			c.stop(t.run, reason)
		}
	}
}

func (c *Core) stop(r *run, reason string) {
	if r.state == stopping {
		return
	}
	r.state = stopping
	c.emit(Stop{Target: r.target, Run: r.id, Reason: reason})
}

// enqueue puts a job with waiting tasks in its place.
func (c *Core) enqueue(s *jobState) {
	i, _ := slices.BinarySearchFunc(c.queue, s, c.compare)
	c.queue = slices.Insert(c.queue, i, s)
}

// refine puts what is known of the queue's run times into a job's estimates.
func (c *Core) refine(j Job) Job {
	j.Steps = slices.Clone(j.Steps)
	for i := range j.Steps {
		j.Steps[i].Estimate = c.times.estimate(j.Queue, j.Steps[i].Estimate, c.config.LearnedRunTimeWeight)
	}
	return j
}

// compare orders waiting jobs: late ones last, then by priority, then by latest
// start.
func (c *Core) compare(a, b *jobState) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if d := cmp.Compare(a.Priority, b.Priority); d != 0 {
		return d
	}
	if d := a.startBy.Compare(b.startBy); d != 0 {
		return d
	}
	return a.ArrivedAt.Compare(b.ArrivedAt)
}
