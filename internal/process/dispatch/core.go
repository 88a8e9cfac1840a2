package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	"wasabifield.example/wasabifield/internal/process/workers"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/queue"
	"wasabifield.example/wasabifield/internal/request/runtimes"
)

// Config is the policy of a Core.
type Config struct {
	MaxQueuedTasks        int           // tasks waiting for a slot at most
	MaxQueuedBytes        int64         // payload bytes of those tasks at most
	AttemptTimeout        time.Duration // an attempt is given up after this
	DefaultDeadline       time.Duration // for a job that states none
	InitialRefusalBackoff time.Duration // a target that refused a start is avoided for this at first
	SpillEnabled          bool          // pass jobs to other domains
	SpillWaitThreshold    time.Duration // expected wait for a slot above which a job is passed on
	MaxAttempts           int           // starts tried for one task at most
	RestartIdempotent     bool          // start a task of an idempotent job again after an unknown outcome
	Teams                 map[string]Team
	Host                  string        // this host's name
	PeerLease             time.Duration // a peer not heard of for this long loses its slots
	SlotRequestInterval   time.Duration // between two requests for a peer's idle slots
	Health                health.Config
	ProbeBusyPeers        bool // request slots also of peers that were busy when last heard of
}

// DefaultConfig returns the policy in force until a bundle states another.
func DefaultConfig() Config {
	return Config{
		MaxQueuedTasks:        20_000,
		MaxQueuedBytes:        64 << 20,
		AttemptTimeout:        30 * time.Second,
		DefaultDeadline:       30 * time.Second,
		SpillEnabled:          true,
		SpillWaitThreshold:    500 * time.Millisecond,
		MaxAttempts:           20,
		InitialRefusalBackoff: 5 * time.Millisecond,
		Host:                  "self",
		PeerLease:             2 * time.Second,
		SlotRequestInterval:   50 * time.Millisecond,
		Health:                health.DefaultConfig(),
	}
}

// Core is the state of all jobs in progress at one entry host. It is not safe
// for concurrent use.
type Core struct {
	config          Config
	random          *rand.Rand
	targets         map[string]*Target
	targetOrder     []*Target // the targets in the order of their first announcement
	jobs            map[JobID]*jobState
	jobDeadlines    deadlineHeap // of the jobs
	attempts        map[StartID]attempt
	lastStartID     StartID
	queue           *queue.Queue
	runtimes        *runtimes.Table
	pools           *pools
	health          *health.Tracker
	heldSlots       []heldSlot
	workers         *workers.Table
	stops           *workers.Stops
	usages          *workers.Usages
	peers           map[string]*peerDemand
	reportsComplete bool // every peer has reported within the lease
	effects         Effects
}

// Effects are what the owner of a Core has to do.
type Effects struct {
	Starts   []Start
	Answers  []JobAnswer
	Messages []OutgoingMessage
	Stops    []workers.Task // tasks to be stopped
}

// NewCore returns a Core without targets. The random source breaks ties.
func NewCore(config Config, random *rand.Rand) *Core {
	c := &Core{
		config:   config,
		random:   random,
		targets:  make(map[string]*Target),
		jobs:     make(map[JobID]*jobState),
		attempts: make(map[StartID]attempt),
		queue:    queue.New(queue.Config{Tasks: config.MaxQueuedTasks, Bytes: config.MaxQueuedBytes}),
		runtimes: runtimes.NewTable(maxRuntimeKeys),
		pools:    newPools(config),
		health:   health.NewTracker(config.Health),
		workers:  workers.NewTable(),
		stops:    workers.NewStops(maxPendingStops),
		usages:   workers.NewUsages(),
	}
	c.updateTeamPolicies()
	return c
}

// maxRuntimeKeys bounds the teams and kinds whose run times are learned.
const maxRuntimeKeys = 4096

// maxPendingStops bounds the tasks that are being stopped.
const maxPendingStops = 20_000

// SetConfig puts another policy in force. The host's name stays.
func (c *Core) SetConfig(config Config) {
	config.Host = c.config.Host
	c.config = config
	c.queue.SetBounds(config.MaxQueuedTasks, config.MaxQueuedBytes)
	for _, pool := range c.pools.slotPools {
		pool.SetConfig(config.sharing())
	}
	c.health.SetConfig(config.Health)
	c.updateTeamPolicies()
}

