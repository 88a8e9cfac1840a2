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
	requestTimeout       = 250 * time.Millisecond // of a start or stop; a target answers within a few
	renewMaxWait         = 300 * time.Millisecond // a target holds its answer for so long while nothing ends, at most
	renewLeaseDivisor    = 3                      // the wait is at most this part of a lease: the next renewal must come in time
	renewAnswerMargin    = 200 * time.Millisecond // beyond the wait, until a renewal counts as lost
	renewRetryDelay      = 60 * time.Millisecond  // after a renewal that failed
	clearingPollInterval = 30 * time.Millisecond  // between looks at a target whose former runs are being stopped
	stopSettleTime       = 80 * time.Millisecond  // after a confirmed stop, until the run is surely gone
	maxAckDelay          = time.Second            // ends are acknowledged at the latest after this
	leaseMargin          = 100 * time.Millisecond // beyond the lease, for clocks that run apart
	maxUnansweredLeases  = 2                      // renewals that carry a lease while none is answered
)

// session orders one incarnation of a target under one fencing token. One
// goroutine renews the lease while something runs there; starts and stops go
// beside it.
type session struct {
	pool        *pool
	ref         TargetRef
	incarnation uint64
	token       uint64
	clearing    atomic.Bool  // runs of a former holder may be there
	movingAway  bool         // the target goes to another part; owned by the pool
	fencedAt    time.Time    // when a leaving target obeyed the new holder; owned by the pool
	activeRuns  atomic.Int32 // runs that the scheduler knows there
	wake        chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	mu          sync.Mutex
	clockOffset int64     // the target's clock less the local steady one, milliseconds
	leaseSentAt time.Time // when the last order with a lease was sent

	// Owned by the renewing goroutine.
	recordedEnd         uint64 // the last end that was taken in
	acknowledgedEnd     uint64 // the last end that the target knows to be taken in
	unansweredRenewals  int    // renewals in a row without an answer
	leaseExpiryReported bool   // the scheduler was told that the leases have ended
}

// processStart is the origin of the local steady clock.
var processStart = time.Now()

// steadyMillis returns a time in milliseconds on a clock that never jumps.
func steadyMillis(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

func newSession(p *pool, a Announcement) *session {
	s := &session{
		pool:        p,
		ref:         TargetRef{ID: a.Target.ID, Address: a.Target.Address},
		incarnation: a.Target.Incarnation,
		token:       p.holderView.Claim().Token,
		wake:        make(chan struct{}, 1),
	}
	s.clearing.Store(true)
	s.leaseSentAt = time.Now() // by a former session, whose orders may still come
	s.clockOffset = a.ClockMS - steadyMillis(a.ReceivedAt)
	return s
}

func (s *session) open(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	go s.renewLoop()
}

func (s *session) close() {
	if s.cancel != nil {
		s.cancel()
	}
}

// setActiveRuns tells the session how many runs the scheduler knows there.
func (s *session) setActiveRuns(runs int) {
	if s.activeRuns.Swap(int32(runs)) == 0 && runs > 0 {
		s.wakeRenewLoop()
	}
}

func (s *session) wakeRenewLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// post passes what was learned to the pool's owner.
func (s *session) post(handle func(p *pool, now time.Time)) {
	if s.ctx.Err() == nil {
		s.pool.post(sessionEvent{s, handle})
	}
}

// extendLease returns the end of a full extendLease on the target's clock, and notes that
// an order with it is being sent.
func (s *session) extendLease() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.leaseSentAt = now
	return steadyMillis(now) + s.clockOffset + s.pool.node.config.MaxLease.Milliseconds()
}

func (s *session) syncClock(clock int64) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset = clock - steadyMillis(time.Now())
}

// leaseExpired reports whether every lease that was sent has ended.
func (s *session) leaseExpired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.leaseSentAt) > s.pool.node.config.MaxLease+leaseMargin
}

// requestStart orders a run, beside other orders.
func (s *session) requestStart(e scheduler.Start) {
	request := StartRequest{Run: e.Run, Spec: e.Spec, LeaseUntilMS: s.extendLease(), Token: s.token}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		result, clock := s.pool.node.config.Targets.Start(ctx, s.ref, request)
		s.syncClock(clock)
		s.post(func(p *pool, now time.Time) {
			if result != scheduler.Started {
				p.log.Info("A start was not made.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number,
					"target", s.ref.ID, "result", result.String())
			}
			p.metrics.recordStart(result)
			if result == scheduler.Fenced {
				p.handleFenced(s, now)
				return
			}
			p.applyEffects(p.core.HandleStartResult(s.ref.ID, e.Run, result, now), now)
			if result == scheduler.WrongTarget {
				p.removeTarget(s.ref.ID, now)
			}
		})
	}()
}

