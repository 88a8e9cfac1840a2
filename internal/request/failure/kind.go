package failure

import "time"

// Kind names one cause of failure. The list is closed: every Kind has a row in the
// table, which a test checks.
type Kind string

// The kinds, in the order in which a request can meet them.
const (
	InvalidRequest    Kind = "invalid_request"    // the request is malformed or a field has an invalid value
	TooLarge          Kind = "too_large"          // the request body, the job or the control state exceeds a size limit
	TicketRequired    Kind = "ticket_required"    // the submission names no ticket
	TicketInvalid     Kind = "ticket_invalid"     // the ticket was not issued by this system
	TicketExpired     Kind = "ticket_expired"     // the ticket has expired
	TicketReused      Kind = "ticket_reused"      // the ticket was used for another job
	RecordLost        Kind = "record_lost"        // the host that issued the ticket has restarted, or the stored answer was dropped
	HolderUnreachable Kind = "holder_unreachable" // the host that holds the record cannot be reached
	NotReady          Kind = "not_ready"          // the host cannot serve requests yet; for example, it has no bundle
	Draining          Kind = "draining"           // the host is stopping
	NotSupported      Kind = "not_supported"      // this release cannot run jobs of this kind
	NeverRunnable     Kind = "never_runnable"     // no known target could run the job, even if it was idle
	NoTargets         Kind = "no_targets"         // no target is alive at the moment
	OverQuota         Kind = "over_quota"         // the team's quota is used up
	Overloaded        Kind = "overloaded"         // a queue or another bounded resource is full
	DeadlineTooShort  Kind = "deadline_too_short" // the job would not finish in time
	Cancelled         Kind = "cancelled"          // the caller cancelled the job; no task was started
	CancelledRunning  Kind = "cancelled_running"  // the caller cancelled the job; a task may have been started
	ExpiredQueued     Kind = "expired_queued"     // the deadline passed; no task was started
	ExpiredRunning    Kind = "expired_running"    // the deadline passed; a task may have been started
	TaskFailed        Kind = "task_failed"        // a target ran a task and reported an error
	TaskCrashed       Kind = "task_crashed"       // targets crashed while they ran a task, which is not started again
	NotPlaced         Kind = "not_placed"         // no target accepted one of the tasks; the job may have run in part
	OutcomeUnknown    Kind = "outcome_unknown"    // a start request was sent and its answer was lost
	AnswerLost        Kind = "answer_lost"        // the host that received the job gave no answer, or its answer was lost
	StaleVersion      Kind = "stale_version"      // the change is based on or refers to a version that is no longer current
	VersionTaken      Kind = "version_taken"      // the version number belongs to other content
	NotAllowed        Kind = "not_allowed"        // the signature is not valid for an operator of the settings, approvals are missing, or the change needs to be forced
	NoQuorum          Kind = "no_quorum"          // too few disk hosts answered; nothing was changed
	Undecided         Kind = "undecided"          // too few disk hosts answered; the change was sent and may still take effect
	NotFound          Kind = "not_found"          // what the request asks for does not exist or is no longer kept
	Internal          Kind = "internal"           // an unexpected error in the host
)

// Ran states whether a task was started: yes, no or unknown.
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