// TakeEffects returns the effects since the last call.
func (c *Core) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// Submit admits a job. An error means that nothing of it was started and that
// it is not admitted.
func (c *Core) Submit(now time.Time, id JobID, spec *job.Spec) error {
	if err := c.checkRunnable(now, spec); err != nil {
		return err
	}
	j := c.newJob(now, id, spec)
	tasks := c.queueTasks(now, j)
	if err := c.queue.Admit(now, j.queueJob(), tasks, c.slotCapacity(now)); err != nil {
		return err
	}
	c.jobs[id] = j
	c.jobDeadlines.add(j)
	c.queue.Push(j.queueJob(), tasks)
	c.assignTasks(now)
	return nil
}

func (c *Core) newJob(now time.Time, id JobID, spec *job.Spec) *jobState {
	return &jobState{
		id:               id,
		spec:             spec,
		team:             c.teamOf(spec.Team),
		deadline:         now.Add(spec.Deadline(c.config.DefaultDeadline)),
		outputs:          newOutputs(spec),
		incompleteTasks:  len(spec.Tasks),
		startsInProgress: make(map[StartID]bool),
	}
}

// checkRunnable refuses a job that no known target could run.
func (c *Core) checkRunnable(now time.Time, spec *job.Spec) error {
	alive, accelerators := 0, 0
	for _, t := range c.targetOrder {
		if !t.Alive(now) {
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
	c.abortJob(now, j, failure.Cancelled, failure.CancelledRunning, "the caller withdrew the job")
	c.assignTasks(now)
}

// SetTargets adds targets or updates them. Starts in progress at an earlier
// incarnation of a target count until they end.
func (c *Core) SetTargets(now time.Time, list []Target) {
	for _, t := range list {
		c.setTarget(now, t)
	}
	c.refreshTargets(now)
	c.assignTasks(now)
}

func (c *Core) setTarget(now time.Time, t Target) {
	known, ok := c.targets[t.Target]
	if !ok {
		known = &Target{}
		c.targets[t.Target] = known
		c.targetOrder = append(c.targetOrder, known)
	}
	if t.LeaseEnd.After(known.LeaseEnd) {
		c.workers.Alive(now, t.Target)
	}
	known.Announcement = t.Announcement
	known.LeaseEnd = t.LeaseEnd
}

// Tick expires jobs and targets and makes the starts that became possible.
func (c *Core) Tick(now time.Time) {
	for j := c.jobDeadlines.expired(now); j != nil; j = c.jobDeadlines.expired(now) {
		c.abortJob(now, j, failure.ExpiredQueued, failure.ExpiredRunning, "the deadline has passed")
	}
	c.dropExpiredTargets(now)
	c.refreshTargets(now)
	c.disableEjectedTargets(now)
	c.emitDueStops(now)
	c.queue.Sweep()
	c.reportsComplete = c.haveAllReports(now)
	c.updateTeamPolicies()
	c.assignTasks(now)
}

const targetRetention = time.Minute // a target without lease is forgotten after this

func (c *Core) dropExpiredTargets(now time.Time) {
	kept := c.targetOrder[:0]
	for _, t := range c.targetOrder {
		if t.starts == 0 && now.Sub(t.LeaseEnd) > targetRetention {
			delete(c.targets, t.Target)
			continue
		}
		kept = append(kept, t)
	}
	clear(c.targetOrder[len(kept):])
	c.targetOrder = kept
}

// Jobs returns the number of jobs in progress.
func (c *Core) Jobs() int { return len(c.jobs) }

// Queued returns the number of tasks waiting for a slot.
func (c *Core) Queued() int { return c.queue.Tasks() }

// Running returns the number of starts in progress.
func (c *Core) Running() int { return len(c.attempts) }

// Load returns the free capacity at now.
func (c *Core) Load(now time.Time) Load {
	accelerators := c.pools.slotPools[acceleratorPool].Idle(now)
	return Load{
		FreeSlots:            c.pools.slotPools[plainPool].Idle(now) + accelerators,
		FreeAcceleratorSlots: accelerators,
		QueuedTasks:          c.Queued(),
	}
}

// Targets returns the known targets in the order of their announcement.
func (c *Core) Targets() []Target {
	list := make([]Target, len(c.targetOrder))
	for i, t := range c.targetOrder {
		list[i] = *t
	}
	return list
}
