package failure

import (
	"errors"

	"github.com/samber/oops"
)

// Error is a failure with its kind. Field names the offending input field,
// where there is one.
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

// New returns an error of kind k.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message}
}

// Invalid returns an InvalidRequest error that names the field.
func Invalid(field, message string) *Error {
	return &Error{Kind: InvalidRequest, Field: field, Message: message}
}

// Wrap adds the cause and a part's name to a failure for the logs.
func Wrap(k Kind, part string, cause error) error {
	return oops.In(part).Code(string(k)).Wrap(errors.Join(New(k, cause.Error()), cause))
}

// As returns the failure that err carries, if any.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// KindOf returns the kind of err: Internal if it carries none.
func KindOf(err error) Kind {
	if e, ok := As(err); ok {
		return e.Kind
	}
	return Internal
}
