package operatorclient

import (
	"fmt"
	"strings"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// UnreachableError says that no host could be asked.
type UnreachableError struct{ Causes []error }

// Error implements error.
func (e *UnreachableError) Error() string {
	texts := make([]string, len(e.Causes))
	for i, cause := range e.Causes {
		texts[i] = cause.Error()
	}
	return "no entry host could be reached: " + strings.Join(texts, "; ")
}

// AnswerLostError says that a request was sent and its answer was lost.
type AnswerLostError struct {
	Host  string
	Cause error
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("the answer of %s was lost: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// RefusedError is a host's refusal.
type RefusedError struct {
	Answer   control.Answer
	ReadOnly bool // whether the request could change nothing
}

// MayHaveRun says whether the command may have been carried out all the same.
func (e *RefusedError) MayHaveRun() bool {
	return !e.ReadOnly && failure.Lookup(e.Answer.Kind).AttemptRan != failure.No
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Answer.Field != "" {
		return e.Answer.Field + " " + e.Answer.Message
	}
	return e.Answer.Message
}
