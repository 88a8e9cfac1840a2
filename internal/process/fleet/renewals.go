package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/liveconn"
	"wasabifield.example/wasabifield/internal/process/repeat"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

const (
	renewMaxWait      = 300 * time.Millisecond // how long a target delays its answer while no run ends, at most
	renewLeaseDivisor = 3                      // the wait is at most the lease divided by this: the next renewal must arrive in time
	renewAnswerMargin = 200 * time.Millisecond // beyond the wait, until a renewal counts as lost at the latest
	renewRetryDelay   = 60 * time.Millisecond  // after a renewal that failed
	// renewTimeouts is the margin beyond the wait in timeouts of a start request: a target
	// that waits for an end answers up to a timeout later than one that answers at once.
	renewTimeouts = 2
	// lossyWaitTimeouts is the longest wait at a target that leaves requests unanswered, in
	// timeouts of a start request. The ends that a lost answer reports are known only
	// after the wait.
	lossyWaitTimeouts = 4
	// maxOverlapping is how many renewals may overlap before one is answered.
	maxOverlapping = 3
	// maxSilence is for how long a target may leave renewals unanswered until it is
	// excluded from placement, whatever share of them it has left unanswered before. After
	// that, renewals extend no lease.
	maxSilence = renewMaxWait + renewAnswerMargin
)

// renewals is the state of a session's renewal requests.
type renewals struct {
	results         chan *renewal // answered or failed
	sent            uint64
	reported        uint64         // number of the newest renewal that was answered
	reportedClock   int64          // the target's clock in the newest report that was handled
	recordedEnd     uint64         // sequence number of the last ended run that was recorded
	acknowledgedEnd uint64         // sequence number of the last ended run whose acknowledgement reached the target
	call            *liveconn.Call // of the renewals since the last answer
	unanswered      int            // in a row
	clockConfirmed  bool           // the target itself has stated its clock
	unreadable      int            // rows of the newest report
	excluded        bool           // the scheduler was told that the target does not answer
	silentSince     time.Time      // when the first of these was sent
	overdue         []*renewal     // not answered in time, under way, and charged to the budget
	suspicion       repeat.Suspicion
}

// renewal is one renewal request and its result.
type renewal struct {
	number    uint64
	call      *liveconn.Call // shared by those that are sent because the one before was not answered
	request   RenewRequest
	lease     lease
	sentAt    time.Time
	isOverdue bool
	report    TargetReport
	err       error
}

// renewLoop renews the lease while something runs on the target, and acknowledges ended
// runs. A renewal that is not answered in time is sent again while the answer to it may
// still come.
func (s *session) renewLoop() {
	defer func() { s.settleOverdue(s.renewals.sent + 1) }()
	for s.ctx.Err() == nil && s.awaitWork() && s.renew() {
	}
}

// awaitWork waits until there is a lease to renew or an ended run to acknowledge. It
// reports false once the session is closed.
func (s *session) awaitWork() bool {
	for s.activeRuns.Load() == 0 && !s.clearing.Load() {
		var due <-chan time.Time
		if s.renewals.recordedEnd > s.renewals.acknowledgedEnd {
			due = time.After(maxAckDelay)
		}
		select {
		case <-s.ctx.Done():
			return false
		case <-s.wake:
		case r := <-s.renewals.results:
			s.handleRenewal(r)
		case <-due:
			return true
		}
	}
	return true
}

// renew sends a renewal request and waits until it is answered or overdue. It reports
// false once the target has been replaced or the session is closed.
func (s *session) renew() bool {
	current := s.sendRenewal()
	timeout := current.request.MaxWait + s.renewMargin()
	due := s.pool.node.now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	leaseEnd := time.NewTimer(max(0, s.leaseRemaining(s.pool.node.now())))
	defer leaseEnd.Stop()
	next := s.overlap(current)
	paused := false
	for {
		select {
		case <-s.ctx.Done():
			return false
		case <-leaseEnd.C:
			s.reportLeaseExpiry()
		case <-next:
			return true
		case r := <-s.renewals.results:
			if !s.handleRenewal(r) {
				return false
			}
			if r.number >= current.number || r.err == nil && s.losesRequests() {
				return true
			}
		case <-timer.C:
			late := s.pool.node.since(due)
			switch {
			case late > timerSlack && !paused:
				paused = true
				timer.Reset(min(late, renewAnswerMargin))
			case s.pool.answerTimer.TryCharge():
				current.isOverdue = true
				s.renewals.overdue = append(s.renewals.overdue, current)
				s.pool.metrics.recordCopy("renewal")
				s.handleUnanswered(current, context.DeadlineExceeded)
				return true
			default:
				s.pool.metrics.recordWithheldCopy("renewal")
				due = s.pool.node.now().Add(s.renewMargin()) // the budget may allow it then; its own deadline ends it
				timer.Reset(due.Sub(s.pool.node.now()))
			}
		}
	}
}

