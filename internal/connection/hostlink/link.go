// Package hostlink holds the gRPC connection from one host to another and replaces it
// when it stops answering. Packages peer and fleet make their calls over it. It never
// repeats a call.
package hostlink

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// maxMissedExchanges is the number of consecutive exchanges without an answer after
// which the connection is replaced.
const maxMissedExchanges = 2

// Link holds the connection to one host. When a device between the hosts loses track
// of a connection, the connection stays open and silent, while a new one would work.
// A connection that does not answer in time is therefore replaced. A Link is safe for
// concurrent use.
type Link struct {
	connect func() (*grpc.ClientConn, error)
	timeout time.Duration // for a connection to be made, and for a probe to be answered

	mu                sync.Mutex
	conn              *grpc.ClientConn
	calls             map[*grpc.ClientConn]int // in progress, by the connection that they use
	consecutiveMissed int                      // consecutive exchanges without an answer
	closed            bool
}

// New returns a Link. connect makes a connection. timeout applies to a connection
// being made and to the answer to a probe.
func New(timeout time.Duration, connect func() (*grpc.ClientConn, error)) (*Link, error) {
	conn, err := connect()
	return &Link{connect: connect, timeout: timeout, conn: conn, calls: map[*grpc.ClientConn]int{}}, err
}

// Current returns the current connection. It may be replaced at any time, so callers
// must not keep it.
func (l *Link) Current() *grpc.ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Close closes all connections, which are then not replaced any more.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.conn.Close()
	for conn := range l.calls {
		_ = conn.Close()
	}
}

// begin records a call over conn; end records its end. A connection that has been replaced
// is closed after its last call.
func (l *Link) begin(conn *grpc.ClientConn) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[conn]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calls[conn]--
		if l.calls[conn] > 0 {
			return
		}
		delete(l.calls, conn)
		if conn != l.conn {
			_ = conn.Close()
		}
	}
}

// Replace makes a new connection in place of conn, unless conn has been replaced already
// or the link is closed. If no new connection can be made, conn stays. A host that is only
// slow still answers the calls in progress over conn, which is closed after them.
func (l *Link) Replace(conn *grpc.ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn != conn {
		return
	}
	newConn, err := l.connect()
	if err != nil {
		return
	}
	l.conn, l.consecutiveMissed = newConn, 0
	if l.calls[conn] == 0 {
		_ = conn.Close()
	}
}

// RecordExchange records how an exchange over conn ended and replaces conn after
// maxMissedExchanges consecutive exchanges that exceeded their deadline.
func (l *Link) RecordExchange(conn *grpc.ClientConn, err error) {
	l.mu.Lock()
	if status.Code(err) == codes.DeadlineExceeded {
		l.consecutiveMissed++
	} else {
		l.consecutiveMissed = 0
	}
	silent := l.consecutiveMissed >= maxMissedExchanges
	l.mu.Unlock()
	if silent {
		l.Replace(conn)
	}
}

// CallWithProbes calls f and probes conn until f returns. If a probe is not answered,
// conn is replaced and f's context is cancelled. f therefore waits at most twice the
// link's timeout for a silent connection or a frozen host, and as long as ctx allows
// for a slow answer.
func (l *Link) CallWithProbes(ctx context.Context, conn *grpc.ClientConn, f func(context.Context) error) error {
	defer l.begin(conn)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.probeUntilDone(ctx, cancel, conn)
	return f(ctx)
}

// probeUntilDone probes conn once per timeout until ctx is done. After a probe without
// an answer it replaces conn and calls cancel.
func (l *Link) probeUntilDone(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn) {
	ticker := time.NewTicker(l.timeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.respondsInTime(ctx, conn) && ctx.Err() == nil {
			l.Replace(conn)
			cancel()
			return
		}
	}
}

// respondsInTime reports whether the host answers a health check over conn within the
// timeout. An error other than an exceeded deadline counts as an answer.
func (l *Link) respondsInTime(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}

// WaitConnected waits up to the timeout until conn is connected and reports whether it
// is. No part of a request is sent before, so the result false proves that a request
// was not sent.
func (l *Link) WaitConnected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if state == connectivity.TransientFailure {
			return false
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// Invoke implements grpc.ClientConnInterface. Each call uses the connection that is
// current when the call is made.
func (l *Link) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	conn := l.Current()
	defer l.begin(conn)()
	return conn.Invoke(ctx, method, args, reply, opts...)
}

// NewStream implements grpc.ClientConnInterface. Each stream uses the connection that
// is current when the stream is opened.
func (l *Link) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return l.Current().NewStream(ctx, desc, method, opts...)
}
