package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// PoolCapacity is the free capacity of another pool.
type PoolCapacity struct {
	Pool       string
	FreeTasks  int  // tasks of typical size that could start at once
	SameDomain bool // the pool's domain is that of this pool
}

// Core schedules the jobs of one pool. It is not safe for concurrent use.
type Core struct {
	config          Config
	jobs            map[string]*jobState   // by key
	laterParts      map[string][]*jobState // by job id: the jobs with a FirstTask above 0
	waitingJobs     []*jobState            // jobs with waiting tasks, ordered by compareJobs
	targets         map[string]*target
	targetIDs       []string // keys of targets, sorted
	effects         []Effect
	poolCapacities  []PoolCapacity            // of other pools, as reported last
	typicalNeed     taskNeed                  // moving average over submitted tasks
	retainedAnswers map[string]retainedAnswer // by key, of imported jobs
	runTimes        runTimeEstimator
	shares          fairShares
	losses          *losses.Table        // of targets, under tasks of any pool
	detachedRuns    map[*run]time.Time   // end of the lease by run
	formerRuns      map[Run]*run         // being stopped, of jobs that were dropped; by the run without its number
	unknownRuns     map[Run][]unknownRun // by the run without its number
	reservations    map[*task]reservation
	localWaits      localWaits
	evacuated       bool      // no new job is admitted
	graceEnd        time.Time // while evacuated, no task is started from then on
	startsHeld      bool      // no task is started for now
}

// NewCore returns a Core without targets.
func NewCore(config Config) *Core {
	if config.Losses == nil {
		config.Losses = losses.NewTable()
	}
	return &Core{
		config: config, losses: config.Losses, runTimes: newRunTimeEstimator(), shares: newFairShares(),
		jobs: map[string]*jobState{}, laterParts: map[string][]*jobState{}, retainedAnswers: map[string]retainedAnswer{},
		targets: map[string]*target{}, detachedRuns: map[*run]time.Time{}, formerRuns: map[Run]*run{}, unknownRuns: map[Run][]unknownRun{}, reservations: map[*task]reservation{},
		typicalNeed: taskNeed{cpuMilli: initialTypicalCPUMilli},
	}
}

// HoldStarts sets whether no task is started for now. Jobs are admitted as before; the next
// Tick starts what waits.
func (c *Core) HoldStarts(held bool) { c.startsHeld = held }

// drainEffects returns the effects emitted since the last call.
func (c *Core) drainEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Submit admits, spills or refuses a job, or adds the waiter to the job if it is
// already in progress. The Reply that answers the job names the waiter. A resubmitted
// job that is unknown here has run or may run elsewhere, so its outcome is unknown.
func (c *Core) Submit(j Job, waiter uint64, now time.Time) []Effect {
	if s, ok := c.jobs[j.key()]; ok && s.TaskCount() == j.TaskCount() {
		s.waiters, s.awaitedAt = append(s.waiters, waiter), now
		c.emit(LogEntry{Message: "A job in progress was submitted again.", Job: j.ID})
		return c.drainEffects()
	}
	if kept, ok := c.retainedAnswers[j.key()]; ok && kept.tasks == j.TaskCount() {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: kept.answer})
		return c.drainEffects()
	}
	if j.Resubmitted {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: Answer{Outcome: Broken, Kind: failure.OutcomeUnknown, Reason: "the job was handed over and is not known here any more"}})
		return c.drainEffects()
	}
	if c.anyTaskInProgress(j) {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: Answer{Outcome: Broken, Kind: failure.OutcomeUnknown, Reason: "tasks of the job are in progress here in a part of another size"}})
		return c.drainEffects()
	}
	s := newJobState(c.refineEstimates(j))
	s.waiters, s.awaitedAt = []uint64{waiter}, now
	c.recallLosses(s)
	if c.deadlyTask(s) != nil {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: crashedAnswer})
		return c.drainEffects()
	}
	if answer, ok := c.admit(s, now); !ok {
		c.emit(Reply{Waiter: waiter, Job: j.ID, Answer: c.refusalOf(s, answer)})
		return c.drainEffects()
	}
	for _, st := range j.Steps {
		c.typicalNeed.observe(st.Need, st.Count)
	}
	c.addJob(s)
	c.awaitFormerRuns(s)
	if s.pendingTasks > 0 {
		c.enqueue(s)
	}
	c.placeTasks(now)
	return c.drainEffects()
}