// requestStop orders the end of a run until the target confirms it or all leases have
// ended.
func (s *session) requestStop(r scheduler.Run) {
	go func() {
		for s.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
			err := s.pool.node.config.Targets.Stop(ctx, s.ref, r, s.token)
			cancel()
			switch {
			case err == nil:
				s.wakeRenewLoop()
				time.Sleep(stopSettleTime)
				s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.HandleRunStopped(s.ref.ID, r, now), now) })
				return
			case errors.Is(err, ErrFenced):
				s.post(func(p *pool, now time.Time) { p.handleFenced(s, now) })
				return
			case errors.Is(err, ErrWrongTarget):
				s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, now) })
				return
			}
			time.Sleep(renewRetryDelay)
			if s.leaseExpired(time.Now()) {
				return // the renewing goroutine says so
			}
		}
	}()
}

// renewLoop renews the lease while something runs on the target, and
// acknowledges ends.
func (s *session) renewLoop() {
	for s.ctx.Err() == nil {
		if !s.awaitWork() {
			return
		}
		report, err := s.renew()
		switch {
		case s.ctx.Err() != nil:
			return
		case err == nil:
			s.handleReport(report)
		case errors.Is(err, ErrFenced):
			s.post(func(p *pool, now time.Time) { p.handleFenced(s, now) })
			s.pause(claimListenTime)
		case errors.Is(err, ErrWrongTarget):
			s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, now) })
			return
		default:
			s.handleUnanswered(err)
		}
	}
}

// awaitWork waits until there is something to renew or to acknowledge.
func (s *session) awaitWork() bool {
	for s.activeRuns.Load() == 0 && !s.clearing.Load() {
		var due <-chan time.Time
		if s.recordedEnd > s.acknowledgedEnd {
			due = time.After(maxAckDelay)
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
	r := RenewRequest{Token: s.token, AckCursor: s.recordedEnd}
	if s.activeRuns.Load() > 0 && s.unansweredRenewals < maxUnansweredLeases {
		r.LeaseUntilMS = s.extendLease()
	}
	if s.activeRuns.Load() > 0 && s.unansweredRenewals == 0 && !s.clearing.Load() {
		r.MaxWait = min(renewMaxWait, s.pool.node.config.MaxLease/renewLeaseDivisor)
	}
	ctx, cancel := context.WithTimeout(s.ctx, r.MaxWait+renewAnswerMargin)
	defer cancel()
	report, err := s.pool.node.config.Targets.Renew(ctx, s.ref, r)
	if err == nil {
		s.acknowledgedEnd = max(s.acknowledgedEnd, r.AckCursor)
	}
	return report, err
}

func (s *session) handleReport(r TargetReport) {
	s.unansweredRenewals = 0
	s.leaseExpiryReported = false
	s.syncClock(r.ClockMS)
	for _, e := range r.Ended {
		s.recordedEnd = max(s.recordedEnd, e.Sequence)
	}
	s.post(func(p *pool, now time.Time) {
		if r.Incarnation != 0 && r.Incarnation != s.incarnation {
			p.handleRestart(s, r, now)
			return
		}
		p.handleReport(s, r, now)
	})
	if s.clearing.Load() {
		s.pause(clearingPollInterval)
	}
}

// handleUnanswered takes in a renewal without an answer.
func (s *session) handleUnanswered(err error) {
	s.unansweredRenewals++
	if s.unansweredRenewals == 1 {
		s.pool.log.Warn("A target does not answer.", "target", s.ref.ID, "error", err)
	}
	s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.MarkUnresponsive(s.ref.ID, now), now) })
	if !s.leaseExpiryReported && s.leaseExpired(time.Now()) {
		s.leaseExpiryReported = true
		s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.ExpireLeases(s.ref.ID, now), now) })
	}
	s.pause(min(renewRetryDelay<<min(s.unansweredRenewals, 4), time.Second))
}

func (s *session) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}
