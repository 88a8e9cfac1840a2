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

// identify asks the target for its incarnation unless it is known. It returns why a start must
// not be sent: the result of the start, and the report of a target that has restarted.
func (s *session) identify() (result scheduler.StartResult, restarted *TargetReport, ok bool) {
	s.identifyMu.Lock()
	defer s.identifyMu.Unlock()
	if s.isIdentified() {
		return 0, nil, true
	}
	ctx, cancel := context.WithTimeout(s.ctx, repeat.MaxTimeout)
	defer cancel()
	askedAt := s.pool.node.now()
	r, err := s.pool.node.config.Targets.Renew(ctx, s.ref, RenewRequest{Token: s.token})
	switch {
	case errors.Is(err, ErrFenced):
		return scheduler.Fenced, nil, false
	case errors.Is(err, ErrWrongTarget):
		return scheduler.WrongTarget, nil, false
	case err != nil:
		return scheduler.NotSent, nil, false
	case r.Incarnation != 0 && r.Incarnation != s.incarnation:
		return scheduler.NotSent, &r, false
	}
	s.recordIdentified(askedAt)
	return 0, nil, true
}

// startIdentified sends the start of a task that needs a label with send, unless the target is not
// known to be the session's incarnation. The run of a start that was not sent is over before the
// restart is handled, so it is not taken for lost with the target.
func (s *session) startIdentified(run scheduler.Run, send func()) {
	result, restarted, ok := s.identify()
	if ok {
		send()
		return
	}
	s.handleStartResult(run, startDecision{result: result, certain: true})
	if restarted != nil {
		s.post(func(p *pool, now time.Time) { p.handleRestart(s, *restarted, now) })
	}
}
