package job

import (
	"encoding/json"
	"time"
)

// MaxTasks is the maximum number of tasks in one job.
const MaxTasks = 210

// Spec is a job as a caller submits it.
type Spec struct {
	Ticket     string `json:"ticket"`      // ticket under which the job is submitted
	Team       string `json:"team"`        // team whose quota the job counts against
	DeadlineMS int64  `json:"deadline_ms"` // time from receipt to the complete answer, ms; 0 if not stated
	Idempotent bool   `json:"idempotent"`  // whether a task may be started again after an unknown outcome
	Tasks      []Task `json:"tasks"`
}

// Deadline returns the time from receipt to the complete answer, or fallback if the
// job states none.
func (s *Spec) Deadline(fallback time.Duration) time.Duration {
	if s.DeadlineMS > 0 {
		return time.Duration(s.DeadlineMS) * time.Millisecond
	}
	return fallback
}

// Task is one short task of a job.
type Task struct {
	ID          string          `json:"id"`                    // unique within the job
	Kind        string          `json:"kind,omitempty"`        // groups tasks with similar run times
	DeclaredMS  int64           `json:"declared_ms,omitempty"` // run time that the caller expects, ms; 0 if not stated
	Accelerator bool            `json:"accelerator,omitempty"` // whether the task needs an accelerator
	Payload     json.RawMessage `json:"payload,omitempty"`     // passed to the target unchanged
}

// Outcome states how a job ended.
type Outcome string

// The outcomes of a job. There is no partial outcome.
const (
	Complete Outcome = "complete" // every task ran and the answer holds all outputs
	Failed   Outcome = "failed"   // a task may have run, but the answer holds no output
	NotRun   Outcome = "not_run"  // no task of the job was started
)

// Answer is the answer to a submission.
type Answer struct {
	Outcome       Outcome  `json:"outcome"`
	Outputs       []Output `json:"outputs,omitempty"` // one per task in the order of submission; only if complete
	Error         *Error   `json:"error,omitempty"`   // only if not complete
	NextTicket    string   `json:"next_ticket,omitempty"`
	Host          string   `json:"host"`                     // entry host that answered
	BundleVersion *uint64  `json:"bundle_version,omitempty"` // bundle in force at that host; absent until the host has caught up
}

// Output is the result of one task.
type Output struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
}

// Error states in an answer why the job failed or did not run.
type Error struct {
	Kind         string `json:"kind"`
	Field        string `json:"field,omitempty"`
	Message      string `json:"message"`
	AttemptRan   string `json:"attempt_ran"`              // no, yes or unknown
	JobRan       string `json:"job_ran"`                  // no, yes or unknown
	RetryAfterMS *int64 `json:"retry_after_ms,omitempty"` // absent if a retry would fail again
}