// Withdraw removes a waiter from a job and drops the job if no waiter is left.
func (c *Core) Withdraw(id string, waiter uint64, now time.Time) []Effect {
	s := c.jobOfWaiter(id, waiter)
	if s == nil {
		return nil
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w uint64) bool { return w == waiter })
	if len(s.waiters) == 0 {
		c.dropJob(s, "the caller left")
		c.placeTasks(now)
	}
	return c.drainEffects()
}

// RecordStartSent records when the start request of a run was sent, which may be some time
// after the decision on a host that stands still.
func (c *Core) RecordStartSent(id string, r Run, at time.Time) {
	if _, active := c.findRun(id, r); active != nil {
		active.requestedAt = at
	}
}

// HandleStartResult processes a target's answer to a start request. A refused task
// waits again at once; an unanswered one only after the target confirmed the stop of
// the run or its leases expired, as the run may still start.
func (c *Core) HandleStartResult(id string, r Run, result StartResult, now time.Time) []Effect {
	t, active := c.findRun(id, r)
	if active == nil {
		return nil
	}
	switch result {
	case Started:
		t.noRoomCount = 0
		active.confirmed = true
		if active.state == starting {
			active.state = running
		}
	case StartedByOther:
		active.lost = true
		c.stopRun(active, "another incarnation of the target started it")
	case Unanswered:
		t.markUnresponsive(now)
		c.stopRun(active, "the start request was not answered")
	case NoRoom:
		t.recordNoRoom(now)
		c.rejectStart(t, active, now)
	case Unhealthy, NotSent:
		t.eject(now)
		c.rejectStart(t, active, now)
	case NotAccepted:
		c.rejectStart(t, active, now)
		c.failTask(r, now)
	case WrongTarget:
		t.clearing = true // until the caller removes it
		c.rejectStart(t, active, now)
	default:
		c.rejectStart(t, active, now)
	}
	c.placeTasks(now)
	return c.drainEffects()
}

// HandleUncertainRefusal processes the refusal of one copy of a start request while another
// copy may still be carried out: the run is stopped before its task may wait again.
func (c *Core) HandleUncertainRefusal(id string, r Run, result StartResult, now time.Time) []Effect {
	t, active := c.findRun(id, r)
	if active == nil {
		return nil
	}
	switch result {
	case NoRoom:
		t.recordNoRoom(now)
	case Unhealthy:
		t.eject(now)
	case WrongTarget:
		t.clearing = true // until the caller removes it
	}
	c.stopRun(active, "a copy of its start request was refused, another may be under way")
	c.placeTasks(now)
	return c.drainEffects()
}

// rejectStart releases a run whose start the target refused.
func (c *Core) rejectStart(t *target, r *run, now time.Time) {
	c.emit(LogEntry{Message: "A target refused a start request.", Job: r.id.Job, Target: t.ID, Age: now.Sub(r.requestedAt)})
	c.releaseRun(r, EvidenceRefused, now)
}

// HandleRunStopped processes a target's confirmation that a run is stopped and will
// not start there later. The run's task waits again.
func (c *Core) HandleRunStopped(id string, r Run, now time.Time) []Effect {
	if t, active := c.findRun(id, r); active != nil {
		t.markResponsive()
		c.releaseRun(active, EvidenceStopped, now)
		c.placeTasks(now)
	}
	return c.drainEffects()
}

