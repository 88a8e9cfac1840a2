package fleet

import (
	"cmp"
	"context"
	"errors"
	"time"

	"wasabifield.example/wasabifield/internal/connection/liveconn"
	"wasabifield.example/wasabifield/internal/process/repeat"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// requestStop sends stop requests for a run until the target confirms one or all
// leases have expired. If the start request was not answered, the target is asked whether
// the run is there: if not, its task need not wait for the run to end.
func (s *session) requestStop(r scheduler.Run, startUnanswered bool) {
	go func() {
		if !s.stopUntilConfirmed(r) {
			return
		}
		if startUnanswered && s.runIsAbsent(r) || s.awaitEnd(r) {
			s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.HandleRunStopped(s.ref.ID, r, now), now) })
		}
	}()
}

// stopUnknown stops a run that the target lists and the scheduler does not know, unless that
// is under way: the target lists the run in each report until it has ended.
func (s *session) stopUnknown(r scheduler.Run) {
	if _, underWay := s.unknownStops.LoadOrStore(r, true); underWay {
		return
	}
	go func() {
		defer s.unknownStops.Delete(r)
		if !s.stopUntilConfirmed(r) {
			return
		}
		if s.clearing.Load() {
			s.pause(s.pool.node.stopSettleTime()) // the next report tells
		} else if s.awaitEnd(r) {
			s.post(func(p *pool, now time.Time) { p.applyEffects(p.core.ReleaseUnknownRun(s.ref.ID, r, now), now) })
		}
	}()
}

// unknownRunTime returns how long after its target has listed it an unknown run has ended at
// the latest, if it is not listed again: renewals that extend its lease go on for maxSilence
// after the target's last answer.
func (n *Node) unknownRunTime() time.Duration { return renewMaxWait + maxSilence + n.longestLease() }

// stopUntilConfirmed sends stop requests until the target confirms one. It reports false if
// the session is closed, the target refuses or all leases have expired before.
func (s *session) stopUntilConfirmed(r scheduler.Run) bool {
	for s.ctx.Err() == nil {
		err := s.stop(r)
		switch {
		case err == nil:
			s.wakeRenewLoop()
			return true
		case errors.Is(err, ErrFenced):
			s.post(func(p *pool, now time.Time) { p.handleFenced(s, now) })
			return false
		case errors.Is(err, ErrWrongTarget):
			s.post(func(p *pool, now time.Time) { p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now) })
			return false
		}
		if errors.Is(err, context.DeadlineExceeded) {
			time.Sleep(stopAgainDelay)
		} else {
			time.Sleep(stopRetryDelay)
		}
		if s.leaseExpired(s.pool.node.now()) {
			return false // renewLoop reports the expiry
		}
	}
	return false
}

// awaitEnd waits until a run whose stop was confirmed has ended: a target that stands still may
// take longer than it should. It reports false if the session is closed or all leases have
// expired before.
func (s *session) awaitEnd(r scheduler.Run) bool {
	s.pause(s.pool.node.stopSettleTime())
	call := liveconn.NewCall()
	for {
		if report, ok := s.look(call); ok && !report.isRunning(r) {
			return true
		}
		if s.ctx.Err() != nil || s.leaseExpired(s.pool.node.now()) {
			return false
		}
		s.pause(stopRetryDelay)
	}
}

// stopSettleTime returns how long after a confirmed stop the run should have ended.
func (n *Node) stopSettleTime() time.Duration {
	return cmp.Or(n.config.RunStopTime, defaultRunStopTime) + stopMargin
}

// stopResult is the result of one copy of a stop request: nil once the target has confirmed
// the stop.
type stopResult struct{ err error }

// stop sends a stop request, and copies of it while none is answered.
func (s *session) stop(r scheduler.Run) error {
	decided := make(chan error, 2) // an answer may come after the request was given up
	x := &exchange[stopResult]{
		session: s, name: "stop", copyInterval: stopCopyInterval,
		send: func(ctx context.Context) (stopResult, copyFate) {
			err := s.pool.node.config.Targets.Stop(ctx, s.ref, r, s.token)
			return stopResult{err}, stopFate(err)
		},
		handle: func(result stopResult, copies *repeat.Copies) bool {
			if errors.Is(result.err, ErrNotSent) && copies.Pending() > 0 {
				return false
			}
			decided <- result.err
			return true
		},
		giveUp: func() { decided <- context.DeadlineExceeded },
	}
	go x.run()
	select {
	case err := <-decided:
		return err
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func stopFate(err error) copyFate {
	switch {
	case err == nil, errors.Is(err, ErrFenced), errors.Is(err, ErrWrongTarget), errors.Is(err, ErrUnhealthy):
		return copyAnswered
	case errors.Is(err, ErrNotSent):
		return copyNotSent
	}
	return copyUnanswered
}

// runIsAbsent reports whether the target lists no run r, running or ended.
func (s *session) runIsAbsent(r scheduler.Run) bool {
	report, ok := s.look(liveconn.NewCall())
	return ok && report.Unreadable == 0 && !report.lists(r)
}

// look asks the target for its runs. It reports false if this incarnation does not answer.
func (s *session) look(call *liveconn.Call) (TargetReport, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.pool.answerTimer.Timeout())
	defer cancel()
	report, err := s.pool.node.config.Targets.Renew(call.Context(ctx, 0), s.ref, RenewRequest{Token: s.token})
	return report, err == nil && (report.Incarnation == 0 || report.Incarnation == s.incarnation)
}
