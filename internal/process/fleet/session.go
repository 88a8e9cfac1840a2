package fleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// Times of the requests to a target. A lease lasts max_lease, usually 1 s.
const (
	requestTimeout       = 250 * time.Millisecond // of a stop request and, at most, of a start request; a target answers within a few milliseconds
	renewMaxWait         = 300 * time.Millisecond // how long a target delays its answer while no run ends, at most
	renewLeaseDivisor    = 3                      // the wait is at most the lease divided by this: the next renewal must arrive in time
	renewAnswerMargin    = 200 * time.Millisecond // beyond the wait, until a renewal counts as lost
	renewRetryDelay      = 60 * time.Millisecond  // after a renewal that failed
	clearingPollInterval = 30 * time.Millisecond  // between renewals at a target where the runs of a former holder are being stopped
	stopSettleTime       = 80 * time.Millisecond  // after a confirmed stop, until the run has surely ended
	maxAckDelay          = time.Second            // ended runs are acknowledged at the latest after this
	leaseMargin          = 100 * time.Millisecond // beyond the lease, for clocks that drift apart
	maxUnansweredLeases  = 2                      // a renewal extends no lease after this many consecutive unanswered ones
)

// session sends requests to one incarnation of a target under one fencing token. One
// goroutine renews the lease while something runs on the target; start and stop
// requests are sent concurrently with it.
type session struct {
	pool        *pool
	ref         TargetRef
	incarnation uint64
	token       uint64
	clearing    atomic.Bool  // runs of a former holder may be on the target
	movingAway  bool         // the target moves to another shard; belongs to the pool's goroutine
	fencedAt    time.Time    // when a target that moves away obeyed its new holder; belongs to the pool's goroutine
	activeRuns  atomic.Int32 // on the target, as far as the scheduler knows
	wake        chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	mu           sync.Mutex
	clockOffset  int64     // the target's clock minus the local monotonic clock, milliseconds
	clockSeen    int64     // latest time on the target's clock that it has sent, milliseconds
	leaseSentAt  time.Time // when the last request with a lease was sent
	expiredLease time.Time // leaseSentAt when the scheduler was last told that the leases have expired

	// These belong to the goroutine of renewLoop.
	recordedEnd        uint64 // sequence number of the last ended run that was recorded
	acknowledgedEnd    uint64 // sequence number of the last ended run whose acknowledgement reached the target
	unansweredRenewals int    // in a row
}

// processStart is the origin of the local monotonic clock.
var processStart = time.Now()

// monotonicMillis returns a time in milliseconds on the local monotonic clock, which
// never jumps.
func monotonicMillis(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

func newSession(p *pool, a Announcement) *session {
	s := &session{
		pool:        p,
		ref:         TargetRef{ID: a.Target.ID, Address: a.Target.Address},
		incarnation: a.Target.Incarnation,
		token:       p.holderView.Claim().Token,
		wake:        make(chan struct{}, 1),
	}
	s.clearing.Store(true)
	s.leaseSentAt = time.Now() // a former session may have sent a lease until now, and its requests may still arrive
	s.clockOffset = a.ClockMS - monotonicMillis(a.ReceivedAt)
	s.clockSeen = a.ClockMS
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

// setActiveRuns sets the number of runs on the target that the scheduler knows of.
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

// post passes a result to the pool's goroutine, unless the session is closed.
func (s *session) post(handle func(p *pool, now time.Time)) {
	if s.ctx.Err() == nil {
		s.pool.post(sessionEvent{s, handle})
	}
}

// lease is a lease that a request carries.
type lease struct {
	untilMS          int64     // end on the target's clock
	sentAt, previous time.Time // of the request, and of the one with a lease before it
}

// extendLease returns a full lease and records that a request with it is being sent.
func (s *session) extendLease() lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l := lease{untilMS: monotonicMillis(now) + s.clockOffset + s.pool.node.config.MaxLease.Milliseconds(), sentAt: now, previous: s.leaseSentAt}
	s.leaseSentAt = now
	return l
}

// syncClock records the time on the target's clock that an answer carries; 0 if it
// carries none.
func (s *session) syncClock(clock int64) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset = clock - monotonicMillis(time.Now())
	s.clockSeen = max(s.clockSeen, clock)
}

// latestClock returns the latest time on the target's clock that it has sent. The answer
// of the same incarnation to a request that is sent now carries no earlier one: the clock
// never goes back, but begins again with each incarnation.
func (s *session) latestClock() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clockSeen
}

// retractLease undoes extendLease for a request that was not sent, unless another one
// has extended the lease since.
func (s *session) retractLease(l lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseSentAt.Equal(l.sentAt) {
		s.leaseSentAt = l.previous
	}
}

// leaseRemaining returns how long a lease that was sent may still be in force; zero or
// less once every one has expired.
func (s *session) leaseRemaining(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseRemainingLocked(now)
}

