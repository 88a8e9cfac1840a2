package history

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// EventKind is the kind of an event. Its values are written to histories.
type EventKind string

// The events of a caller.
const (
	Submit EventKind = "submit" // a caller sent a submission
	Answer EventKind = "answer" // a caller received the answer to a submission
	Lost   EventKind = "lost"   // a caller received no answer to a submission
)

// The events of a target.
const (
	Serving EventKind = "serving" // a target started to accept tasks
	Leaving EventKind = "leaving" // a target should get no new tasks from At on
	Start   EventKind = "start"   // a target started a task
	End     EventKind = "end"     // a task on a target ended
	Refuse  EventKind = "refuse"  // a target refused a task without starting it
)

// Event is one line of a history.
type Event struct {
	At          time.Time   `json:"at"`
	Kind        EventKind   `json:"what"`
	Job         string      `json:"job,omitempty"`         // the caller's label of the job, the same in each resubmission
	Task        string      `json:"task,omitempty"`        // the task's id
	Attempt     int         `json:"attempt,omitempty"`     // number of the submission, from 1
	Entry       string      `json:"entry,omitempty"`       // address to which the submission was sent
	Ticket      string      `json:"ticket,omitempty"`      // ticket of the submission
	Tasks       []string    `json:"tasks,omitempty"`       // ids of the submitted tasks
	Answer      *job.Answer `json:"answer,omitempty"`      // the received answer
	Status      int         `json:"status,omitempty"`      // HTTP status of the answer
	Target      string      `json:"target,omitempty"`      // the target's name
	Incarnation uint64      `json:"incarnation,omitempty"` // the target's incarnation
	Header      string      `json:"header,omitempty"`      // wire.TaskHeader of the start
	Reason      string      `json:"reason,omitempty"`      // why a submission was lost or a task refused
}
