package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerBytesFactor is how many bytes of memory a byte of headers takes at most: the
	// shortest header line has four bytes, and a map entry of its own.
	headerBytesFactor = 40
	// headerSlack is what may arrive with the headers: net/http reads 4 KiB at a time.
	headerSlack = 4 << 10
	// receiveBufferBytes is asked for as the kernel's receive buffer; it doubles the
	// figure for its own needs.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 32 << 10
	writeBytes         = 32 << 10 // that a client has to take within the idle timeout

	// discardTime is how long an answer waits for the rest of the request's body, so that
	// the connection can be used again.
	discardTime = 50 * time.Millisecond
	// lingerTime and lingerBytes bound what is read of a refused request before its
	// connection is closed: a close with unread bytes resets the connection, and the
	// client may lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

var (
	errGaveWay        = errors.New("intake: the connection has given way")
	errHeadersTooLong = errors.New("intake: the headers are too long")
)

// conn is a connection whose reads and writes have deadlines and are charged.
//
// The server's own goroutine and the goroutine with which net/http notices that a client
// has left read from it, one at a time.
type conn struct {
	net.Conn
	timeouts func() Timeouts
	account  *Account
	refused  atomic.Bool // set by giveWay
	closing  sync.Once

	mu          sync.Mutex
	phase       Phase
	since       time.Time // the start of Waiting, Headers or Discarding
	first       bool      // no request has been received yet
	headerBytes int
	charged     int64     // for the request in progress
	headersHeld int64     // of these, for its headers
	until       time.Time // when the client of a request that arrives no longer waits
	cut         bool      // reads fail from now on: the connection cannot be used again
}

func newConn(inner net.Conn, timeouts func() Timeouts, now time.Time) *conn {
	return &conn{Conn: inner, timeouts: timeouts, since: now, first: true}
}

// giveWay makes room for another connection. It takes no lock of c.
func (c *conn) giveWay(how Ending) {
	c.refused.Store(true)
	if how == Close {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.setReadDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if chargeErr := c.arrived(n); chargeErr != nil {
			return 0, chargeErr
		}
	}
	return n, err
}

// setReadDeadline sets the deadline of the next read. While the request is worked on,
// net/http sets the deadlines.
func (c *conn) setReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return errGaveWay
	}
	if deadline, ok := c.readDeadline(); ok {
		_ = c.Conn.SetReadDeadline(deadline)
	}
	if c.refused.Load() { // after the deadline is set, so that it replaces none of giveWay
		c.cut = true
		return errGaveWay
	}
	return nil
}

func (c *conn) readDeadline() (time.Time, bool) {
	timeouts := c.timeouts()
	switch c.phase {
	case Waiting:
		if c.first {
			return c.since.Add(timeouts.Header), true
		}
		return c.since.Add(timeouts.Idle), true
	case Headers:
		return c.since.Add(timeouts.Header), true
	case Body:
		deadline := time.Now().Add(timeouts.Idle)
		if !c.until.IsZero() && c.until.Before(deadline) {
			deadline = c.until
		}
		return deadline, true
	case Discarding:
		return c.since.Add(discardTime), true
	}
	return time.Time{}, false
}

// arrived charges n bytes that were read.
func (c *conn) arrived(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch c.phase {
	case Waiting:
		c.phase, c.headerBytes = Headers, 0
		if !c.first {
			c.since = now
		}
		c.account.Enter(Headers, now)
		fallthrough
	case Headers:
		c.headerBytes += n
		if c.headerBytes > c.timeouts().HeaderBytes+headerSlack {
			c.cut = true
			return errHeadersTooLong
		}
		c.account.Progress(n, now)
		if c.headerBytes > headerSlack && !c.hold(int64(n)*headerBytesFactor, now) {
			return errGaveWay
		}
	case Body:
		c.account.Progress(n, now)
	case Working:
		// The client sends on without waiting for its answer: the kernel's buffer fills.
		c.cut = c.cut || !c.hold(2*receiveBufferBytes, now)
	}
	return nil
}

func (c *conn) hold(delta int64, now time.Time) bool {
	if !c.account.Hold(delta, now) {
		return false
	}
	c.charged += delta
	return true
}

// holdTotal changes what the request in progress is charged with to total.
func (c *conn) holdTotal(total int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold(total-c.charged, time.Now())
}

// begin starts a request whose headers have arrived and take headerBytes of memory.
func (c *conn) begin(phase Phase, headerBytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.headersHeld = headerBytes
	return c.hold(headerBytes-c.charged, now) && c.enterLocked(phase, now)
}

// enter changes the phase. A read in progress has no deadline of the former phase.
func (c *conn) enter(phase Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enterLocked(phase, time.Now())
}

func (c *conn) enterLocked(phase Phase, now time.Time) bool {
	c.phase, c.since = phase, now
	switch phase {
	case Working:
		_ = c.Conn.SetReadDeadline(time.Time{})
	case Waiting:
		c.first, c.until = false, time.Time{}
		c.hold(-c.charged, now)
	}
	return c.account.Enter(phase, now)
}

// discard reads what still comes of the body of an answered request. If that does not
// end soon, the connection is closed after the answer.
func (c *conn) discard(r *http.Request) {
	c.enter(Discarding)
	if r.Header.Get("Expect") == "" { // else reading asks the client to send the body
		if _, err := io.CopyN(io.Discard, r.Body, lingerBytes); err == io.EOF {
			c.enter(Working)
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// setUntil sets how long the client of the request that arrives waits.
func (c *conn) setUntil(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
}

func (c *conn) currentPhase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// Write implements net.Conn. A client that does not read its answer gives way, and is
// left at the latest after the idle timeout.
func (c *conn) Write(p []byte) (int, error) {
	now, idle := time.Now(), c.timeouts().Idle
	if c.currentPhase() == Working {
		c.account.Enter(Answering, now)
		defer c.account.Enter(Working, now)
	}
	for written := 0; ; now = time.Now() {
		part := p[written:min(len(p), written+writeBytes)]
		_ = c.SetWriteDeadline(now.Add(idle))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn. It first reads what still comes of a request that was not
// read to its end.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		c.mu.Lock()
		linger := c.cut
		c.mu.Unlock()
		if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && inner.CloseWrite() == nil {
			_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		}
		err = c.Conn.Close()
		c.account.End()
	})
	return err
}