// leaseRemainingLocked is leaseRemaining for a caller that holds the lock.
func (s *session) leaseRemainingLocked(now time.Time) time.Duration {
	return s.leaseSentAt.Add(s.pool.node.longestLease()).Sub(now)
}

func (s *session) leaseExpired(now time.Time) bool { return s.leaseRemaining(now) <= 0 }

// requestStop sends stop requests for a run until the target confirms one or all
// leases have expired. If the start request was not answered, the target is asked whether
// the run is there: if not, its task need not wait for the run to end.
func (s *session) requestStop(r scheduler.Run, startUnanswered bool) {
	go func() {
		for s.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
			err := s.pool.node.config.Targets.Stop(ctx, s.ref, r, s.token)
			cancel()
			switch {
			case err == nil:
				s.wakeRenewLoop()
				if !startUnanswered || !s.runIsAbsent(r) {
					time.Sleep(stopSettleTime)
				}
				s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.HandleRunStopped(s.ref.ID, r, now), now) })
				return
			case errors.Is(err, ErrFenced):
				s.post(func(p *pool, now time.Time) { p.handleFenced(s, now) })
				return
			case errors.Is(err, ErrWrongTarget):
				s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now) })
				return
			}
			time.Sleep(renewRetryDelay)
			if s.leaseExpired(time.Now()) {
				return // renewLoop reports the expiry
			}
		}
	}()
}

// runIsAbsent reports whether the target says that it has no run r, running or ended.
func (s *session) runIsAbsent(r scheduler.Run) bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.pool.startTimeout.get())
	defer cancel()
	report, err := s.pool.node.config.Targets.Renew(ctx, s.ref, RenewRequest{Token: s.token})
	return err == nil && (report.Incarnation == 0 || report.Incarnation == s.incarnation) && !report.lists(r)
}

// renewLoop renews the lease while something runs on the target, and acknowledges
// ended runs.
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
			s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now) })
			return
		default:
			s.handleUnanswered(err)
		}
	}
}

// awaitWork waits until there is a lease to renew or an ended run to acknowledge. It
// reports false once the session is closed.
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

// renew sends one renewal request, which acknowledges the recorded ends. It extends the
// lease if runs are active and the target has not left maxUnansweredLeases renewals
// unanswered. The target may delay its answer if runs are active, it answered the last
// renewal and no runs of a former holder may be there.
func (s *session) renew() (TargetReport, error) {
	r := RenewRequest{Token: s.token, AckCursor: s.recordedEnd}
	var extended lease
	if s.activeRuns.Load() > 0 && s.unansweredRenewals < maxUnansweredLeases {
		extended = s.extendLease()
		r.LeaseUntilMS = extended.untilMS
	}
	if s.activeRuns.Load() > 0 && s.unansweredRenewals == 0 && !s.clearing.Load() {
		r.MaxWait = min(renewMaxWait, s.pool.node.config.MaxLease/renewLeaseDivisor)
	}
	ctx, cancel := context.WithTimeout(s.ctx, r.MaxWait+renewAnswerMargin)
	defer cancel()
	report, err := s.pool.node.config.Targets.Renew(ctx, s.ref, r)
	switch {
	case err == nil:
		s.acknowledgedEnd = max(s.acknowledgedEnd, r.AckCursor)
	case errors.Is(err, ErrNotSent):
		s.retractLease(extended)
	}
	return report, err
}

func (s *session) handleReport(r TargetReport) {
	s.unansweredRenewals = 0
	if r.Incarnation == 0 || r.Incarnation == s.incarnation {
		s.syncClock(r.ClockMS)
	}
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

// handleUnanswered handles a renewal that got no answer.
func (s *session) handleUnanswered(err error) {
	s.unansweredRenewals++
	if s.unansweredRenewals == 1 {
		s.pool.log.Warn("A target does not answer.", "target", s.ref.ID, "error", err)
	}
	s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.MarkUnresponsive(s.ref.ID, now), now) })
	s.reportLeaseExpiry()
	delay := min(renewRetryDelay<<min(s.unansweredRenewals, 4), time.Second)
	if remaining := s.leaseRemaining(time.Now()); 0 < remaining && remaining < delay {
		s.pause(remaining) // the tasks wait for the expiry
		s.reportLeaseExpiry()
		delay -= remaining
	}
	s.pause(delay)
}

// reportLeaseExpiry tells the scheduler that the leases have expired, once for each time
// that they do.
func (s *session) reportLeaseExpiry() {
	s.mu.Lock()
	due := s.leaseRemainingLocked(time.Now()) <= 0 && !s.expiredLease.Equal(s.leaseSentAt)
	if due {
		s.expiredLease = s.leaseSentAt
	}
	s.mu.Unlock()
	if due {
		s.post(func(p *pool, now time.Time) {
			if s.leaseExpired(now) { // otherwise a start request has carried a new lease since
				p.applyEffects(p.core.ExpireLeases(s.ref.ID, now), now)
			}
		})
	}
}

func (s *session) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}
