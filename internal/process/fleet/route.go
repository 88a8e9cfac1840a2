package fleet

import (
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// route finds the host that runs a job.
type route struct {
	findHolder func() (address string, ok bool)                       // returns the pool's current holder; false if none is known
	submitTo   func(address string, handedOver bool) scheduler.Answer // submits the job to the host; handedOver: a former holder handed it over
	pause      func() bool                                            // waits before the next attempt; false if the caller has left
	maxTries   int                                                    // attempts to find a holder before a job is refused
}

// submit submits the job to one holder after another until one has an answer. If no
// holder was found, it refuses the job with the kind and reason of noHolder. A job that
// was handed over while it ran is never refused: it may have run.
func (r route) submit(noHolder scheduler.Answer) scheduler.Answer {
	answer, handedOver, nextHolder := noHolder, false, ""
	for try := 0; try < r.maxTries || handedOver && try < handedOverTries; try++ {
		address, ok := r.findHolder()
		if nextHolder != "" {
			address, ok, nextHolder = nextHolder, true, ""
		}
		if ok {
			answer = r.submitTo(address, handedOver)
			if answer.Outcome != scheduler.Moved {
				return unknownIfHandedOver(answer, handedOver)
			}
			handedOver = handedOver || answer.HandedOver
			nextHolder = answer.Holder
		}
		if !answer.HandedOver && !r.pause() {
			break
		}
	}
	answer.Outcome = scheduler.Refused
	answer.RetryAfter = failure.Lookup(failure.NotReady).RetryAfter
	return unknownIfHandedOver(answer, handedOver)
}

// unknownIfHandedOver turns the refusal of a job that was handed over while it ran
// into an unknown outcome.
func unknownIfHandedOver(a scheduler.Answer, handedOver bool) scheduler.Answer {
	if !handedOver || a.Outcome == scheduler.Completed || a.Outcome == scheduler.Failed {
		return a
	}
	return scheduler.Answer{
		Outcome: scheduler.Broken, Kind: failure.AnswerLost, Reason: "the job was handed over, then: " + a.Reason,
	}
}
