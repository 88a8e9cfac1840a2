package target

import (
	"net"
	"sync"
)

// limitListener accepts at most a fixed number of connections at the same time; further
// connections wait in the kernel's queue.
type limitListener struct {
	net.Listener
	tokens chan struct{}
}

func newLimitListener(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, tokens: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.tokens <- struct{}{}
	return &limitConn{Conn: conn, release: func() { <-l.tokens }}, nil
}

type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
