package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Config is the policy of a Core.
type Config struct {
	QueuedTasks       int           // tasks waiting for a slot at most
	QueuedBytes       int64         // payload bytes of those tasks at most
	AttemptTimeout    time.Duration // an attempt is given up after this
	DefaultDeadline   time.Duration // for a job that states none
	RefusalPause      time.Duration // a target that refused a start is avoided for this
	RestartIdempotent bool          // start a task of an idempotent job again after an unknown outcome
}

// DefaultConfig returns the policy in force until a bundle states another.
func DefaultConfig() Config {
	return Config{
		QueuedTasks:     20_000,
		QueuedBytes:     64 << 20,
		AttemptTimeout:  30 * time.Second,
		DefaultDeadline: 30 * time.Second,
		RefusalPause:    20 * time.Millisecond,
	}
}

// Core is the state of all jobs in progress at one entry host. It is not safe
// for concurrent use.
type Core struct {
	config  Config
	random  *rand.Rand
	targets map[string]*Target
	order   []*Target // the targets in the order of their first announcement
	jobs    map[JobID]*jobState
	starts  map[StartID]started
	last    StartID
	queue   taskQueue
	out     Effects
}

// started is an attempt in progress.
type started struct {
	task   taskRef
	target *Target
}

// Effects are what the owner of a Core has to do.
type Effects struct {
	Starts   []Start
	Finishes []Finish
}

// NewCore returns a Core without targets. The random source breaks ties.
func NewCore(config Config, random *rand.Rand) *Core {
	return &Core{
		config:  config,
		random:  random,
		targets: make(map[string]*Target),
		jobs:    make(map[JobID]*jobState),
		starts:  make(map[StartID]started),
	}
}

// SetConfig puts another policy in force.
func (c *Core) SetConfig(config Config) { c.config = config }

// Take returns the effects since the last call.
func (c *Core) Take() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// Submit admits a job. An error means that nothing of it was started and that
// it is not admitted.
func (c *Core) Submit(now time.Time, id JobID, spec *job.Spec) error {
	if err := c.admit(now, spec); err != nil {
		return err
	}
	deadline := c.config.DefaultDeadline
	if spec.DeadlineMS > 0 {
		deadline = time.Duration(spec.DeadlineMS) * time.Millisecond
	}
	j := &jobState{
		id:       id,
		spec:     spec,
		deadline: now.Add(deadline),
		outputs:  newOutputs(spec),
		left:     len(spec.Tasks),
	}
	c.jobs[id] = j
	for i := range spec.Tasks {
		c.queue.push(taskRef{j, i})
	}
	c.assign(now)
	return nil
}

func (c *Core) admit(now time.Time, spec *job.Spec) error {
	if c.queue.tasks+len(spec.Tasks) > c.config.QueuedTasks {
		return failure.New(failure.Overloaded, "the queue is full")
	}
	if c.queue.bytes+spec.PayloadBytes() > c.config.QueuedBytes {
		return failure.New(failure.Overloaded, "the queue holds too many bytes")
	}
	return c.checkRunnable(now, spec)
}

// checkRunnable refuses a job that no known target could run.
func (c *Core) checkRunnable(now time.Time, spec *job.Spec) error {
	alive, accelerators := 0, 0
	for _, t := range c.order {
		if !t.alive(now) {
			continue
		}
		alive++
		accelerators += t.Accelerators
	}
	if alive == 0 {
		return failure.New(failure.NoTargets, "no target is alive")
	}
	for i, t := range spec.Tasks {
		if t.Accelerator && accelerators == 0 {
			field := fmt.Sprintf("tasks[%d].accelerator", i)
			return &failure.Error{Kind: failure.NeverRunnable, Field: field, Message: "no target has an accelerator"}
		}
	}
	return nil
}

// Cancel withdraws a job. It is answered at once.
func (c *Core) Cancel(now time.Time, id JobID) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	c.giveUp(j, failure.Cancelled, failure.CancelledRunning, "the caller withdrew the job")
	c.assign(now)
}

// SetTargets adds targets or updates them. Starts in progress at an earlier
// incarnation of a target count until they end.
func (c *Core) SetTargets(now time.Time, list []Target) {
	for _, t := range list {
		c.setTarget(t)
	}
	c.assign(now)
}

func (c *Core) setTarget(t Target) {
	known, ok := c.targets[t.Target]
	if !ok {
		known = &Target{}
		c.targets[t.Target] = known
		c.order = append(c.order, known)
	}
	known.Announcement = t.Announcement
	known.LeaseEnd = t.LeaseEnd
}

// Tick expires jobs and targets and makes the starts that became possible.
func (c *Core) Tick(now time.Time) {
	for _, j := range c.jobs {
		if !now.Before(j.deadline) {
			c.giveUp(j, failure.ExpiredQueued, failure.ExpiredRunning, "the deadline has passed")
		}
	}
	c.dropTargets(now)
	c.assign(now)
}

const forgetAfter = time.Minute // a target without lease is forgotten after this

func (c *Core) dropTargets(now time.Time) {
	kept := c.order[:0]
	for _, t := range c.order {
		if t.busy == 0 && now.Sub(t.LeaseEnd) > forgetAfter {
			delete(c.targets, t.Target)
			continue
		}
		kept = append(kept, t)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// Jobs returns the number of jobs in progress.
func (c *Core) Jobs() int { return len(c.jobs) }

// Queued returns the number of tasks waiting for a slot.
func (c *Core) Queued() int { return c.queue.tasks }

// Running returns the number of starts in progress.
func (c *Core) Running() int { return len(c.starts) }

// Targets returns the known targets in the order of their announcement.
func (c *Core) Targets() []Target {
	list := make([]Target, len(c.order))
	for i, t := range c.order {
		list[i] = *t
	}
	return list
}
