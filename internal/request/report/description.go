package report

import "wasabifield.example/wasabifield/internal/request/failure"

// descriptions describes each kind of failure for readers who do not know the
// system's terms.
var descriptions = map[failure.Kind]string{
	failure.InvalidRequest:    "the request was not written correctly",
	failure.TooLarge:          "the request was larger than allowed",
	failure.TicketRequired:    "the request came without the number that it needs to be counted once",
	failure.TicketInvalid:     "the request's number was not given out by this service",
	failure.TicketExpired:     "the request came after its number had run out",
	failure.TicketReused:      "the request's number had been used for another request",
	failure.RecordLost:        "the machine that knew of the request had been restarted",
	failure.HolderUnreachable: "the machine that knows of the request could not be reached",
	failure.NotReady:          "the machine had just started and had no rules yet",
	failure.Draining:          "the machine was being stopped for planned work",
	failure.NotSupported:      "a kind of work was asked for that the service does not do yet",
	failure.NeverRunnable:     "nothing that is connected could ever do the work",
	failure.NoTargets:         "nothing that could do the work was connected at that time",
	failure.OverQuota:         "the team had used up its agreed share",
	failure.Overloaded:        "too much was waiting already",
	failure.DeadlineTooShort:  "there was not enough time left to finish",
	failure.Cancelled:         "the caller withdrew the request before it began",
	failure.CancelledRunning:  "the caller withdrew the request after it had begun",
	failure.ExpiredQueued:     "the time ran out before the work began",
	failure.ExpiredRunning:    "the time ran out while the work was being done",
	failure.TaskFailed:        "the work was begun and reported a fault",
	failure.TaskCrashed:       "the work brought down what it ran on, twice, and was given up",
	failure.NotPlaced:         "a part of the work found no place to run",
	failure.OutcomeUnknown:    "the work was handed out and no result came back",
	failure.AnswerLost:        "the result was lost between two machines of the service",
	failure.StaleVersion:      "a change was based on rules that are no longer in force",
	failure.VersionTaken:      "a change used a version number that belongs to another",
	failure.NotAllowed:        "a change came from someone who may not make it",
	failure.NoQuorum:          "too few of the machines that must agree on a change could be reached",
	failure.Undecided:         "a change was sent and too few of the machines that must agree on it answered",
	failure.NotFound:          "what was asked for does not exist",
	failure.Internal:          "a fault inside the service",
}

// Description describes a kind of failure for readers who do not know the system's
// terms. A kind outside the list gets the description of Internal.
func Description(kind failure.Kind) string {
	if text, ok := descriptions[kind]; ok {
		return text
	}
	return descriptions[failure.Internal]
}
