package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Sender makes one attempt at a task: it sends the start request and returns how the
// attempt ended. Each attempt is made on a goroutine of its own.
type Sender interface {
	Send(ctx context.Context, s Start) Result
}

// Spiller runs a job in another failure domain and returns its answer, or nil if no
// host accepted the job. Each job is passed on a goroutine of its own.
type Spiller interface {
	Spill(ctx context.Context, spec *job.Spec) *job.Answer
}

// LoopConfig configures a Loop.
type LoopConfig struct {
	Core         *Core
	Records      record.Config
	Minter       *ticket.Minter
	Stopper      Stopper    // nil if tasks cannot be stopped
	PeerSender   PeerSender // nil if the domain has no other hosts
	Sender       Sender
	Copier       Copier
	Spiller      Spiller                    // nil if no job is passed to another domain
	CheckAllowed func(spec *job.Spec) error // returns an error for a new job that the bundle forbids; nil allows all jobs
	RingSize     int                        // limit of waiting messages, and of waiting results
	Clock        func() time.Time           // the host's clock
	TickInterval time.Duration              // time between two ticks of the Core while jobs are in progress

	ObserveWithheld func(WithheldJob) // is told of each job that an evacuation keeps from starting; may be nil
}

// Copier sends another host copies of the answers that this host gave. Copy must not
// block.
type Copier interface {
	Copy(key record.TicketID, digest uint64, answer *job.Answer)
}

// Loop owns a Core and the records of its jobs. Only the goroutine of Run uses these;
// other goroutines send messages to it through a bounded ring.
type Loop struct {
	config       LoopConfig
	ring         chan func(now time.Time)
	results      chan Result
	spillResults chan spillResult
	load         atomic.Pointer[Load]
	issuers      map[ticket.Issuer]*issuerRecords
	copies       *record.AnswerCopies
	jobs         map[JobID]*pendingJob
	jobIDs       map[record.TicketID]JobID
	lastJobID    JobID
	draining     bool            // new jobs are refused
	handedOver   bool            // the records were handed over: no job may start
	runContext   context.Context // context of Run; its end cancels spills
	stopped      chan struct{}

	evacuated         atomic.Bool   // whether the failure domain is evacuated
	evacuationChanged chan struct{} // wakes Run after a change of evacuated
}

// issuerRecords holds the records of one incarnation whose tickets this host answers
// for: its own incarnation, or that of a drained host that handed its records over.
type issuerRecords struct {
	minter          *ticket.Minter
	ticketTable     *record.Table
	ticketsExpireAt time.Time // expiry of the last ticket; zero for this host's own incarnation
}

// pendingJob is a job in progress with the submissions that wait for its answer.
type pendingJob struct {
	key         record.TicketID
	spec        *job.Spec
	admittedAt  time.Time
	digest      uint64
	ticketTable *record.Table
	waiters     []chan *job.Answer
	spilled     bool               // came from another domain and is not passed on
	cancel      context.CancelFunc // cancels the spill; nil if the job runs here
}

// NewLoop returns a Loop that handles messages once Run is called.
func NewLoop(config LoopConfig) *Loop {
	l := &Loop{
		config:       config,
		ring:         make(chan func(time.Time), config.RingSize),
		results:      make(chan Result, config.RingSize),
		spillResults: make(chan spillResult, config.RingSize),
		issuers:      make(map[ticket.Issuer]*issuerRecords),
		copies:       record.NewAnswerCopies(config.Records),
		jobs:         make(map[JobID]*pendingJob),
		jobIDs:       make(map[record.TicketID]JobID),
		stopped:      make(chan struct{}),

		evacuationChanged: make(chan struct{}, 1),
	}
	l.load.Store(&Load{})
	l.issuers[config.Minter.Issuer()] = &issuerRecords{minter: config.Minter, ticketTable: record.NewTable(config.Records)}
	return l
}

// Run handles messages and results and ticks the Core until ctx is cancelled. Its
// error is always nil.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	l.runContext = ctx
	timer := time.NewTimer(l.config.TickInterval)
	defer timer.Stop()
	idle := false // whether the timer is set to the interval of a Loop without jobs
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-l.ring:
			message(l.now())
		case r := <-l.results:
			l.config.Core.HandleResult(l.now(), r)
		case r := <-l.spillResults:
			l.handleSpillResult(l.now(), r)
		case <-l.evacuationChanged:
			l.now()
		case <-timer.C:
			l.tick(l.now())
			idle = len(l.jobs) == 0
			timer.Reset(l.tickInterval(idle))
		}
		l.applyEffects(ctx, l.config.Core.TakeEffects())
		if idle && len(l.jobs) > 0 {
			idle = false
			timer.Reset(l.tickInterval(idle))
		}
	}
}

const idleTickFactor = 10 // tick interval of a Loop without jobs, as a multiple of TickInterval

