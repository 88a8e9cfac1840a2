package liveconn

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

// Call is one request of which copies may be sent, one after the other.
type Call struct {
	sends   []*send // guarded by the pool that carries them
	silence atomic.Pointer[Silence]
}

// Silence is what was found of a connection on which a copy of a call stayed unanswered while a
// later one was answered.
type Silence struct {
	Age      time.Duration // of the connection
	Requests int           // under way then on connections that had not answered since, this one included
	Repeated bool          // the connections to the target had been found silent before, after the call began
}

// send is one copy of a call.
type send struct {
	call     *Call
	sentAt   time.Time
	dueAt    time.Time // before which no answer is expected
	conn     *conn
	answered bool
	broken   bool // the connection was closed by the target
}

// mayHang reports whether the copy may hang on a silent connection. A connection that was
// opened for it had no time to go silent.
func (s *send) mayHang() bool {
	c := s.conn
	return !s.answered && !s.broken && !c.openedAt.IsZero() && c.openedAt.Before(s.sentAt)
}

type callKey struct{}

// Copy is one copy of a call, from the request for a connection.
type Copy struct {
	call     *Call
	wait     time.Duration
	patience time.Duration
	delay    atomic.Int64 // nanoseconds until it had a connection
}

// NewCall returns a call of which nothing was sent yet.
func NewCall() *Call { return new(Call) }

// Context returns the context for a copy of the call. The target may delay its answer by wait.
func (c *Call) Context(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, callKey{}, &Copy{call: c, wait: wait})
}

// PatientCopy returns a copy of the call and its context. No connection is opened for it before
// patience is over: until then the answer to a former copy may come, or another answer that proves
// a connection.
func (c *Call) PatientCopy(ctx context.Context, patience time.Duration) (*Copy, context.Context) {
	x := &Copy{call: c, patience: patience}
	return x, context.WithValue(ctx, callKey{}, x)
}

// Delay returns how long the copy waited for its connection. It is known once it is answered.
func (x *Copy) Delay() time.Duration { return time.Duration(x.delay.Load()) }

// TakeSilence returns what was found when a copy was answered, once: nil if no earlier one hung on
// a silent connection.
func (c *Call) TakeSilence() *Silence { return c.silence.Swap(nil) }

// copyOf returns the copy that a request is; the first of a new call if it is not told.
func copyOf(ctx context.Context) *Copy {
	if x, ok := ctx.Value(callKey{}).(*Copy); ok {
		return x
	}
	return &Copy{call: NewCall()}
}

// ErrAnswered is the result of a copy that was not sent, because a former one was answered.
var ErrAnswered = errors.New("a former copy of the request was answered")

func (c *Call) isAnswered() bool {
	return slices.ContainsFunc(c.sends, func(s *send) bool { return s.answered })
}

// provenSince returns the time since which the connection for the next copy must have answered
// or have been opened: the answer to the last copy was due then. It is zero for the first copy.
func (c *Call) provenSince() time.Time {
	if len(c.sends) == 0 {
		return time.Time{}
	}
	return c.sends[len(c.sends)-1].dueAt
}
