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

// Sender makes one attempt to start a task and returns how it ended. It is
// called on a goroutine of its own for each attempt.
type Sender interface {
	Send(ctx context.Context, s Start) Result
}

// Spiller runs a job in another failure domain. It returns nil if no host took
// the job, and is called on a goroutine of its own.
type Spiller interface {
	Spill(ctx context.Context, spec *job.Spec) *job.Answer
}

// LoopConfig configures a Loop.
type LoopConfig struct {
	Core         *Core
	Records      record.Config
	Minter       *ticket.Minter
	Stopper      Stopper    // nil if tasks cannot be stopped
	PeerSender   PeerSender // nil without other hosts in the domain
	Sender       Sender
	Copier       Copier
	Spiller      Spiller                    // nil if no job is passed to another domain
	CheckAllowed func(spec *job.Spec) error // refuses a new job that the bundle forbids; nil allows all
	RingSize     int                        // messages waiting at most
	Clock        func() time.Time           // the host's clock
	TickInterval time.Duration              // between two ticks of the Core
}

// Copier takes the answers that this host gave, to be copied to another host.
// It must not block.
type Copier interface {
	Copy(key record.CopyKey, digest uint64, answer *job.Answer)
}

// Loop owns a Core and the records of its jobs. One goroutine runs it; others
// reach it through a bounded ring.
type Loop struct {
	config       LoopConfig
	ring         chan func(now time.Time)
	results      chan Result
	spillResults chan spillResult
	load         atomic.Pointer[Load]
	issuers      map[ticket.Issuer]*issuerRecords
	copies       *record.Copies
	jobs         map[JobID]*pendingJob
	jobIDs       map[record.CopyKey]JobID
	lastJobID    JobID
	draining     bool            // new jobs are refused
	handedOver   bool            // the records were handed on: nothing may start
	runContext   context.Context // Run's; ends the spills
	stopped      chan struct{}
}

// issuerRecords is an incarnation whose tickets this host answers for: its own, and
// those that drained hosts handed on.
type issuerRecords struct {
	minter          *ticket.Minter
	book            *record.Book
	ticketsExpireAt time.Time // when the last ticket expires; zero for this host's own incarnation
}

// pendingJob is a job in progress and who waits for its answer.
type pendingJob struct {
	key        record.CopyKey
	spec       *job.Spec
	admittedAt time.Time // when it was admitted
	digest     uint64
	book       *record.Book
	waiters    []chan *job.Answer
	cancel     context.CancelFunc // ends the spill; nil if the job runs here
}

// NewLoop returns a Loop that Run has to drive.
func NewLoop(config LoopConfig) *Loop {
	l := &Loop{
		config:       config,
		ring:         make(chan func(time.Time), config.RingSize),
		results:      make(chan Result, config.RingSize),
		spillResults: make(chan spillResult, config.RingSize),
		issuers:      make(map[ticket.Issuer]*issuerRecords),
		copies:       record.NewCopies(config.Records),
		jobs:         make(map[JobID]*pendingJob),
		jobIDs:       make(map[record.CopyKey]JobID),
		stopped:      make(chan struct{}),
	}
	l.load.Store(&Load{})
	l.issuers[config.Minter.Issuer()] = &issuerRecords{minter: config.Minter, book: record.NewBook(config.Records)}
	return l
}

// Run drives the Core until ctx is cancelled.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	l.runContext = ctx
	timer := time.NewTimer(l.config.TickInterval)
	defer timer.Stop()
	idle := false // whether the timer is set for a Loop without jobs
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-l.ring:
			message(l.config.Clock())
		case r := <-l.results:
			l.config.Core.HandleResult(l.config.Clock(), r)
		case r := <-l.spillResults:
			l.handleSpillResult(l.config.Clock(), r)
		case <-timer.C:
			l.tick(l.config.Clock())
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

const idleTickFactor = 10 // ticks that an idle Loop skips at a time

// tickInterval returns the time to the next tick. Without jobs only leases and
// adverts depend on it.
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
		records.book.Expire(now)
		if !records.ticketsExpireAt.IsZero() && now.After(records.ticketsExpireAt) {
			delete(l.issuers, id)
		}
	}
}

// post hands a message to the Loop. A full ring refuses.
func (l *Loop) post(message func(now time.Time)) error {
	select {
	case l.ring <- message:
		return nil
	default:
		return failure.New(failure.Overloaded, "too many messages are waiting")
	}
}

// call runs f on the Loop's goroutine and returns its results. Its own errors
// are Overloaded for a full ring, Draining if the Loop has stopped, and ctx's.
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

// callNoValue is ask for a function without a value.
func callNoValue(ctx context.Context, l *Loop, f func(now time.Time) error) error {
	_, err := call(ctx, l, func(now time.Time) (struct{}, error) { return struct{}{}, f(now) })
	return err
}

// SetTargets adds or updates targets.
func (l *Loop) SetTargets(list []Target) error {
	return l.post(func(now time.Time) { l.config.Core.SetTargets(now, list) })
}

// SetConfig puts another policy in force.
func (l *Loop) SetConfig(config Config) error {
	return l.post(func(time.Time) { l.config.Core.SetConfig(config) })
}

// Drain makes the Loop refuse jobs that it does not know yet.
func (l *Loop) Drain() error {
	return l.post(func(time.Time) { l.draining = true })
}

// Status is a count of what a Loop holds.
type Status struct {
	Jobs          int
	QueuedTasks   int
	RunningTasks  int
	StoredAnswers int
	Targets       []Target
}

// Status returns what the Loop holds.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	return call(ctx, l, func(time.Time) (Status, error) { return l.status(), nil })
}

func (l *Loop) status() Status {
	c := l.config.Core
	s := Status{Jobs: len(l.jobs), QueuedTasks: c.Queued(), RunningTasks: c.Running(), Targets: c.Targets()}
	for _, records := range l.issuers {
		s.StoredAnswers += records.book.Stored()
	}
	return s
}

// applyEffects carries out the effects of the Core. Each start gets a goroutine, so
// their number is bounded by the slots of all targets.
func (l *Loop) applyEffects(ctx context.Context, out Effects) {
	for _, s := range out.Starts {
		go l.sendStart(ctx, s)
	}
	for _, f := range out.Answers {
		l.answerJob(f)
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

// answerJob gives the answer to a job and records it. The record of a job that did
// not run and may come back is dropped, so that it runs when it does.
func (l *Loop) answerJob(f JobAnswer) {
	p := l.jobs[f.Job]
	l.removeJob(f.Job)
	if f.Answer.MayComeBack() {
		p.book.Forget(p.key.Seq)
	} else {
		p.book.Finish(p.key.Seq, f.Answer)
		l.config.Copier.Copy(p.key, p.digest, f.Answer)
	}
	p.reply(f.Answer)
}

func (p *pendingJob) reply(answer *job.Answer) {
	for _, waiter := range p.waiters {
		waiter <- answer
	}
}

// removeJob ends a job in progress.
func (l *Loop) removeJob(id JobID) {
	delete(l.jobIDs, l.jobs[id].key)
	delete(l.jobs, id)
}
