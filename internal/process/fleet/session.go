package fleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// Times of the orders to a target. The lease is max_lease long, 1 s as a rule.
const (
	orderTimeout = 250 * time.Millisecond // of a start or stop; a target answers within a few
	renewWait    = 300 * time.Millisecond // a target holds its answer for so long while nothing ends, at most
	renewShare   = 3                      // the wait is at most this part of a lease: the next renewal must come in time
	renewSlack   = 200 * time.Millisecond // beyond the wait, until a renewal counts as lost
	renewPause   = 60 * time.Millisecond  // after a renewal that failed
	clearPause   = 30 * time.Millisecond  // between looks at a target whose former runs are being stopped
	stopSettle   = 80 * time.Millisecond  // after a confirmed stop, until the run is surely gone
	ackDelay     = time.Second            // ends are acknowledged at the latest after this
	leaseMargin  = 100 * time.Millisecond // beyond the lease, for clocks that run apart
	leaseTries   = 2                      // renewals that carry a lease while none is answered
)

// session orders one incarnation of a target under one fencing token. One
// goroutine renews the lease while something runs there; starts and stops go
// beside it.
type session struct {
	pool     *pool
	ref      TargetRef
	born     uint64
	token    uint64
	clearing atomic.Bool  // runs of a former holder may be there
	leaving  bool         // the target goes to another part; owned by the pool
	fencedAt time.Time    // when a leaving target obeyed the new holder; owned by the pool
	active   atomic.Int32 // runs that the scheduler knows there
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	offset   int64     // the target's clock less the local steady one, milliseconds
	extended time.Time // when the last order with a lease was sent

	// Owned by the renewing goroutine.
	acked   uint64 // the last end that was taken in
	told    uint64 // the last end that the target knows to be taken in
	missing int    // renewals in a row without an answer
	lapsed  bool   // the scheduler was told that the leases have ended
}

// processStart is the origin of the local steady clock.
var processStart = time.Now()

// steady returns a time in milliseconds on a clock that never jumps.
func steady(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

func newSession(p *pool, a Announcement) *session {
	s := &session{
		pool:  p,
		ref:   TargetRef{ID: a.Target.ID, Address: a.Target.Address},
		born:  a.Target.Incarnation,
		token: p.view.Claim().Token,
		wake:  make(chan struct{}, 1),
	}
	s.clearing.Store(true)
	s.extended = time.Now() // by a former session, whose orders may still come
	s.offset = a.ClockMS - steady(a.ReceivedAt)
	return s
}

func (s *session) begin(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	go s.renewLoop()
}

func (s *session) close() {
	if s.cancel != nil {
		s.cancel()
	}
}

// setActive tells the session how many runs the scheduler knows there.
func (s *session) setActive(runs int) {
	if s.active.Swap(int32(runs)) == 0 && runs > 0 {
		s.signal()
	}
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// tell passes what was learned to the pool's owner.
func (s *session) tell(what func(p *pool, now time.Time)) {
	if s.ctx.Err() == nil {
		s.pool.tell(targetEvent{s, what})
	}
}

// lease returns the end of a full lease on the target's clock, and notes that
// an order with it is being sent.
func (s *session) lease() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.extended = now
	return steady(now) + s.offset + s.pool.node.config.MaxLease.Milliseconds()
}

func (s *session) setClock(clock int64) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset = clock - steady(time.Now())
}

// leaseOver reports whether every lease that was sent has ended.
func (s *session) leaseOver(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.extended) > s.pool.node.config.MaxLease+leaseMargin
}

// start orders a run, beside other orders.
func (s *session) start(e scheduler.Start) {
	order := StartRequest{Run: e.Run, Spec: e.Spec, LeaseUntilMS: s.lease(), Token: s.token}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		result, clock := s.pool.node.config.Targets.Start(ctx, s.ref, order)
		s.setClock(clock)
		s.tell(func(p *pool, now time.Time) {
			if result != scheduler.Started {
				p.log.Info("A start was not made.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number,
					"target", s.ref.ID, "result", result.String())
			}
			p.watch.start(result)
			if result == scheduler.Fenced {
				p.onFenced(s, now)
				return
			}
			p.apply(p.core.HandleStartResult(s.ref.ID, e.Run, result, now), now)
			if result == scheduler.WrongTarget {
				p.removeTarget(s.ref.ID, now)
			}
		})
	}()
}

