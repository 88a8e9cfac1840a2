package liveconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is one connection. Its transport holds no other one, so that the pool chooses the
// connection of each request. Its fields are guarded by the pool.
type conn struct {
	address   string
	transport *http.Transport
	current   net.Conn // nil before it is opened and after it was closed
	openedAt  time.Time
	provenAt  time.Time // when it was opened or has last answered
}

func newConn(p *Pool, address string) *conn {
	c := &conn{address: address}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.dial(ctx, c, network, address)
		},
		MaxConnsPerHost:    1,
		IdleConnTimeout:    p.config.IdleTimeout,
		DisableCompression: true,
	}
	return c
}

func (p *Pool) dial(ctx context.Context, c *conn, network, address string) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	opened := &observedConn{Conn: raw}
	opened.closed = func() { p.handleClosed(c, opened) }
	p.handleOpened(c, opened)
	return opened, nil
}

// isOpen reports whether the connection can carry a request. The caller holds the pool's lock.
func (c *conn) isOpen() bool { return c.current != nil }

// close closes the connection, now or when its transport ends the request on it.
func (c *conn) close() { c.transport.CloseIdleConnections() }

// observedConn tells the pool when it is closed.
type observedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (o *observedConn) Close() error {
	err := o.Conn.Close()
	o.once.Do(o.closed)
	return err
}
