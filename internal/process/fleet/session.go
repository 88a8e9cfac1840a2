package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/connection/liveconn"
	"wasabifield.example/wasabifield/internal/process/repeat"
)

// Times of the requests to a target. A lease lasts max_lease, usually 1 s.
const (
	clearingPollInterval = 30 * time.Millisecond // between renewals at a target where the runs of a former holder are being stopped
	defaultRunStopTime   = 50 * time.Millisecond // that a target takes to end a run whose stop it has confirmed
	stopMargin           = 30 * time.Millisecond // beyond that time, until the target is asked whether the run has ended
	stopCopyInterval     = 80 * time.Millisecond // between copies of a stop request, whatever the budget of copies says: a target loses its lease for a run that is not known to be over
	stopRetryDelay       = 60 * time.Millisecond // after a stop request that failed with all its copies
	stopAgainDelay       = 20 * time.Millisecond // after one to which no copy was answered in time
	maxAckDelay          = time.Second           // ended runs are acknowledged at the latest after this
	leaseMargin          = 80 * time.Millisecond // beyond the lease, until the runs have surely ended
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
	listed      bool         // a report of its runs was handled; belongs to the pool's goroutine
	limitedBy   limitReport  // belongs to the pool's goroutine
	movingAway  bool         // the target moves to another shard; belongs to the pool's goroutine
	fencedAt    time.Time    // when a target that moves away obeyed its new holder; belongs to the pool's goroutine
	activeRuns  atomic.Int32 // on the target, as far as the scheduler knows
	wake        chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	mu           sync.Mutex
	clock        targetClock
	clockSeen    int64     // latest time on the target's clock that it has sent, milliseconds
	leaseSentAt  time.Time // when the last request with a lease was sent that extended it
	leaseEnd     time.Time // when the longest lease that was sent ends
	leaseLimit   time.Time // no lease may end later; zero if none may be given
	expiredLease time.Time // leaseSentAt when the scheduler was last told that the leases have expired
	identifiedAt time.Time // when the last request was sent whose answer named this incarnation

	identifyMu   sync.Mutex       // held while the target is asked for its incarnation
	unknownStops sync.Map         // by scheduler.Run: stops under way of runs that the scheduler does not know
	runSuspicion repeat.Suspicion // by start and stop requests
	renewals     renewals         // belongs to the goroutine of renewLoop
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
		renewals:    renewals{results: make(chan *renewal, 1)},
	}
	s.clearing.Store(true)
	s.leaseSentAt = s.pool.node.now() // a former session may have sent a lease until now, and its requests may still arrive
	s.clock.record(a.ClockMS, a.ReceivedAt)
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
	sentAt, previous time.Time // of the request, and of the one with a lease before it; zero if it does not extend that
	previousEnd      time.Time // of the lease before it
}

// setLeaseLimit sets when leases may end at the latest.
func (s *session) setLeaseLimit(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseLimit = until
}

// extendLease returns the longest lease that is allowed from the time of the decision to send a
// request with it, and records that the request is being sent. An order that waits in this host
// between the two, as the host pauses, is out of date as if it had waited on its way.
func (s *session) extendLease(decidedAt time.Time) lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordLease(s.allowedLease(decidedAt))
}

// renewLease returns the lease of a renewal, like extendLease, or reports false if none may be
// given. One that ends no later than a former lease is sent again, as the target may not have
// received that.
func (s *session) renewLease(decidedAt time.Time) (lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseLimit.After(decidedAt) {
		return lease{}, false
	}
	untilMS, end := s.allowedLease(decidedAt)
	if !end.After(s.leaseEnd) {
		return lease{untilMS: untilMS}, true
	}
	return s.recordLease(untilMS, end), true
}

