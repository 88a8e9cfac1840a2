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

// Config holds the policy of a Core: its limits, timeouts and team quotas.
type Config struct {
	MaxQueuedTasks        int           // limit of the tasks that wait for a slot
	MaxQueuedBytes        int64         // limit of the payload bytes of those tasks
	AttemptTimeout        time.Duration // an attempt without an answer ends after this time
	DefaultDeadline       time.Duration // time to the deadline of a job that sets none
	InitialRefusalBackoff time.Duration // first pause of a target after a refused start; doubled at each further refusal
	SpillEnabled          bool          // jobs may be passed to other failure domains
	SpillWaitThreshold    time.Duration // a job is passed on if its expected wait for a slot exceeds this
	MaxAttempts           int           // limit of the attempts to start one task
	RestartIdempotent     bool          // tasks of idempotent jobs are started again after an unknown outcome
	Teams                 map[string]Team
	Host                  string        // name of this entry host
	PeerLease             time.Duration // a peer that sends no message for this time loses its slots
	SlotRequestInterval   time.Duration // from a request for a peer's idle slots that was not met in full to the next
	Health                health.Config
	ProbeBusyPeers        bool // slots are also requested from peers that last reported none idle
}

// DefaultConfig returns the policy that applies until a bundle sets another.
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

// Core holds the jobs in progress of one entry host and the targets that run
// their tasks. It is not safe for concurrent use.
type Core struct {
	config          Config
	random          *rand.Rand
	targets         map[string]*Target
	targetOrder     []*Target // by first announcement
	jobs            map[JobID]*jobState
	jobDeadlines    deadlineHeap
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
	reportsComplete bool // every peer has reported within PeerLease
	evacuated       bool // the failure domain is evacuated: nothing is started
	effects         Effects
}

// Effects lists the actions that the owner of a Core has to carry out.
type Effects struct {
	Starts   []Start
	Answers  []JobAnswer
	Messages []OutgoingMessage
	Stops    []workers.Task // tasks for which a stop request is due
}

// NewCore returns a Core without targets. The random source selects among targets
// with free slots.
func NewCore(config Config, random *rand.Rand) *Core {
	c := &Core{
		config:   config,
		random:   random,
		targets:  make(map[string]*Target),
		jobs:     make(map[JobID]*jobState),
		attempts: make(map[StartID]attempt),
		queue:    queue.New(queue.Config{MaxTasks: config.MaxQueuedTasks, MaxBytes: config.MaxQueuedBytes}),
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

// maxRuntimeKeys limits the pairs of team and kind whose run times are learned.
const maxRuntimeKeys = 4096

// maxPendingStops limits the tasks that wait for the confirmation of a stop.
const maxPendingStops = 20_000

// SetConfig replaces the policy, except for Host.
func (c *Core) SetConfig(config Config) {
	config.Host = c.config.Host
	c.config = config
	c.queue.SetLimits(config.MaxQueuedTasks, config.MaxQueuedBytes)
	for _, pool := range c.pools.slotPools {
		pool.SetConfig(config.sharing())
	}
	c.health.SetConfig(config.Health)
	c.updateTeamPolicies()
}

// TakeEffects returns and clears the effects that have accumulated since the last
// call.
func (c *Core) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// Submit admits a job and queues its tasks. After an error the job is not admitted
// and none of its tasks was started. The error kinds are NoTargets, NeverRunnable
// and those of queue.Queue.Admit.
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

// checkRunnable returns an error if no live target can run the job or the domain is
// evacuated.
func (c *Core) checkRunnable(now time.Time, spec *job.Spec) error {
	if c.evacuated {
		return evacuatedError()
	}
	alive, accelerators := 0, 0
	for _, t := range c.targetOrder {
		if !t.Alive(now) {
			continue
		}
		alive++
		accelerators += t.Accelerators
	}
	if alive == 0 {
		return failure.New(failure.NoTargets, "no target is alive in the failure domain")
	}
	for i, t := range spec.Tasks {
		if t.Accelerator && accelerators == 0 {
			field := fmt.Sprintf("tasks[%d].accelerator", i)
			return &failure.Error{Kind: failure.NeverRunnable, Field: field, Message: "no live target has an accelerator"}
		}
	}
	return nil
}

// Cancel ends a job and answers it immediately. It requests stops of the
// running tasks.
func (c *Core) Cancel(now time.Time, id JobID) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	c.abortJob(now, j, failure.Cancelled, failure.CancelledRunning, "the caller cancelled the job")
	c.assignTasks(now)
}

// SetTargets adds targets or updates known ones. Starts in progress at an earlier
// incarnation of a target keep counting against it until they end.
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
		c.workers.RecordContact(now, t.Target)
	}
	known.Announcement = t.Announcement
	known.LeaseEnd = t.LeaseEnd
}

// Tick ends jobs whose deadline has passed, forgets targets whose lease expired
// long ago, repeats stop requests that are due and assigns waiting tasks. It is to
// be called at regular intervals.
func (c *Core) Tick(now time.Time) {
	for j := c.jobDeadlines.expired(now); j != nil; j = c.jobDeadlines.expired(now) {
		c.abortJob(now, j, failure.ExpiredQueued, failure.ExpiredRunning, "the deadline has passed")
	}
	c.dropExpiredTargets(now)
	c.refreshTargets(now)
	c.disableEjectedTargets(now)
	c.emitDueStops(now)
	c.queue.DropIdleTeams()
	c.reportsComplete = c.haveAllReports(now)
	c.updateTeamPolicies()
	c.assignTasks(now)
}

const targetRetention = time.Minute // time from the end of its lease until a target is forgotten

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

// QueuedTasks returns the number of tasks waiting for a slot.
func (c *Core) QueuedTasks() int { return c.queue.WaitingTasks() }

// RunningTasks returns the number of starts in progress.
func (c *Core) RunningTasks() int { return len(c.attempts) }

// Load returns the free slots that this host knows of and its queue length. An
// evacuated domain has no free slots, so that other domains pass no jobs to it.
func (c *Core) Load(now time.Time) Load {
	if c.evacuated {
		return Load{QueuedTasks: c.QueuedTasks()}
	}
	accelerators := c.pools.slotPools[acceleratorPool].IdleSlots(now)
	return Load{
		FreeSlots:            c.pools.slotPools[plainPool].IdleSlots(now) + accelerators,
		FreeAcceleratorSlots: accelerators,
		QueuedTasks:          c.QueuedTasks(),
	}
}

// Targets returns the known targets in the order of their first announcement.
func (c *Core) Targets() []Target {
	list := make([]Target, len(c.targetOrder))
	for i, t := range c.targetOrder {
		list[i] = *t
	}
	return list
}
