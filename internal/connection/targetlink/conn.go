package targetlink

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes handed to the network, so that a failed
// request can be told from one that was never sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
