// Package traffic counts the bytes sent and received over TCP connections. It counts
// what is passed to and received from the kernel, that is, everything except the
// headers of TCP and IP.
package traffic

import (
	"context"
	"net"
)

// Counter is a byte counter that Inc increases by delta.
type Counter interface{ Inc(delta int64) }

// Meter counts the bytes sent and received on the connections it meters.
type Meter struct {
	Sent     Counter
	Received Counter
}

// Listen returns a listener that meters the connections that l accepts.
func (m Meter) Listen(l net.Listener) net.Listener { return listener{l, m} }

// Dial connects to a TCP address and meters the connection.
func (m Meter) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn{c, m}, nil
}

type listener struct {
	net.Listener
	meter Meter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.meter}, nil
}

type conn struct {
	net.Conn
	meter Meter
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent.Inc(int64(n))
	return n, err
}
