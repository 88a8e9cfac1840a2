package fleet

import (
	"context"
	"errors"
	"time"

	"wasabifield.example/wasabifield/internal/process/repeat"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// Requests name a target by its id, which it may keep when it restarts as another kind. The
// holder renews no lease of an idle target, so it does not notice the restart. Before it starts
// a task that needs a label, it asks the target for its incarnation, unless it has just answered.

// identityValidity is how long after a request an answer that named the incarnation counts. A
// target takes longer to restart.
const identityValidity = 100 * time.Millisecond

func (s *session) recordIdentified(askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if askedAt.After(s.identifiedAt) {
		s.identifiedAt = askedAt
	}
}

func (s *session) isIdentified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.node.since(s.identifiedAt) <= identityValidity
}

// identify reports whether the target is known to be the session's incarnation, and asks it if
// necessary. If it is not, identify returns the result of a start that was not sent.
func (s *session) identify() (scheduler.StartResult, bool) {
	s.identifyMu.Lock()
	defer s.identifyMu.Unlock()
	if s.isIdentified() {
		return scheduler.Started, true
	}
	ctx, cancel := context.WithTimeout(s.ctx, repeat.MaxTimeout)
	defer cancel()
	askedAt := s.pool.node.now()
	r, err := s.pool.node.config.Targets.Renew(ctx, s.ref, RenewRequest{Token: s.token})
	switch {
	case errors.Is(err, ErrFenced):
		return scheduler.Fenced, false
	case errors.Is(err, ErrWrongTarget):
		return scheduler.WrongTarget, false
	case err != nil:
		return scheduler.NotSent, false
	case r.Incarnation != 0 && r.Incarnation != s.incarnation:
		s.post(func(p *pool, now time.Time) { p.handleRestart(s, r, now) })
		return scheduler.NotSent, false
	}
	s.recordIdentified(askedAt)
	return scheduler.Started, true
}
