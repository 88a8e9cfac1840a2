package failure

import (
	"errors"

	"github.com/samber/oops"
)

// Error is an error with a kind. Field names the invalid input field; it is empty if
// the error concerns no single field.
type Error struct {
	Kind    Kind
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return string(e.Kind) + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Field + ": " + e.Message
}

// New returns an error of kind k that names no field.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message}
}

// Invalid returns an InvalidRequest error that names the field.
func Invalid(field, message string) *Error {
	return &Error{Kind: InvalidRequest, Field: field, Message: message}
}

// Wrap returns an error of kind k that wraps cause and has its message. The name of
// the component appears in the logs.
func Wrap(k Kind, component string, cause error) error {
	return oops.In(component).Code(string(k)).Wrap(errors.Join(New(k, cause.Error()), cause))
}

// As returns the Error in the chain of err, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// KindOf returns the kind of err, or Internal if err contains no Error.
func KindOf(err error) Kind {
	if e, ok := As(err); ok {
		return e.Kind
	}
	return Internal
}