// tickInterval returns the time to the next tick. It is longer without jobs, when only
// leases and the advertised Load depend on the ticks.
func (l *Loop) tickInterval(idle bool) time.Duration {
	if idle {
		return idleTickFactor * l.config.TickInterval
	}
	return l.config.TickInterval
}

func (l *Loop) tick(now time.Time) {
	l.config.Core.Tick(now)
	load := l.config.Core.Load(now)
	l.load.Store(&load)
	for id, records := range l.issuers {
		records.ticketTable.Expire(now)
		if !records.ticketsExpireAt.IsZero() && now.After(records.ticketsExpireAt) {
			delete(l.issuers, id)
		}
	}
}

// post adds a message to the ring. It fails with Overloaded if the ring is full.
func (l *Loop) post(message func(now time.Time)) error {
	select {
	case l.ring <- message:
		return nil
	default:
		return failure.New(failure.Overloaded, "too many messages are waiting")
	}
}

// call runs f on the goroutine of the Loop and returns its results. Its own errors
// are Overloaded if the ring is full, Draining if the Loop has stopped, and the error
// of ctx.
func call[T any](ctx context.Context, l *Loop, f func(now time.Time) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	reply := make(chan result, 1)
	var zero T
	err := l.post(func(now time.Time) {
		value, err := f(now)
		reply <- result{value, err}
	})
	if err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r.value, r.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.stopped:
		return zero, failure.New(failure.Draining, "the host has stopped")
	}
}

// callNoValue is call for a function that returns only an error.
func callNoValue(ctx context.Context, l *Loop, f func(now time.Time) error) error {
	_, err := call(ctx, l, func(now time.Time) (struct{}, error) { return struct{}{}, f(now) })
	return err
}

// SetTargets adds or updates targets. It fails with Overloaded if the ring is full.
func (l *Loop) SetTargets(list []Target) error {
	return l.post(func(now time.Time) { l.config.Core.SetTargets(now, list) })
}

// SetConfig replaces the policy of the Core, except for Host. It fails with Overloaded
// if the ring is full.
func (l *Loop) SetConfig(config Config) error {
	return l.post(func(time.Time) { l.config.Core.SetConfig(config) })
}

// Drain makes the Loop refuse new jobs. Submissions of jobs that it has a record of
// are still answered. It fails with Overloaded if the ring is full.
func (l *Loop) Drain() error {
	return l.post(func(time.Time) { l.draining = true })
}

// Status holds a Loop's numbers of jobs, tasks and stored answers, and its targets.
type Status struct {
	Jobs          int
	QueuedTasks   int
	RunningTasks  int
	StoredAnswers int
	Targets       []Target
}

// Status returns the current Status.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	return call(ctx, l, func(time.Time) (Status, error) { return l.status(), nil })
}

func (l *Loop) status() Status {
	c := l.config.Core
	s := Status{Jobs: len(l.jobs), QueuedTasks: c.QueuedTasks(), RunningTasks: c.RunningTasks(), Targets: c.Targets()}
	for _, records := range l.issuers {
		s.StoredAnswers += records.ticketTable.Stored()
	}
	return s
}

// applyEffects carries out the effects of the Core. Each start runs on a goroutine of
// its own; the number of slots of all targets bounds the number of these goroutines.
func (l *Loop) applyEffects(ctx context.Context, out Effects) {
	for _, s := range out.Starts {
		go l.sendStart(ctx, s)
	}
	for _, a := range out.Answers {
		if a.Withheld {
			l.answerWithheld(l.config.Clock(), a)
			continue
		}
		l.answerJob(a)
	}
	l.sendToPeers(ctx, out.Messages)
	l.stopTasks(ctx, out.Stops)
}

func (l *Loop) sendStart(ctx context.Context, s Start) {
	result := l.config.Sender.Send(ctx, s)
	select {
	case l.results <- result:
	case <-l.stopped:
	}
}

// answerJob answers the submissions of a job and records the answer. The record is
// dropped instead if the job did not run and may be submitted again, so that a
// resubmission starts it.
func (l *Loop) answerJob(a JobAnswer) {
	p := l.jobs[a.Job]
	l.removeJob(a.Job)
	if a.Answer.IsTemporaryRefusal() {
		p.ticketTable.Forget(p.key.Seq)
	} else {
		p.ticketTable.Finish(p.key.Seq, a.Answer)
		l.config.Copier.Copy(p.key, p.digest, a.Answer)
	}
	p.reply(a.Answer)
}

func (p *pendingJob) reply(answer *job.Answer) {
	for _, waiter := range p.waiters {
		waiter <- answer
	}
}

// removeJob removes a job from the jobs in progress.
func (l *Loop) removeJob(id JobID) {
	delete(l.jobIDs, l.jobs[id].key)
	delete(l.jobs, id)
}
