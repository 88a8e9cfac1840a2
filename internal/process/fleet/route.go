package fleet

import (
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// route finds the host that runs a job.
type route struct {
	findHolder func() (address string, ok bool)      // of the pool at the moment
	submitTo   func(address string) scheduler.Answer // submits the job there
	pause      func() bool                           // waits a little; false if the caller has left
	maxTries   int                                   // looks for a holder before a job is refused
}

// submit asks one holder after another until one has an answer; none is the
// answer while no holder is known. A job that was handed over while it ran is
// never refused: it may have run.
func (r route) submit(noHolder scheduler.Answer) scheduler.Answer {
	answer, handedOver, nextHolder := noHolder, false, ""
	for try := 0; try < r.maxTries || handedOver && try < handedOverTries; try++ {
		address, ok := r.findHolder()
		if nextHolder != "" {
			address, ok, nextHolder = nextHolder, true, ""
		}
		if ok {
			answer = r.submitTo(address)
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
	answer.RetryAfter = failure.Lookup(failure.NotReady).ComeBack
	return unknownIfHandedOver(answer, handedOver)
}

// unknownIfHandedOver turns the refusal of a job that was handed over while it ran into an
// unknown end.
func unknownIfHandedOver(a scheduler.Answer, handedOver bool) scheduler.Answer {
	if !handedOver || a.Outcome == scheduler.Completed || a.Outcome == scheduler.Failed {
		return a
	}
	return scheduler.Answer{
		Outcome: scheduler.Broken, Kind: failure.AnswerLost, Reason: "the job was handed over, then: " + a.Reason,
	}
}