// stop orders the end of a run until the target confirms it or all leases have
// ended.
func (s *session) stop(r scheduler.Run) {
	go func() {
		for s.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
			err := s.pool.node.config.Targets.Stop(ctx, s.ref, r, s.token)
			cancel()
			switch {
			case err == nil:
				s.signal()
				time.Sleep(stopSettle)
				s.tell(func(p *pool, now time.Time) { p.apply(p.core.HandleRunStopped(s.ref.ID, r, now), now) })
				return
			case errors.Is(err, ErrFenced):
				s.tell(func(p *pool, now time.Time) { p.onFenced(s, now) })
				return
			case errors.Is(err, ErrWrongTarget):
				s.tell(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, now) })
				return
			}
			time.Sleep(renewPause)
			if s.leaseOver(time.Now()) {
				return // the renewing goroutine says so
			}
		}
	}()
}

// renewLoop renews the lease while something runs on the target, and
// acknowledges ends.
func (s *session) renewLoop() {
	for s.ctx.Err() == nil {
		if !s.await() {
			return
		}
		report, err := s.renew()
		switch {
		case s.ctx.Err() != nil:
			return
		case err == nil:
			s.onReport(report)
		case errors.Is(err, ErrFenced):
			s.tell(func(p *pool, now time.Time) { p.onFenced(s, now) })
			s.pause(settleFor)
		case errors.Is(err, ErrWrongTarget):
			s.tell(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, now) })
			return
		default:
			s.onSilence(err)
		}
	}
}

// await waits until there is something to renew or to acknowledge.
func (s *session) await() bool {
	for s.active.Load() == 0 && !s.clearing.Load() {
		var due <-chan time.Time
		if s.acked > s.told {
			due = time.After(ackDelay)
		}
		select {
		case <-s.ctx.Done():
			return false
		case <-s.wake:
		case <-due:
			return true
		}
	}
	return true
}

func (s *session) renew() (TargetReport, error) {
	r := RenewRequest{Token: s.token, AckCursor: s.acked}
	if s.active.Load() > 0 && s.missing < leaseTries {
		r.LeaseUntilMS = s.lease()
	}
	if s.active.Load() > 0 && s.missing == 0 && !s.clearing.Load() {
		r.MaxWait = min(renewWait, s.pool.node.config.MaxLease/renewShare)
	}
	ctx, cancel := context.WithTimeout(s.ctx, r.MaxWait+renewSlack)
	defer cancel()
	report, err := s.pool.node.config.Targets.Renew(ctx, s.ref, r)
	if err == nil {
		s.told = max(s.told, r.AckCursor)
	}
	return report, err
}

func (s *session) onReport(r TargetReport) {
	s.missing = 0
	s.lapsed = false
	s.setClock(r.ClockMS)
	for _, e := range r.Ended {
		s.acked = max(s.acked, e.Sequence)
	}
	s.tell(func(p *pool, now time.Time) {
		if r.Incarnation != 0 && r.Incarnation != s.born {
			p.meetReborn(s, r, now)
			return
		}
		p.onReport(s, r, now)
	})
	if s.clearing.Load() {
		s.pause(clearPause)
	}
}

// onSilence takes in a renewal without an answer.
func (s *session) onSilence(err error) {
	s.missing++
	if s.missing == 1 {
		s.pool.log.Warn("A target does not answer.", "target", s.ref.ID, "error", err)
	}
	s.tell(func(p *pool, now time.Time) { p.apply(p.core.MarkUnresponsive(s.ref.ID, now), now) })
	if !s.lapsed && s.leaseOver(time.Now()) {
		s.lapsed = true
		s.tell(func(p *pool, now time.Time) { p.apply(p.core.ExpireLeases(s.ref.ID, now), now) })
	}
	s.pause(min(renewPause<<min(s.missing, 4), time.Second))
}

func (s *session) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}
