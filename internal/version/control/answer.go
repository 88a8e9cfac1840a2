package control

import (
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Answer is the answer to a command.
type Answer struct {
	Kind     failure.Kind  `json:"kind,omitempty"`  // empty if the command succeeded
	Field    string        `json:"field,omitempty"` // the invalid field of the command, if any
	Message  string        `json:"message"`         // for the operator to read
	Version  uint64        `json:"version"`         // the version in the command
	Digest   bundle.Digest `json:"digest"`          // the content that has this version number, if any
	Accepted uint64        `json:"accepted"`        // the accepted version after the command
	Sequence uint64        `json:"sequence"`        // the state's sequence number after the command
}

// Done reports whether the command succeeded.
func (a Answer) Done() bool { return a.Kind == "" }

// Refusal returns the answer to a command that failed before it was applied to
// the state.
func Refusal(err *failure.Error) Answer {
	return Answer{Kind: err.Kind, Field: err.Field, Message: err.Message}
}
