package fleet

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// requestStart sends a start request, concurrently with other requests, and passes its
// result to the scheduler.
func (s *session) requestStart(e scheduler.Start) {
	request := StartRequest{Run: e.Run, Spec: e.Spec, LeaseUntilMS: s.extendLease().untilMS, Token: s.token}
	s.pool.startTimeout.recordRequest()
	go func() {
		sentAt := time.Now()
		answer := make(chan scheduler.StartResult, 1)
		go func() { answer <- s.sendStart(request) }()
		s.awaitStart(e.Run, sentAt, answer)
	}()
}

// sendStart sends a start request and returns its result. The request is cancelled only
// after maxStartTimeout, also if it was given up before: that would close its connection,
// and its answer, though late, shows how long answers take.
func (s *session) sendStart(request StartRequest) scheduler.StartResult {
	ctx, cancel := context.WithTimeout(s.ctx, maxStartTimeout)
	defer cancel()
	earliest := s.latestClock()
	result, clock := s.pool.node.config.Targets.Start(ctx, s.ref, request)
	if clock != 0 && clock < earliest {
		if result == scheduler.Started {
			return scheduler.StartedByOther
		}
		return result
	}
	s.syncClock(clock)
	return result
}

// awaitStart waits for the answer to a start request. It gives the request up once the
// start timeout has passed and the budget allows it, and still passes on the result if
// that comes later.
func (s *session) awaitStart(run scheduler.Run, sentAt time.Time, answer <-chan scheduler.StartResult) {
	timeouts := &s.pool.startTimeout
	estimated := timeouts.get()
	timeout := estimated // later the whole time if the budget does not allow less
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	givenUp, paused := false, false
	for {
		select {
		case result := <-answer:
			timeouts.observeAnswer(result, time.Since(sentAt), estimated, givenUp)
			if givenUp {
				s.pool.metrics.recordGivenUpStart(result != scheduler.Unanswered)
			}
			if result != scheduler.Unanswered || !givenUp {
				s.handleStartResult(run, result)
			}
			return
		case <-timer.C:
			late := time.Since(sentAt) - timeout
			switch {
			case timeout >= maxStartTimeout: // sendStart returns now
			case late > timerSlack && !paused:
				paused = true // this host was: the answer may have arrived meanwhile
				timer.Reset(min(late, timeout))
			case !timeouts.tryGiveUp():
				s.pool.metrics.recordWithheldStartTimeout()
				timeout = maxStartTimeout
			default:
				givenUp = true
				s.handleStartResult(run, scheduler.Unanswered)
			}
		}
	}
}

// handleStartResult passes the result of a start request to the scheduler.
func (s *session) handleStartResult(run scheduler.Run, result scheduler.StartResult) {
	s.post(func(p *pool, now time.Time) {
		if result != scheduler.Started {
			p.log.Info("A start request did not succeed.", "job", run.Job, "task", run.TaskID(), "run", run.Number,
				"target", s.ref.ID, "result", result.String())
		}
		p.metrics.recordStart(result)
		if result == scheduler.Fenced {
			p.handleFenced(s, now)
			return
		}
		p.applyEffects(p.core.HandleStartResult(s.ref.ID, run, result, now), now)
		if result == scheduler.WrongTarget {
			p.removeTarget(s.ref.ID, scheduler.TargetReplaced, now)
		}
	})
}
