package dispatch

import (
	"encoding/json"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// StartID identifies one attempt to start a task within this process.
type StartID uint64

// Start requests one attempt to start a task at a target.
type Start struct {
	ID             StartID
	Job            JobID
	Target         string
	Address        string // IP:port of the target
	MaxConnections int    // connections that the target accepts
	Task           *job.Task
	SuspectAt      time.Time // without an answer by this time the connection is not used for new starts
	Deadline       time.Time // the attempt ends at this time, with or without an answer
	LeaseEnd       time.Time // from this time on nothing is sent to the target
}

// AttemptName returns a name of the attempt that is unique among the attempts of
// this process: the job, the attempt and the task's ID.
func (s Start) AttemptName() string {
	return strconv.FormatUint(uint64(s.Job), 10) + "." + strconv.FormatUint(uint64(s.ID), 10) + "/" + s.Task.ID
}

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Done           Outcome = iota // the task ran and returned an output
	TaskError                     // the task ran and failed
	NotStarted                    // the target is proven not to have started the task
	OutcomeUnknown                // the start was sent, at least in part, and no valid answer was received
)

// Result is the end of an attempt.
type Result struct {
	ID       StartID
	Outcome  Outcome
	Output   json.RawMessage // only for Done
	Message  string          // cause of an outcome other than Done
	NoAnswer bool            // no answer of any kind was received from the target
}

// JobAnswer is the answer to a job.
type JobAnswer struct {
	Job      JobID
	Answer   *job.Answer
	Withheld bool      // the domain is evacuated: tasks of the job were not started. A job that has not run may run in another domain.
	Deadline time.Time // of the job; only with Withheld
}
