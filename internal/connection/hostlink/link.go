// Package hostlink holds the gRPC connection from one host to another and replaces it
// when it stops answering. Packages peer and fleet make their calls over it. It repeats
// only calls that it is told may be made twice.
package hostlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/process/repeat"
)

// maxMissedExchanges is the number of consecutive exchanges without an answer after
// which the connection is replaced.
const maxMissedExchanges = 2

// Causes of the end of a call that are not the call's own.
var (
	// ErrSilent is returned for a call over a connection that carries nothing any more,
	// while the host answers over a new one. The host may have received the call.
	ErrSilent = errors.New("the connection was silent while the host answered over a new one")
	// ErrUnanswered is returned for a call over a connection on which a probe was not
	// answered, nor over a new one.
	ErrUnanswered = errors.New("the host did not answer a probe")
)

// Config configures a Link.
type Config struct {
	// Timeout applies to a connection being made. A probe is answered within it and half of
	// it again.
	Timeout time.Duration
	// Connect makes a connection. Its dialer returns what observe returns for each TCP
	// connection that it opens.
	Connect func(observe func(net.Conn) net.Conn) (*grpc.ClientConn, error)
	Now     func() time.Time // nil for time.Now
	Report  func(Trial)      // called at the end of each trial of a new connection; may be nil
}

// Conn is a connection of a Link.
type Conn struct {
	*grpc.ClientConn
	openedAt time.Time
	reads    atomic.Uint64 // reads of the TCP connection that returned bytes

	// Guarded by the link's lock:
	silent  bool
	calls   map[*call]bool // in progress
	probing bool           // a goroutine probes the connection
}

// call is a call in progress.
type call struct {
	cancel  context.CancelCauseFunc
	awaited bool // ends with ErrUnanswered if a probe is not answered
	probed  bool // the connection is probed for it
	ticks   int  // of the probes' clock since the call began
}

// Link holds the connection to one host. When a device between the hosts loses track
// of a connection, the connection stays open and silent, while a new one would work.
// A connection that does not answer in time is therefore replaced. A Link is safe for
// concurrent use.
type Link struct {
	config Config
	timer  repeat.Timer // of the answers to probes and exchanges

	mu                sync.Mutex
	longest           time.Duration // of the answer times before, partly forgotten
	conn              *Conn
	replaced          map[*Conn]bool // former connections with calls in progress
	consecutiveMissed int            // consecutive exchanges without an answer
	trying            bool           // a new connection is being tried beside the current one
	triedInVain       uint64         // reads of the current connection when neither it nor a new one answered; 0 if that was not so
	closed            bool
}

// New returns a Link.
func New(config Config) (*Link, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	l := &Link{config: config, replaced: map[*Conn]bool{}}
	var err error
	l.conn, err = l.open()
	return l, err
}

// open makes a connection.
func (l *Link) open() (*Conn, error) {
	c := &Conn{openedAt: l.config.Now(), calls: map[*call]bool{}}
	var err error
	c.ClientConn, err = l.config.Connect(func(opened net.Conn) net.Conn { return observedConn{opened, &c.reads} })
	return c, err
}

// observedConn counts the reads that return bytes.
type observedConn struct {
	net.Conn
	reads *atomic.Uint64
}

func (c observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Current returns the current connection. It may be replaced at any time, so callers
// must not keep it.
func (l *Link) Current() *Conn {
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
	for conn := range l.replaced {
		_ = conn.Close()
	}
}

// begin records a call over conn; end records its end. A connection that has been replaced
// is closed after its last call. The error is ErrSilent if conn was found to be silent.
func (l *Link) begin(conn *Conn, c *call) (end func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.silent {
		return nil, ErrSilent
	}
	conn.calls[c] = true
	if conn != l.conn {
		l.replaced[conn] = true
	}
	if c.probed && !conn.probing {
		conn.probing = true
		go l.probeWhileAwaited(conn)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(conn.calls, c)
		if len(conn.calls) == 0 && conn != l.conn {
			delete(l.replaced, conn)
			_ = conn.Close()
		}
	}, nil
}

// Replace makes a new connection in place of conn, unless conn has been replaced already
// or the link is closed. If no new connection can be made, conn stays. A host that is only
// slow still answers the calls in progress over conn, which is closed after them.
func (l *Link) Replace(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn != conn {
		return
	}
	newConn, err := l.open()
	if err != nil {
		return
	}
	l.use(newConn)
}

// use makes a connection the current one. The former one is closed after its last call. The
// caller holds the lock.
func (l *Link) use(conn *Conn) {
	former := l.conn
	l.conn, l.consecutiveMissed, l.triedInVain = conn, 0, 0
	if len(former.calls) == 0 {
		_ = former.Close()
	} else {
		l.replaced[former] = true
	}
}

// recordExchange records how an exchange over conn ended and replaces conn after
// maxMissedExchanges consecutive exchanges that exceeded their deadline.
func (l *Link) recordExchange(conn *Conn, err error) {
	l.mu.Lock()
	if status.Code(err) == codes.DeadlineExceeded {
		l.consecutiveMissed++
	} else {
		l.consecutiveMissed = 0
	}
	missed := l.consecutiveMissed >= maxMissedExchanges
	l.mu.Unlock()
	if missed {
		l.Replace(conn)
	}
}

// WaitConnected waits up to the timeout until conn is connected and reports whether it
// is. No part of a request is sent before, so the result false proves that a request
// was not sent.
func (l *Link) WaitConnected(ctx context.Context, conn *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
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

// Invoke implements grpc.ClientConnInterface for calls that may be made twice. Each call
// uses the connection that is current when the call is made.
func (l *Link) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	return l.Repeat(ctx, func(ctx context.Context, conn *Conn) error {
		return conn.Invoke(ctx, method, args, reply, opts...)
	})
}

// NewStream implements grpc.ClientConnInterface. Each stream uses the connection that
// is current when the stream is opened.
func (l *Link) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return l.Current().NewStream(ctx, desc, method, opts...)
}