// allowedLease returns the end of the longest lease that is allowed from a time, on the target's
// clock and on this host's. The caller holds the lock.
func (s *session) allowedLease(from time.Time) (untilMS int64, end time.Time) {
	untilMS, end = s.clock.at(from)+s.pool.node.config.MaxLease.Milliseconds(), from.Add(s.pool.node.config.MaxLease)
	if s.leaseLimit.Before(end) {
		end = s.leaseLimit
		untilMS = min(untilMS, s.clock.at(laterOf(end, from)))
	}
	return untilMS, end
}

// recordLease records that a request with a lease is being sent. The caller holds the lock.
func (s *session) recordLease(untilMS int64, end time.Time) lease {
	l := lease{untilMS: untilMS, sentAt: s.pool.node.now(), previous: s.leaseSentAt, previousEnd: s.leaseEnd}
	s.leaseSentAt, s.leaseEnd = l.sentAt, laterOf(s.leaseEnd, end)
	return l
}

// leaseLeft returns for how long the longest lease that was sent is in force, if it is limited;
// zero otherwise or once it has ended.
func (s *session) leaseLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseLimit.Before(now.Add(s.pool.node.config.MaxLease)) {
		return 0
	}
	return max(0, s.leaseEnd.Sub(now))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// syncClock records the time on the target's clock that the answer to a request carries; 0
// if it carries none.
func (s *session) syncClock(clock int64, sentAt time.Time) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.recordAnswer(clock, sentAt, s.pool.node.now())
	s.clockSeen = max(s.clockSeen, clock)
}

// syncAnnouncedClock records the time on the target's clock that an announcement carries; 0
// if it carries none.
func (s *session) syncAnnouncedClock(a Announcement) {
	if a.ClockMS == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.recordAnnounced(a.ClockMS, a.ReceivedAt)
}

// confirmClock records the time on the clock of a target that names the session's incarnation.
// The announcement that the session began with may have come from another writer, with a later
// time.
func (s *session) confirmClock(clock int64) {
	if s.renewals.clockConfirmed || clock == 0 {
		return
	}
	s.renewals.clockConfirmed = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockSeen = clock
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
	if !l.sentAt.IsZero() && s.leaseSentAt.Equal(l.sentAt) {
		s.leaseSentAt, s.leaseEnd = l.previous, l.previousEnd
	}
}

// lastLease returns when the last request with a lease was sent.
func (s *session) lastLease() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseSentAt
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

// losesRequests reports whether the target has lately left requests unanswered.
func (s *session) losesRequests() bool {
	return s.renewals.suspicion.LosesRequests() || s.runSuspicion.LosesRequests()
}

// recordSilence records that earlier copies of an answered request hung on a silent connection.
func (s *session) recordSilence(call *liveconn.Call, request string) {
	silence := call.TakeSilence()
	if silence == nil || silence.Repeated {
		return
	}
	s.pool.metrics.recordSilentConnection(request)
	s.pool.log.Warn("A connection to a target was silent.", "target", s.ref.ID, "request", request, "age", silence.Age, "requests", silence.Requests)
}

// recordTargets sets the metrics of the targets that leave requests unanswered.
func (p *pool) recordTargets() {
	lossy, suspected := 0, 0
	for _, s := range p.sessions {
		if s.losesRequests() {
			lossy++
		}
		if s.renewals.suspicion.Suspected() || s.runSuspicion.Suspected() {
			suspected++
		}
	}
	p.metrics.recordTargets(lossy, suspected, p.answerTimer.BudgetUsed())
}

// reportLeaseExpiry informs the scheduler that the leases have expired, once for each time
// that they do.
func (s *session) reportLeaseExpiry() {
	s.mu.Lock()
	sentAt := s.leaseSentAt
	due := s.leaseRemainingLocked(s.pool.node.now()) <= 0 && !s.expiredLease.Equal(sentAt)
	if due {
		s.expiredLease = sentAt
	}
	s.mu.Unlock()
	if due {
		s.post(func(p *pool, now time.Time) { p.expireLeases(s.ref.ID, sentAt, now) })
	}
}

func (s *session) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}
