package history

import "encoding/json"

// Payload is the payload of a stand-in's task. It names the task and scripts the
// behaviour of the target that runs the task.
type Payload struct {
	Job            string `json:"job,omitempty"`
	Task           string `json:"task,omitempty"`
	RunMS          *int64 `json:"run_ms,omitempty"`           // run time in ms, instead of one drawn by the target
	Fail           bool   `json:"fail,omitempty"`             // run, then report failure
	Hang           bool   `json:"hang,omitempty"`             // start, and do not end until the target leaves or the task is stopped
	Cut            bool   `json:"cut,omitempty"`              // close the connection in the middle of the answer
	WrongID        bool   `json:"wrong_id,omitempty"`         // answer with the id of another task
	WrongRefusal   bool   `json:"wrong_refusal,omitempty"`    // run, then answer as if another task was not started
	DropAfterStart bool   `json:"drop_after_start,omitempty"` // close the connection after the start
	Refuse         bool   `json:"refuse,omitempty"`           // answer that the task was not started
}

// Label is the part of a payload that names the task.
type Label struct {
	Job  string `json:"job"`
	Task string `json:"task"`
}

// Output is the output of a stand-in's task, with the label of its payload.
type Output struct {
	Task   string `json:"task"`
	Target string `json:"target"`
	Echo   Label  `json:"echo"`
}

// RawOutput is an Output that echoes the payload exactly as received.
type RawOutput struct {
	Task   string          `json:"task"`
	Target string          `json:"target"`
	Echo   json.RawMessage `json:"echo,omitempty"`
}
