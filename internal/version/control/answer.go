package control

import (
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Answer is what a command is answered.
type Answer struct {
	Kind     failure.Kind  `json:"kind,omitempty"`  // empty when the command is done
	Field    string        `json:"field,omitempty"` // the offending field, where there is one
	Message  string        `json:"message"`         // for people
	Version  uint64        `json:"version"`         // the version that the command is about
	Digest   bundle.Digest `json:"digest"`          // the content that holds the version, if any
	Accepted uint64        `json:"accepted"`        // the accepted version after the command
	Sequence uint64        `json:"sequence"`        // the state's sequence number after the command
}

// Done says whether the command did what it asked for.
func (a Answer) Done() bool { return a.Kind == "" }

// Refusal returns the answer to a command that failed before it reached the
// state.
func Refusal(err *failure.Error) Answer {
	return Answer{Kind: err.Kind, Field: err.Field, Message: err.Message}
}
