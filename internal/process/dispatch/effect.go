package dispatch

import (
	"encoding/json"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// StartID names one attempt to start a task.
type StartID uint64

// Start asks for one attempt to start a task at a target.
type Start struct {
	ID             StartID
	Job            JobID
	Target         string
	Address        string // IP:port of the target
	MaxConnections int    // connections that the target accepts
	Task           *job.Task
	SuspectAt      time.Time // the connection is suspect if no answer came by then
	Deadline       time.Time // the attempt is given up at this time
	LeaseEnd       time.Time // nothing is sent to the target from this time on
}

// AttemptName names the attempt uniquely among those of this process.
func (s Start) AttemptName() string {
	return strconv.FormatUint(uint64(s.Job), 10) + "." + strconv.FormatUint(uint64(s.ID), 10) + "/" + s.Task.ID
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Done           Outcome = iota // the task ran and its output is present
	TaskError                     // the task ran and failed
	NotStarted                    // proven: the target did not start the task
	OutcomeUnknown                // unknown: the start was sent and no valid answer came
)

// Result reports the end of an attempt.
type Result struct {
	ID       StartID
	Outcome  Outcome
	Output   json.RawMessage // only when Done
	Message  string          // the cause, unless Done
	NoAnswer bool            // the target did not answer at all
}

// JobAnswer gives the answer to a job.
type JobAnswer struct {
	Job    JobID
	Answer *job.Answer
}
