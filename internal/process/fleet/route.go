package fleet

import (
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// route finds the host that runs a job.
type route struct {
	holder func() (address string, ok bool)      // of the pool at the moment
	ask    func(address string) scheduler.Answer // submits the job there
	pause  func() bool                           // waits a little; false if the caller has left
	tries  int                                   // looks for a holder before a job is refused
}

// submit asks one holder after another until one has an answer; none is the
// answer while no holder is known. A job that was handed over while it ran is
// never refused: it may have run.
func (r route) submit(none scheduler.Answer) scheduler.Answer {
	answer, handed, next := none, false, ""
	for try := 0; try < r.tries || handed && try < handedTries; try++ {
		address, ok := r.holder()
		if next != "" {
			address, ok, next = next, true, ""
		}
		if ok {
			answer = r.ask(address)
			if answer.Outcome != scheduler.Moved {
				return truthful(answer, handed)
			}
			handed = handed || answer.HandedOver
			next = answer.Holder
		}
		if !answer.HandedOver && !r.pause() {
			break
		}
	}
	answer.Outcome = scheduler.Refused
	answer.RetryAfter = failure.Lookup(failure.NotReady).ComeBack
	return truthful(answer, handed)
}

// truthful turns the refusal of a job that was handed over while it ran into an
// unknown end.
func truthful(a scheduler.Answer, handed bool) scheduler.Answer {
	if !handed || a.Outcome == scheduler.Completed || a.Outcome == scheduler.Failed {
		return a
	}
	return scheduler.Answer{
		Outcome: scheduler.Broken, Kind: failure.AnswerLost, Reason: "the job was handed over, then: " + a.Reason,
	}
}
