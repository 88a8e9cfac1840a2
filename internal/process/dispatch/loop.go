package dispatch

import (
	"context"
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

// LoopConfig configures a Loop.
type LoopConfig struct {
	Core   *Core
	Book   *record.Book
	Minter *ticket.Minter
	Sender Sender
	Ring   int              // messages waiting at most
	Clock  func() time.Time // the host's clock
	Tick   time.Duration    // between two ticks of the Core
}

// Loop owns a Core and the records of its jobs. One goroutine runs it; others
// reach it through a bounded ring.
type Loop struct {
	config  LoopConfig
	ring    chan func(now time.Time)
	results chan Result
	waiters map[JobID][]chan *job.Answer
	drain   bool
	stopped chan struct{}
}

// NewLoop returns a Loop that Run has to drive.
func NewLoop(config LoopConfig) *Loop {
	return &Loop{
		config:  config,
		ring:    make(chan func(time.Time), config.Ring),
		results: make(chan Result, config.Ring),
		waiters: make(map[JobID][]chan *job.Answer),
		stopped: make(chan struct{}),
	}
}

// Run drives the Core until ctx is cancelled.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	ticker := time.NewTicker(l.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-l.ring:
			message(l.config.Clock())
		case r := <-l.results:
			l.config.Core.Result(l.config.Clock(), r)
		case <-ticker.C:
			now := l.config.Clock()
			l.config.Core.Tick(now)
			l.config.Book.Expire(now)
		}
		l.apply(ctx, l.config.Core.Take())
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

// Submit hands in a job and waits for its answer. The ticket must be one of
// this host. If ctx ends first the job goes on and its answer is kept for a
// resubmission.
func (l *Loop) Submit(ctx context.Context, spec *job.Spec) (*job.Answer, error) {
	t, err := ticket.Parse(spec.Ticket)
	if err != nil {
		return nil, err
	}
	reply := make(chan *job.Answer, 1)
	digest := spec.Digest()
	err = l.post(func(now time.Time) { l.submit(now, t, spec, digest, reply) })
	if err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, failure.New(failure.AnswerLost, "the caller did not wait for the answer")
	case <-l.stopped:
		return nil, failure.New(failure.AnswerLost, "the host stopped before the answer")
	}
}

func (l *Loop) submit(now time.Time, t ticket.Ticket, spec *job.Spec, digest uint64, reply chan *job.Answer) {
	if err := l.config.Minter.Check(spec.Ticket, now); err != nil {
		reply <- job.Refuse(err)
		return
	}
	state, answer, err := l.config.Book.Begin(t.Seq, digest, t.Expires)
	switch {
	case err != nil:
		reply <- job.Refuse(err)
	case state == record.Answered:
		reply <- answer
	case state == record.Running:
		l.wait(JobID(t.Seq), reply)
	default:
		l.admit(now, t.Seq, spec, reply)
	}
}

func (l *Loop) wait(id JobID, reply chan *job.Answer) {
	l.waiters[id] = append(l.waiters[id], reply)
}

func (l *Loop) admit(now time.Time, seq uint64, spec *job.Spec, reply chan *job.Answer) {
	err := l.refuseDraining()
	if err == nil {
		err = l.config.Core.Submit(now, JobID(seq), spec)
	}
	if err != nil {
		l.config.Book.Forget(seq)
		reply <- job.Refuse(err)
		return
	}
	l.wait(JobID(seq), reply)
}

func (l *Loop) refuseDraining() error {
	if !l.drain {
		return nil
	}
	return failure.New(failure.Draining, "the host is stopping")
}

// Cancel withdraws the job of a ticket of this host. A ticket that was never
// used is used up, so that a submission still on its way starts nothing.
func (l *Loop) Cancel(text string) error {
	t, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	if err := l.config.Minter.Check(text, l.config.Clock()); err != nil {
		return err
	}
	return l.post(func(now time.Time) {
		withdrawn := job.Refuse(failure.New(failure.Cancelled, "the caller withdrew the job"))
		if !l.config.Book.Void(t.Seq, t.Expires, withdrawn) {
			l.config.Core.Cancel(now, JobID(t.Seq))
		}
	})
}

// SetTargets adds or updates targets.
func (l *Loop) SetTargets(list []Target) error {
	return l.post(func(now time.Time) { l.config.Core.SetTargets(now, list) })
}

// Drain makes the Loop refuse jobs that it does not know yet.
func (l *Loop) Drain() error {
	return l.post(func(time.Time) { l.drain = true })
}

// Status is a count of what a Loop holds.
type Status struct {
	Jobs    int
	Queued  int
	Running int
	Answers int
	Targets []Target
}

// Status returns what the Loop holds.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	if err := l.post(func(time.Time) { reply <- l.status() }); err != nil {
		return Status{}, err
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-l.stopped:
		return Status{}, failure.New(failure.Draining, "the host has stopped")
	}
}

func (l *Loop) status() Status {
	c := l.config.Core
	return Status{
		Jobs:    c.Jobs(),
		Queued:  c.Queued(),
		Running: c.Running(),
		Answers: l.config.Book.Stored(),
		Targets: c.Targets(),
	}
}

// apply carries out the effects of the Core. Each start gets a goroutine, so
// their number is bounded by the slots of all targets.
func (l *Loop) apply(ctx context.Context, out Effects) {
	for _, s := range out.Starts {
		go l.send(ctx, s)
	}
	for _, f := range out.Finishes {
		l.finish(f)
	}
}

func (l *Loop) send(ctx context.Context, s Start) {
	result := l.config.Sender.Send(ctx, s)
	select {
	case l.results <- result:
	case <-l.stopped:
	}
}

func (l *Loop) finish(f Finish) {
	l.config.Book.Finish(uint64(f.Job), f.Answer)
	for _, reply := range l.waiters[f.Job] {
		reply <- f.Answer
	}
	delete(l.waiters, f.Job)
}
