package job

import (
	"encoding/json"
	"time"
)

// MaxTasks is the greatest number of tasks in one job.
const MaxTasks = 210

// Spec is a job as submitted by a caller.
type Spec struct {
	Ticket     string `json:"ticket"`      // the ticket that the job is submitted under
	Team       string `json:"team"`        // the team whose quota the job counts against
	DeadlineMS int64  `json:"deadline_ms"` // time to the whole answer, ms from receipt
	Idempotent bool   `json:"idempotent"`  // whether a task may be started again after an unknown outcome
	Tasks      []Task `json:"tasks"`
}

// Deadline returns the time to the whole answer, otherwise where the job states
// none.
func (s *Spec) Deadline(otherwise time.Duration) time.Duration {
	if s.DeadlineMS > 0 {
		return time.Duration(s.DeadlineMS) * time.Millisecond
	}
	return otherwise
}

// Task is one short task of a job.
type Task struct {
	ID          string          `json:"id"`                    // unique within the job
	Kind        string          `json:"kind,omitempty"`        // groups tasks of like run time
	DeclaredMS  int64           `json:"declared_ms,omitempty"` // the caller's estimate of the run time, ms
	Accelerator bool            `json:"accelerator,omitempty"` // whether the task needs an accelerator
	Payload     json.RawMessage `json:"payload,omitempty"`     // handed to the target as it is
}

// Outcome says how a job ended.
type Outcome string

// The outcomes of a job. There is no partial outcome.
const (
	Complete Outcome = "complete" // every task ran and its output is present
	Failed   Outcome = "failed"   // the answer holds no output
	NotRun   Outcome = "not_run"  // no task of the job was started
)

// Answer is the whole answer to a submission.
type Answer struct {
	Outcome       Outcome  `json:"outcome"`
	Outputs       []Output `json:"outputs,omitempty"` // one per task in the order submitted; only when complete
	Error         *Error   `json:"error,omitempty"`   // only when not complete
	NextTicket    string   `json:"next_ticket,omitempty"`
	Host          string   `json:"host"`                     // the entry host that answered
	BundleVersion *uint64  `json:"bundle_version,omitempty"` // in force at that host; absent while the host does not know
}

// Output is the result of one task.
type Output struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
}

// Error is the failure part of an answer.
type Error struct {
	Kind         string `json:"kind"`
	Field        string `json:"field,omitempty"`
	Message      string `json:"message"`
	AttemptRan   string `json:"attempt_ran"`              // no, yes or unknown
	JobRan       string `json:"job_ran"`                  // no, yes or unknown
	RetryAfterMS *int64 `json:"retry_after_ms,omitempty"` // absent if a retry would fail again
}
