package controller

import (
	"context"
	"errors"
	"sync/atomic"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
)

// ErrUndecided is wrapped by the error of a change that may still take effect.
var ErrUndecided = errors.New("too few disk hosts answered; the change may still take effect: send it again under the same request id")

var (
	errChangeNoQuorum = errors.New("too few disk hosts answered; nothing was changed")
	errNoStandby      = errors.New("no standby took this host's vote")
	errReadNoQuorum   = errors.New("too few disk hosts answered")
	errStopping       = failure.New(failure.Draining, "the host is stopping")
	errQueueFull      = failure.New(failure.Overloaded, "too many changes of the control state are waiting")
)

// operation is a read or a change that waits for the run loop or is handled by
// it.
type operation struct {
	ctx     context.Context
	change  register.Change // nil for a read
	urgent  bool            // goes before other operations; see ChangeUrgently
	done    chan outcome    // receives at most one outcome
	claimed atomic.Bool     // by the run loop, or by a caller whose context ended before
}

// outcome is the result or error of an operation.
type outcome struct {
	entry register.Entry
	err   error
}

func newOperation(ctx context.Context, c register.Change) *operation {
	return &operation{ctx: ctx, change: c, done: make(chan outcome, 1)}
}

// outcomeAfterStop returns the outcome after the run loop has stopped: the one
// that the run loop sent, or errStopping if it never received the operation.
func (o *operation) outcomeAfterStop() (register.Entry, error) {
	select {
	case out := <-o.done:
		return out.entry, out.err
	default:
		return register.Entry{}, errStopping
	}
}

// abandonError returns the error of an operation that ended without a result.
// undecided states that its change may still take effect.
func (o *operation) abandonError(undecided bool) error {
	switch {
	case undecided:
		return failure.Wrap(failure.Undecided, "controller", ErrUndecided)
	case o.change == nil:
		return failure.Wrap(failure.NoQuorum, "controller", errReadNoQuorum)
	}
	return failure.Wrap(failure.NoQuorum, "controller", errChangeNoQuorum)
}
