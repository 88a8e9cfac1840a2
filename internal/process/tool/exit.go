package tool

import (
	"errors"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
)

// Exit codes of wasabifield.
const (
	ExitOK          = 0
	ExitRefused     = 1 // refused, or a check failed
	ExitUsage       = 2 // the arguments or a file are wrong
	ExitUnreachable = 3 // no entry host could be reached
	ExitUnknown     = 4 // the outcome is unknown; send again under the same request id
)

// errUsage marks errors in what the operator gave.
var errUsage = errors.New("usage")

// usageError is an error in the arguments or in a file.
type usageError struct{ cause error }

// Error implements error.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause and the mark.
func (e usageError) Unwrap() []error { return []error{e.cause, errUsage} }

// runError is an error of a command that was understood.
type runError struct{ cause error }

// Error implements error.
func (e runError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e runError) Unwrap() error { return e.cause }

// exitCode returns the exit code for a command's error. An error that no
// command returned is cobra's, about the arguments.
func exitCode(err error) int {
	var ran runError
	var unreachable *operatorclient.UnreachableError
	var unknown *operatorclient.AnswerLostError
	var refused *operatorclient.RefusedError
	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &ran) || errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &refused) && refused.MayHaveRun():
		return ExitUnknown
	}
	return ExitRefused
}
