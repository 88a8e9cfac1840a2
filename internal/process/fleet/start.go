package fleet

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/process/repeat"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// requestStart sends a start request, concurrently with other requests, and passes its
// result to the scheduler. Its lease runs from the decision on. It returns when the request was sent.
func (s *session) requestStart(e scheduler.Start, decidedAt time.Time) time.Time {
	l := s.extendLease(decidedAt)
	request := StartRequest{Run: e.Run, Spec: e.Spec, LeaseUntilMS: l.untilMS, Token: s.token}
	givenUp, answered := false, false
	x := &exchange[scheduler.StartResult]{session: s, name: "start"}
	x.send = func(ctx context.Context) (scheduler.StartResult, copyFate) { return s.sendStart(ctx, request) }
	x.handle = func(result scheduler.StartResult, copies *repeat.Copies) bool {
		answered = answered || result != scheduler.NotSent
		decision := decideStart(result, copies)
		if decision.wait || givenUp && !decision.certain {
			return false
		}
		decision.copies = copies.Count()
		s.handleStartResult(e.Run, decision)
		return true
	}
	x.giveUp = func() {
		givenUp = true
		s.handleStartResult(e.Run, startDecision{result: scheduler.Unanswered, certain: true, copies: x.copies.Count()})
	}
	send := func() {
		x.run()
		if givenUp {
			s.pool.metrics.recordGivenUpStart(answered)
		}
	}
	if e.Label == "" {
		go send()
	} else {
		go s.startIdentified(e.Run, send)
	}
	return l.sentAt
}

// sendStart sends one copy of a start request and returns its result.
func (s *session) sendStart(ctx context.Context, request StartRequest) (scheduler.StartResult, copyFate) {
	earliest, sentAt := s.latestClock(), s.pool.node.now()
	result, clock := s.pool.node.config.Targets.Start(ctx, s.ref, request)
	switch result {
	case scheduler.Unanswered:
		return result, copyUnanswered
	case scheduler.NotSent:
		return result, copyNotSent
	}
	if clock != 0 && clock < earliest {
		if result == scheduler.Started {
			result = scheduler.StartedByOther
		}
		return result, copyAnswered
	}
	s.syncClock(clock, sentAt)
	return result, copyAnswered
}

// startDecision is what the result of one copy of a start request decides.
type startDecision struct {
	result  scheduler.StartResult
	certain bool // of a refusal: no other copy can start the run
	wait    bool // another copy decides
	copies  int  // sent until the decision
}

// decideStart decides a start request by the result of one of its copies. A refusal concerns
// that copy alone: another one may be carried out. A target that refuses a copy as outdated has
// ended the run that another copy started; its next report contains how.
func decideStart(result scheduler.StartResult, copies *repeat.Copies) startDecision {
	switch result {
	case scheduler.NotSent:
		return startDecision{result: result, certain: true, wait: copies.Pending() > 0}
	case scheduler.Outdated:
		if copies.Count() > 1 {
			return startDecision{result: scheduler.Started, certain: true}
		}
	case scheduler.NoRoom, scheduler.TooLate, scheduler.Unhealthy, scheduler.WrongTarget, scheduler.NotAccepted:
		return startDecision{result: result, certain: copies.Pending() == 0}
	}
	return startDecision{result: result, certain: true}
}

// handleStartResult passes the result of a start request to the scheduler.
func (s *session) handleStartResult(run scheduler.Run, d startDecision) {
	s.post(func(p *pool, now time.Time) {
		if d.result != scheduler.Started {
			p.log.Info("A start request did not succeed.", "job", run.Job, "task", run.TaskID(), "run", run.Number,
				"target", s.ref.ID, "result", d.result.String(), "copies", d.copies, "certain", d.certain)
		}
		p.metrics.recordStart(d.result)
		if d.result == scheduler.Fenced {
			p.handleFenced(s, now)
			return
		}
		if d.certain {
			p.applyEffects(p.core.HandleStartResult(s.ref.ID, run, d.result, now), now)
		} else {
			p.applyEffects(p.core.HandleUncertainRefusal(s.ref.ID, run, d.result, now), now)
		}
		if d.result == scheduler.WrongTarget {
			p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now)
		}
	})
}
