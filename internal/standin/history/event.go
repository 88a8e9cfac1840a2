package history

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// EventKind says what an event records.
type EventKind string

// The events of a caller.
const (
	Submit EventKind = "submit" // a caller sent a submission
	Answer EventKind = "answer" // a caller received the answer to a submission
	Lost   EventKind = "lost"   // a caller's submission got no answer
)

// The events of a target.
const (
	Serving EventKind = "serving" // a target began to accept tasks
	Leaving EventKind = "leaving" // from At on, a target wants no new tasks
	Start   EventKind = "start"   // a target started a task
	End     EventKind = "end"     // a target ended a task
	Refuse  EventKind = "refuse"  // a target refused a task without starting it
)

// Event is one line of a history.
type Event struct {
	At          time.Time   `json:"at"`
	Kind        EventKind   `json:"what"`
	Job         string      `json:"job,omitempty"`         // the caller's label of the job, the same in each resubmission
	Task        string      `json:"task,omitempty"`        // the task's id
	Attempt     int         `json:"attempt,omitempty"`     // number of the submission, from 1
	Entry       string      `json:"entry,omitempty"`       // address that the submission was sent to
	Ticket      string      `json:"ticket,omitempty"`      // ticket of the submission
	Tasks       []string    `json:"tasks,omitempty"`       // ids of the tasks submitted
	Answer      *job.Answer `json:"answer,omitempty"`      // the answer received
	Status      int         `json:"status,omitempty"`      // HTTP status of the answer
	Target      string      `json:"target,omitempty"`      // the target's name
	Incarnation uint64      `json:"incarnation,omitempty"` // the target's incarnation
	Header      string      `json:"header,omitempty"`      // wire.TaskHeader of the start
	Reason      string      `json:"reason,omitempty"`      // why a submission was lost or a task refused
}
