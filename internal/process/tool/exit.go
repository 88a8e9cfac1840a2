package tool

import (
	"errors"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
)

// Exit codes of wasabifield.
const (
	ExitOK          = 0
	ExitRefused     = 1 // refused, a check failed, or bundle check has warnings
	ExitUsage       = 2 // wrong arguments, a file that is unreadable or not of the expected kind, or bundle check has errors
	ExitUnreachable = 3 // no entry host could be reached, or bundle check got no state from the hosts
	ExitUnknown     = 4 // the outcome is unknown; send the command again with the same request id
)

// errUsage matches every usageError in errors.Is.
var errUsage = errors.New("usage")

// usageError is an error in the arguments or in a file that the operator gave.
type usageError struct{ cause error }

// Error implements error.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause and errUsage.
func (e usageError) Unwrap() []error { return []error{e.cause, errUsage} }

// codedError is an error with an exit code of its own.
type codedError struct {
	cause error
	code  int
}

// Error implements error.
func (e codedError) Error() string { return e.cause.Error() }

// executionError is an error returned by a command whose arguments cobra accepted.
type executionError struct{ cause error }

// Error implements error.
func (e executionError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e executionError) Unwrap() error { return e.cause }

// exitCode returns the exit code for an error of a run. An error that isn't an
// executionError comes from cobra and is about the arguments.
func exitCode(err error) int {
	var execution executionError
	var unreachable *operatorclient.UnreachableError
	var answerLost *operatorclient.AnswerLostError
	var refused *operatorclient.RefusedError
	var coded codedError
	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &execution) || errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &answerLost):
		return ExitUnknown
	case errors.As(err, &refused) && refused.MayHaveRun():
		return ExitUnknown
	}
	return ExitRefused
}
