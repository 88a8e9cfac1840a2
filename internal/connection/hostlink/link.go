// Package hostlink holds the connection from one host to another, and replaces
// one that has gone silent.
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

// missedExchanges is how many exchanges in a row get no answer before the
// connection is taken for silent.
const missedExchanges = 2

// Link holds the connection to one host. A connection that something between
// the hosts has lost track of stays open and silent, while a new one would
// work, so a connection that does not answer in time is replaced.
type Link struct {
	connect func() (*grpc.ClientConn, error)
	timeout time.Duration // for a connection to be made or to answer

	mu     sync.Mutex
	conn   *grpc.ClientConn
	missed int // exchanges in a row without an answer
	closed bool
}

// New returns a Link. Connect makes a connection; timeout is for it to be made or
// to answer.
func New(timeout time.Duration, connect func() (*grpc.ClientConn, error)) (*Link, error) {
	conn, err := connect()
	return &Link{connect: connect, timeout: timeout, conn: conn}, err
}

// Current returns the connection in use.
func (l *Link) Current() *grpc.ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.conn.Close()
}

// Replace closes conn and makes a new connection, unless another call did.
// Calls in progress on conn end with an error.
func (l *Link) Replace(conn *grpc.ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn != conn {
		return
	}
	fresh, err := l.connect()
	if err != nil {
		return
	}
	l.conn, l.missed = fresh, 0
	_ = conn.Close()
}

// RecordExchange takes in how an exchange over conn ended.
func (l *Link) RecordExchange(conn *grpc.ClientConn, err error) {
	l.mu.Lock()
	if status.Code(err) == codes.DeadlineExceeded {
		l.missed++
	} else {
		l.missed = 0
	}
	silent := l.missed >= missedExchanges
	l.mu.Unlock()
	if silent {
		l.Replace(conn)
	}
}

// CallWithProbes calls f and probes conn until f returns. If a probe gets no answer,
// conn is replaced and f's context is cancelled. Hence f waits for a silent
// connection or a frozen host at most twice the link's timeout, and for a slow
// answer as long as ctx allows.
func (l *Link) CallWithProbes(ctx context.Context, conn *grpc.ClientConn, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.probe(ctx, cancel, conn)
	return f(ctx)
}

func (l *Link) probe(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn) {
	ticker := time.NewTicker(l.timeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.answers(ctx, conn) && ctx.Err() == nil {
			l.Replace(conn)
			cancel()
			return
		}
	}
}

// answers reports whether conn answers within the timeout, be it by an error.
func (l *Link) answers(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}

// WaitConnected waits up to the timeout for conn to be made. Nothing of a request
// is sent before it is there, so its absence proves a request unsent.
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

// Invoke implements grpc.ClientConnInterface. Each call uses the connection of
// that moment, so a silent one that was replaced does not matter.
func (l *Link) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	return l.Current().Invoke(ctx, method, args, reply, opts...)
}

// NewStream implements grpc.ClientConnInterface.
func (l *Link) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return l.Current().NewStream(ctx, desc, method, opts...)
}