// overlap returns a channel that delivers when the next renewal is due although a renewal
// that waits for an end is under way, or nil. At a target that loses requests, two of these
// overlap by half, so that the answer that reports an end is rarely lost. The newest one
// becomes overdue if maxOverlapping of them stay unanswered.
func (s *session) overlap(r *renewal) <-chan time.Time {
	if r.request.MaxWait == 0 || r.number > s.renewals.reported+maxOverlapping || !s.losesRequests() {
		return nil
	}
	return time.After(r.request.MaxWait / 2)
}

// renewMargin returns how long beyond its wait the answer to a renewal is awaited.
func (s *session) renewMargin() time.Duration {
	return min(renewTimeouts*s.pool.answerTimer.Timeout()<<min(s.renewals.unanswered, 4), renewAnswerMargin)
}

// sendRenewal sends one renewal request, which acknowledges the recorded ends. It extends
// the lease as far as that is allowed if runs are active and the target has not been silent for
// maxSilence. The target may delay its answer if runs are active, it answered the last renewal
// and no runs of a former holder may be there.
func (s *session) sendRenewal() *renewal {
	n := &s.renewals
	n.sent++
	if n.unanswered == 0 || n.call == nil {
		n.call = liveconn.NewCall()
	}
	r := &renewal{number: n.sent, call: n.call, request: RenewRequest{Token: s.token, AckCursor: n.recordedEnd}, sentAt: s.pool.node.now()}
	if s.activeRuns.Load() > 0 {
		if n.unanswered == 0 || s.pool.node.since(n.silentSince) < maxSilence {
			if l, ok := s.renewLease(r.sentAt); ok {
				r.lease, r.request.LeaseUntilMS = l, l.untilMS
			}
		}
		if n.unanswered == 0 && !s.clearing.Load() {
			r.request.MaxWait = s.renewWait()
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, r.request.MaxWait+renewAnswerMargin)
		defer cancel()
		r.report, r.err = s.pool.node.config.Targets.Renew(r.call.Context(ctx, r.request.MaxWait), s.ref, r.request)
		select {
		case n.results <- r:
		case <-s.ctx.Done():
		}
	}()
	return r
}

// renewWait returns how long the target may delay its answer.
func (s *session) renewWait() time.Duration {
	wait := min(renewMaxWait, s.pool.node.config.MaxLease/renewLeaseDivisor)
	if s.losesRequests() {
		wait = min(wait, lossyWaitTimeouts*s.pool.answerTimer.Timeout())
	}
	if left := s.leaseLeft(s.pool.node.now()); left > 0 { // the limit may be lifted before the lease ends
		wait = min(wait, max(left/renewLeaseDivisor, clearingPollInterval))
	}
	return wait
}

// handleRenewal handles the result of a renewal. It reports false if the target has been
// replaced.
func (s *session) handleRenewal(r *renewal) bool {
	n := &s.renewals
	switch {
	case r.err == nil:
		lost := s.settleOverdue(r.number)
		s.settle(r, true)
		s.recordSilence(r.call, "renewal")
		if r.number < n.reported {
			return true // a newer report has been handled
		}
		n.reported = r.number
		n.unanswered, n.excluded = 0, false
		n.suspicion.RecordAnswered(lost)
		n.acknowledgedEnd = max(n.acknowledgedEnd, r.request.AckCursor)
		if s.isOvertaken(r.report) {
			return true
		}
		s.handleReport(r.report, r.sentAt)
	case errors.Is(r.err, ErrFenced):
		s.settle(r, true)
		s.post(func(p *pool, now time.Time) { p.handleFenced(s, now) })
		s.pause(claimListenTime)
	case errors.Is(r.err, ErrWrongTarget):
		s.settle(r, true)
		s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now) })
		return false
	case r.isOverdue:
		s.settle(r, false)
	case r.number < n.reported:
		n.suspicion.RecordLost()
	case s.ctx.Err() == nil:
		if errors.Is(r.err, ErrNotSent) {
			s.retractLease(r.lease)
		}
		s.handleUnanswered(r, r.err)
	}
	return true
}