// HandleRunEnded processes the end of a run that a target reported.
func (c *Core) HandleRunEnded(id string, r Run, end End, now time.Time) []Effect {
	t, active := c.findRun(id, r)
	if active == nil {
		return nil
	}
	stopped := active.state == stopping
	c.releaseRun(active, EvidenceReported, now)
	switch {
	case end == EndDone:
		c.recordRunTime(t, active, now)
		c.completeTask(r)
	case end == EndFailed && !stopped:
		if t.recordFailure(now) {
			c.emit(LogEntry{Message: "A target was excluded from placement.", Target: id, Reason: "its tasks fail"})
		}
		c.failTask(r, now)
	}
	c.placeTasks(now)
	return c.drainEffects()
}

// AbandonJobs answers and forgets all jobs because another host holds the pool now.
// A job without a started task may be submitted there; the outcome of any other job
// is unknown.
func (c *Core) AbandonJobs() []Effect {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[key]
		answer := Answer{Outcome: Moved, Kind: failure.NotReady, Reason: "another host holds the pool"}
		if s.hasStarted {
			answer = Answer{Outcome: Broken, Kind: failure.OutcomeUnknown, Reason: "another host took the pool over"}
		}
		for _, w := range s.waiters {
			c.emit(Reply{Waiter: w, Job: s.ID, Answer: answer})
		}
	}
	c.forgetJobs()
	return c.drainEffects()
}

// CompleteHandover answers all waiters with the address of the new holder, which
// continues the jobs, and forgets the jobs here.
func (c *Core) CompleteHandover(holder string) []Effect {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		s := c.jobs[key]
		for _, w := range s.waiters {
			c.emit(Reply{Waiter: w, Job: s.ID, Answer: Answer{Outcome: Moved, HandedOver: true, Holder: holder, Reason: "the pool was handed over"}})
		}
	}
	c.forgetJobs()
	return c.drainEffects()
}

// RecordProgress records that a target reports a run as in progress. It returns
// false if the scheduler did not start that run there.
func (c *Core) RecordProgress(id string, r Run, percent int, now time.Time) bool {
	_, active := c.findRun(id, r)
	if active == nil {
		return false
	}
	active.recordProgress(percent, now)
	return true
}

// unlistedTimeout is how long after its start request a run may be missing from the
// target's reports. A target may delay a report for up to 300 ms, so a report may
// describe the time before the request arrived.
const unlistedTimeout = 700 * time.Millisecond

// StopUnlisted stops the runs that a target should report by now but does not. Their
// start requests were lost or are late.
func (c *Core) StopUnlisted(id string, listed map[Run]bool, now time.Time) []Effect {
	t, ok := c.targets[id]
	if !ok {
		return nil
	}
	for _, r := range t.sortedRuns() {
		if r.state == running && !listed[r.id] && now.Sub(r.requestedAt) > unlistedTimeout {
			c.emit(LogEntry{Message: "A target does not report a run.", Job: r.id.Job, Target: id, Age: now.Sub(r.requestedAt)})
			c.stopRun(r, "the target does not report the run")
		}
	}
	return c.drainEffects()
}

// RunCount returns the number of runs on a target, 0 if the target is unknown.
func (c *Core) RunCount(id string) int {
	t, ok := c.targets[id]
	if !ok {
		return 0
	}
	return len(t.runs)
}

// recordRunTime updates the slowdown of the target and the run times of the job's
// queue after a completed run.
func (c *Core) recordRunTime(t *target, r *run, now time.Time) {
	took := now.Sub(r.requestedAt)
	t.recordSuccess(took, r.estimate)
	if s := c.jobOf(r.id); s != nil {
		c.runTimes.observe(s.Queue, took, t.slowdown*c.remoteFactor(s.Steps[r.id.Step], t))
	}
}

