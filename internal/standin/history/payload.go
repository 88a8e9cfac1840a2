package history

import "encoding/json"

// Payload is the payload of a stand-in's task. It labels the task and scripts
// what the target does with it.
type Payload struct {
	Job            string `json:"job,omitempty"`
	Task           string `json:"task,omitempty"`
	RunMS          *int64 `json:"run_ms,omitempty"`           // run time in place of the target's own, ms
	Fail           bool   `json:"fail,omitempty"`             // run, then report failure
	Hang           bool   `json:"hang,omitempty"`             // start and never answer
	Cut            bool   `json:"cut,omitempty"`              // close the connection in the middle of the answer
	WrongID        bool   `json:"wrong_id,omitempty"`         // answer under another task's id
	WrongRefusal   bool   `json:"wrong_refusal,omitempty"`    // run, then answer as if another task was not started
	DropAfterStart bool   `json:"drop_after_start,omitempty"` // close the connection after the start
	Refuse         bool   `json:"refuse,omitempty"`           // answer that the task was not started
}

// Label is the part of a payload that names the task.
type Label struct {
	Job  string `json:"job"`
	Task string `json:"task"`
}

// Output is the output of a stand-in's task.
type Output struct {
	Task   string `json:"task"`
	Target string `json:"target"`
	Echo   Label  `json:"echo"`
}

// RawOutput is Output with the payload echoed as it was received.
type RawOutput struct {
	Task   string          `json:"task"`
	Target string          `json:"target"`
	Echo   json.RawMessage `json:"echo,omitempty"`
}
