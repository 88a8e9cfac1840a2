package dispatch

import (
	"encoding/json"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// JobID names a job within this host: the sequence number of its ticket.
type JobID uint64

// jobState is a job in progress.
type jobState struct {
	id       JobID
	spec     *job.Spec
	deadline time.Time
	outputs  []json.RawMessage
	left     int  // tasks without an output
	running  int  // starts in progress
	ran      bool // a start ended otherwise than not started
	done     bool // the answer was given
}

// taskRef is one task waiting for a slot.
type taskRef struct {
	job   *jobState
	index int
}

func (r taskRef) task() *job.Task { return &r.job.spec.Tasks[r.index] }
