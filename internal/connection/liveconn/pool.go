package liveconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Config configures a Pool.
type Config struct {
	DialTimeout time.Duration // for one connection to be opened
	IdleTimeout time.Duration // how long an idle connection is kept
	MaxConns    int           // connections to one target that first copies may use
	// MaxCopyConns bounds the connections to one target with those opened for later copies: these
	// must not wait for the connections on which the first ones hang.
	MaxCopyConns int
	MaxBodyBytes int64 // of an answer that are read
}

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	config  Config
	dialer  net.Dialer
	mu      sync.Mutex
	targets map[string]*target // by address
}

// NewPool returns a Pool without connections.
func NewPool(config Config) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout}, targets: map[string]*target{}}
}

// Do sends a request, which is a copy of the call in its context, and returns the status and the
// body of the answer.
func (p *Pool) Do(r *http.Request) (status int, body []byte, err error) {
	x, begunAt := copyOf(r.Context()), time.Now()
	s, err := p.acquire(r.Context(), x, r.URL.Host)
	if err != nil {
		return 0, nil, err
	}
	response, err := s.conn.transport.RoundTrip(r)
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(io.LimitReader(response.Body, p.config.MaxBodyBytes))
		_ = response.Body.Close()
	}
	x.delay.Store(int64(p.release(s, err == nil, r.Context().Err() != nil).Sub(begunAt)))
	return status, body, err
}

// acquire returns a copy with a connection of its own.
func (p *Pool) acquire(ctx context.Context, x *Copy, address string) (*send, error) {
	var impatient <-chan time.Time
	if x.patience > 0 {
		impatient = time.After(x.patience)
	}
	for patient := x.patience > 0; ; {
		s, dropped, wait, err := p.tryAcquire(x, patient, address)
		if dropped != nil {
			dropped.close()
		}
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-wait:
		case <-impatient:
			p.stopWaiting(address, wait)
			patient = false
		case <-ctx.Done():
			p.stopWaiting(address, wait)
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a copy with its connection, or the channel to wait for.
func (p *Pool) tryAcquire(x *Copy, patient bool, address string) (s *send, dropped *conn, wait chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(address)
	if patient && x.call.isAnswered() {
		return nil, nil, nil, ErrAnswered
	}
	limit, provenSince := p.config.MaxConns, x.call.provenSince()
	if len(x.call.sends) > 0 {
		limit = p.config.MaxCopyConns
	}
	if t.losesRequests() && len(x.call.sends) == 1 { // the connections are probably sound
		provenSince, patient = time.Time{}, false
	}
	c := t.takeIdle(provenSince)
	if c == nil && patient {
		wait = make(chan struct{})
		t.patient = append(t.patient, wait)
		return nil, nil, wait, nil
	}
	if c == nil {
		var mayOpen bool
		if dropped, mayOpen = t.makeRoom(limit); !mayOpen {
			wait = make(chan struct{})
			t.waiting = append(t.waiting, wait)
			return nil, nil, wait, nil
		}
		c = newConn(p, address)
	}
	now := time.Now()
	s = &send{call: x.call, sentAt: now, dueAt: now.Add(x.wait), conn: c}
	x.call.sends = append(x.call.sends, s)
	t.busy[c] = s
	return s, dropped, nil, nil
}

// target returns the state of the connections to an address. The caller holds the lock.
func (p *Pool) target(address string) *target {
	t, ok := p.targets[address]
	if !ok {
		p.forgetUnused()
		t = newTarget()
		p.targets[address] = t
	}
	return t
}

// stopWaiting ends a wait. If it had ended, another request takes its place.
func (p *Pool) stopWaiting(address string, wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(address)
	if i := slices.Index(t.patient, wait); i >= 0 {
		t.patient = slices.Delete(t.patient, i, i+1)
		return
	}
	if i := slices.Index(t.waiting, wait); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.wakeOne()
}

// release ends a copy: its connection is idle if it was answered, and closed otherwise. It returns
// when the copy had its connection.
func (p *Pool) release(s *send, answered, gaveUp bool) (connectedAt time.Time) {
	p.mu.Lock()
	c := s.conn
	connectedAt = s.sentAt
	if c.openedAt.After(connectedAt) {
		connectedAt = c.openedAt
	}
	t := p.targets[c.address]
	var closing []*conn
	if answered {
		closing = t.handleAnswer(s, time.Now())
	} else {
		s.broken = !gaveUp
		closing = []*conn{c}
	}
	delete(t.busy, c)
	if answered && c.isOpen() {
		t.idle = append(t.idle, c)
	}
	t.wakeOne()
	t.wakePatient()
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
	return connectedAt
}

// handleClosed removes a connection that was closed while idle.
func (p *Pool) handleClosed(c *conn, closed net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.current != closed {
		return // another one was opened in its place
	}
	c.current = nil
	t, ok := p.targets[c.address]
	if !ok {
		return
	}
	if _, busy := t.busy[c]; !busy {
		t.remove(c)
	}
}

// handleOpened records that a connection was opened.
func (p *Pool) handleOpened(c *conn, opened net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c.current, c.openedAt, c.provenAt = opened, now, now
}

// forgetUnused forgets the targets without connections. What was found of a target is kept for as
// long as an idle connection. The caller holds the lock.
func (p *Pool) forgetUnused() {
	for address, t := range p.targets {
		if t.count() == 0 && len(t.waiting)+len(t.patient) == 0 && time.Since(t.foundAt) > p.config.IdleTimeout {
			delete(p.targets, address)
		}
	}
}
