package operatorclient

import (
	"fmt"
	"strings"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// UnreachableError reports that no host answered: every connection failed or, for a
// read, the answer was lost.
type UnreachableError struct{ Causes []error }

// Error implements error.
func (e *UnreachableError) Error() string {
	texts := make([]string, len(e.Causes))
	for i, cause := range e.Causes {
		texts[i] = cause.Error()
	}
	return "no entry host could be reached: " + strings.Join(texts, "; ")
}

// AnswerLostError reports that a request was sent and its answer was lost.
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

// RefusedError reports a host's refusal.
type RefusedError struct {
	Answer   control.Answer
	ReadOnly bool // the request could not change anything
}

// MayHaveRun reports whether the command may have been carried out although the host
// answered with a refusal.
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
