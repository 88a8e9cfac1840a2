package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"
)

// submissionSilence is how long the connection of a submission may carry no request of its
// sender, which probes it as often as it waits for an answer: once per dialTimeout. A probe
// that takes longer than that is unanswered, and its sender gives the submission up. The rest
// is for a sender that is busy.
const submissionSilence = 2*dialTimeout + 100*time.Millisecond

// connHeard holds when a connection that another host opened last carried a request, or the
// last of the connections that a submission came over.
type connHeard struct {
	millis   atomic.Int64 // monotonicMillis
	followed atomic.Pointer[[]*connHeard]
}

// follow records that a submission came over a connection. Calls of it come one at a time.
func (h *connHeard) follow(conn *connHeard, now time.Time) {
	h.record(now)
	followed := []*connHeard{conn}
	if former := h.followed.Load(); former != nil {
		followed = append(followed, *former...)
	}
	h.followed.Store(&followed)
}

func (h *connHeard) record(now time.Time) { h.millis.Store(monotonicMillis(now)) }

// silence returns the time since the last request. It is 0 for a caller of this host.
func (h *connHeard) silence(now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	silence := time.Duration(monotonicMillis(now)-h.millis.Load()) * time.Millisecond
	if followed := h.followed.Load(); followed != nil {
		for _, conn := range *followed {
			silence = min(silence, conn.silence(now))
		}
	}
	return silence
}

type connHeardKey struct{}

// connHeardFrom returns that of the connection that a request came over; nil for a request
// of this host.
func connHeardFrom(ctx context.Context) *connHeard {
	h, _ := ctx.Value(connHeardKey{}).(*connHeard)
	return h
}

// connListener notes when the connections of a server carry requests. It implements
// stats.Handler.
type connListener struct{ now func() time.Time }

// TagConn adds the connection's connHeard to the contexts of its requests.
func (connListener) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connHeardKey{}, &connHeard{})
}

// TagRPC notes a request.
func (l connListener) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	connHeardFrom(ctx).record(l.now())
	return ctx
}

// HandleRPC does nothing.
func (connListener) HandleRPC(context.Context, stats.RPCStats) {}

// HandleConn does nothing.
func (connListener) HandleConn(context.Context, stats.ConnStats) {}