// settleOverdue ends the charges for the overdue renewals before one that was answered, and
// returns how many there are: these are lost rather than late.
func (s *session) settleOverdue(answered uint64) (lost int) {
	for _, r := range slices.Clone(s.renewals.overdue) {
		if r.number < answered {
			s.settle(r, false)
			lost++
		}
	}
	return lost
}

// settle ends the charge for a renewal, if it is overdue.
func (s *session) settle(r *renewal, late bool) {
	if i := slices.Index(s.renewals.overdue, r); i >= 0 {
		s.renewals.overdue = slices.Delete(s.renewals.overdue, i, i+1)
		s.pool.answerTimer.Settle(late)
	}
}

// isOvertaken reports whether a report is older than one that was handled: its target may
// have answered a later renewal first. It records the time of a report that is not.
func (s *session) isOvertaken(r TargetReport) bool {
	if r.Incarnation == 0 || r.Incarnation != s.incarnation {
		return false
	}
	if r.ClockMS < s.renewals.reportedClock {
		return true
	}
	s.renewals.reportedClock = r.ClockMS
	return false
}

func (s *session) handleReport(r TargetReport, sentAt time.Time) {
	if r.Incarnation == 0 || r.Incarnation == s.incarnation {
		s.syncClock(r.ClockMS, sentAt)
	}
	if r.Incarnation == s.incarnation && r.Incarnation != 0 {
		s.confirmClock(r.ClockMS)
		s.recordIdentified(sentAt)
	}
	for _, e := range r.Ended {
		s.renewals.recordedEnd = max(s.renewals.recordedEnd, e.Sequence)
	}
	s.post(func(p *pool, now time.Time) {
		if r.Incarnation != 0 && r.Incarnation != s.incarnation {
			p.handleRestart(s, r, now)
			return
		}
		p.handleReport(s, r, now)
	})
	if r.Unreadable != s.renewals.unreadable {
		s.renewals.unreadable = r.Unreadable
		s.pool.log.Warn("The rows of a target's lists that cannot be read are left out.", "target", s.ref.ID, "rows", r.Unreadable, "error", r.FirstError)
	}
	if s.clearing.Load() || r.Unreadable > 0 { // an end that cannot be acknowledged is answered at once
		s.pause(clearingPollInterval)
	}
}

// handleUnanswered handles a renewal that failed or was not answered in time. The target
// is excluded from placement once it is suspected, and at once if it accepts no
// connection.
func (s *session) handleUnanswered(r *renewal, err error) {
	n := &s.renewals
	if n.unanswered == 0 {
		n.silentSince = r.sentAt
	}
	n.unanswered++
	n.suspicion.RecordUnanswered()
	silence := s.pool.node.since(n.silentSince)
	if n.suspicion.Suspected() || errors.Is(err, ErrNotSent) || silence >= maxSilence {
		if !n.excluded {
			n.excluded = true
			s.pool.log.Warn("A target does not answer.", "target", s.ref.ID, "error", err, "unanswered", n.unanswered, "age", silence)
		}
		s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.MarkUnresponsive(s.ref.ID, now), now) })
	}
	s.reportLeaseExpiry()
	if r.isOverdue && !n.excluded {
		return // an answer may still come while the next renewal is under way
	}
	delay := min(renewRetryDelay<<min(n.unanswered-1, 4), time.Second)
	if remaining := s.leaseRemaining(s.pool.node.now()); 0 < remaining && remaining < delay {
		s.pause(remaining) // the tasks wait for the expiry
		s.reportLeaseExpiry()
		delay -= remaining
	}
	s.pause(delay)
}