// findRun returns a target and the run there; each is nil if it is unknown.
func (c *Core) findRun(id string, r Run) (*target, *run) {
	t, ok := c.targets[id]
	if !ok {
		return nil, nil
	}
	return t, t.runs[r]
}

// completeTask marks a task as done and answers its job if it was the last one.
func (c *Core) completeTask(r Run) {
	s := c.jobOf(r)
	if s == nil {
		return
	}
	t := s.taskOf(r)
	if t.done {
		return
	}
	t.done = true
	s.pendingTasks--
	s.unfinishedTasks--
	if s.unfinishedTasks == 0 {
		c.answerJob(s, Answer{Outcome: Completed})
	}
}

// failTask counts a failed run of a task and fails the job once all attempts are
// used.
func (c *Core) failTask(r Run, _ time.Time) {
	s := c.jobOf(r)
	if s == nil {
		return
	}
	t := s.taskOf(r)
	t.failureCount++
	c.emit(LogEntry{
		Message: "A task failed.", Job: r.Job, Target: t.released.Target,
		Reason: fmt.Sprintf("task %s, run %d, %d of %d attempts used", r.TaskID(), r.Number, t.failureCount, s.MaxAttempts),
	})
	if t.failureCount >= s.MaxAttempts {
		c.answerJob(s, Answer{Outcome: Failed, Kind: failure.TaskFailed, Reason: "a task used all attempts that its queue allows"})
	}
}

// answerJob replies to all waiters of a job, or retains the answer of an imported job
// that was not submitted again yet, and drops the job.
func (c *Core) answerJob(s *jobState, a Answer) {
	for _, w := range s.waiters {
		c.emit(Reply{Waiter: w, Job: s.ID, Answer: a})
	}
	if !s.resubmitBy.IsZero() && len(s.waiters) == 0 {
		c.retainedAnswers[s.key()] = retainedAnswer{a, s.TaskCount(), s.resubmitBy.Add(answerRetention - c.config.KeptFor())}
	}
	s.waiters = nil
	c.dropJob(s, "the job was answered")
}

// dropJob removes a job and stops its runs.
func (c *Core) dropJob(s *jobState, reason string) {
	c.removeJob(s)
	s.dropped = true
	c.waitingJobs = slices.DeleteFunc(c.waitingJobs, func(q *jobState) bool { return q == s })
	for _, t := range s.tasks {
		if t.run != nil {
			c.stopRun(t.run, reason)
			c.formerRuns[t.run.id.ofTask()] = t.run
		}
	}
}

// stopRun requests the stop of a run unless that was already requested. The run
// keeps its resources until it is released.
func (c *Core) stopRun(r *run, reason string) {
	if r.state == stopping {
		return
	}
	c.emit(Stop{Target: r.targetID, Run: r.id, Reason: reason, Unanswered: r.state == starting})
	r.state = stopping
}

// enqueue inserts a job with waiting tasks into the ordered queue.
func (c *Core) enqueue(s *jobState) {
	i, _ := slices.BinarySearchFunc(c.waitingJobs, s, c.compareJobs)
	c.waitingJobs = slices.Insert(c.waitingJobs, i, s)
}

// refineEstimates returns the job with estimates that include the learned run times
// of its queue.
func (c *Core) refineEstimates(j Job) Job {
	j.Steps = slices.Clone(j.Steps)
	for i := range j.Steps {
		j.Steps[i].Estimate = c.runTimes.estimate(j.Queue, j.Steps[i].Estimate, c.config.LearnedRunTimeWeight)
	}
	return j
}

// compareJobs orders waiting jobs: late ones last, then by priority (lower number
// first), then by latest start, then by arrival.
func (c *Core) compareJobs(a, b *jobState) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if d := cmp.Compare(a.Priority, b.Priority); d != 0 {
		return d
	}
	if d := a.latestStart.Compare(b.latestStart); d != 0 {
		return d
	}
	return a.ArrivedAt.Compare(b.ArrivedAt)
}
