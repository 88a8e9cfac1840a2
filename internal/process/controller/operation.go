package controller

import (
	"context"
	"errors"
	"sync/atomic"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
)

// ErrUndecided is in the error of a change that may still take effect.
var ErrUndecided = errors.New("too few disk hosts answered; the change may still take effect: send it again under the same request id")

var (
	errUnchanged = errors.New("too few disk hosts answered; nothing was changed")
	errUnread    = errors.New("too few disk hosts answered")
	errStopped   = failure.New(failure.Draining, "the host is stopping")
	errBusy      = failure.New(failure.Overloaded, "too many changes of the control state are waiting")
)

// operation is a read or change on its way through the owner.
type operation struct {
	ctx    context.Context
	change register.Change // nil for a read
	done   chan outcome    // takes one outcome
	taken  atomic.Bool     // by the owner, or by a caller that gave up before
}

// outcome is the end of an operation.
type outcome struct {
	entry register.Entry
	err   error
}

func newOperation(ctx context.Context, c register.Change) *operation {
	return &operation{ctx: ctx, change: c, done: make(chan outcome, 1)}
}

// outcomeAfterStop returns the outcome once the owner has stopped: the one that
// it gave, or errStopped if it never saw the operation.
func (o *operation) outcomeAfterStop() (register.Entry, error) {
	select {
	case out := <-o.done:
		return out.entry, out.err
	default:
		return register.Entry{}, errStopped
	}
}

// abandoned returns the error of an operation that was given up.
func (o *operation) abandoned(undecided bool) error {
	switch {
	case undecided:
		return failure.Wrap(failure.Undecided, "controller", ErrUndecided)
	case o.change == nil:
		return failure.Wrap(failure.NoQuorum, "controller", errUnread)
	}
	return failure.Wrap(failure.NoQuorum, "controller", errUnchanged)
}
