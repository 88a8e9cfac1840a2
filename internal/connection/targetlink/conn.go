package targetlink

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes written to the network, so that a request that
// failed on the way can be distinguished from one that was never sent.
type countingConn struct {
	net.Conn
	bytesWritten atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}
