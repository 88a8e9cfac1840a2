package failure

import "time"

// Kind names one cause of failure. The list is closed: every Kind has a row in the
// table, which a test checks.
type Kind string

// The kinds, in the order in which a request can meet them.
const (
	InvalidRequest    Kind = "invalid_request"    // the request cannot be understood
	TooLarge          Kind = "too_large"          // the body or job is over a limit
	TicketRequired    Kind = "ticket_required"    // the submission names no ticket
	TicketInvalid     Kind = "ticket_invalid"     // the ticket was not issued by this system
	TicketExpired     Kind = "ticket_expired"     // the ticket's time is over
	TicketReused      Kind = "ticket_reused"      // the ticket was used for another job
	RecordLost        Kind = "record_lost"        // the host that issued the ticket has restarted
	HolderUnreachable Kind = "holder_unreachable" // the host that holds the record cannot be reached
	NotReady          Kind = "not_ready"          // the host has no bundle yet
	Draining          Kind = "draining"           // the host is stopping
	NotSupported      Kind = "not_supported"      // this release does not serve such jobs
	NeverRunnable     Kind = "never_runnable"     // no target could ever run the job
	NoTargets         Kind = "no_targets"         // no target is alive at the moment
	OverQuota         Kind = "over_quota"         // the team's quota is used up
	Overloaded        Kind = "overloaded"         // a queue is full
	DeadlineTooShort  Kind = "deadline_too_short" // the job could not finish in time
	Cancelled         Kind = "cancelled"          // the caller withdrew the job before its start
	CancelledRunning  Kind = "cancelled_running"  // the caller withdrew the job after its start
	ExpiredQueued     Kind = "expired_queued"     // the deadline passed before any start
	ExpiredRunning    Kind = "expired_running"    // the deadline passed after a start
	TaskFailed        Kind = "task_failed"        // a target ran a task and reported failure
	NotPlaced         Kind = "not_placed"         // no target took a task of a job that may have run
	OutcomeUnknown    Kind = "outcome_unknown"    // a start was sent and its answer was lost
	AnswerLost        Kind = "answer_lost"        // the holder got the job and its answer was lost on the way
	StaleVersion      Kind = "stale_version"      // a change is based on an old version
	VersionTaken      Kind = "version_taken"      // another content holds the version number
	NotAllowed        Kind = "not_allowed"        // the signer may not do this
	NoQuorum          Kind = "no_quorum"          // too few disk hosts answered, and nothing was changed
	Undecided         Kind = "undecided"          // a change was sent and too few disk hosts answered
	NotFound          Kind = "not_found"          // nothing has this name
	Internal          Kind = "internal"           // a fault of the host itself
)

// Ran says whether a task was started: yes, no or unknown.
type Ran string

// The values of Ran.
const (
	No      Ran = "no"
	Yes     Ran = "yes"
	Unknown Ran = "unknown"
)

// Never is the RetryAfter of a request that would fail again if it was retried.
const Never time.Duration = -1

// Row is the part of an answer that depends only on the kind of the error.
type Row struct {
	Status     int           // HTTP status code
	AttemptRan Ran           // whether this submission started a task
	JobRan     Ran           // whether any submission of the job started a task
	RetryAfter time.Duration // delay before a retry, 0 for at once; Never if a retry would fail again
}
