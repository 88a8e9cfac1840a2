package crowd

import (
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 10 * time.Second
	// sendTimeout bounds how long one client waits for a server that does not read.
	sendTimeout = 20 * time.Second
)

// Client sends what one client of a crowd sends. It returns when it has sent everything
// or its connection is closed; the connection stays open afterwards. All clients of the
// crowd that are still connected pass meet at about the same time, or the first that
// wait for it go on after sendTimeout.
type Client func(conn net.Conn, meet func())

// Crowd is a number of clients with a connection each.
type Crowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	closed  bool
	clients sync.WaitGroup
}

// Gather connects size clients to address and returns when each has sent what it sends.
func Gather(address string, size int, client Client) *Crowd {
	c := &Crowd{}
	meeting := newMeeting(size)
	for range size {
		c.clients.Go(func() {
			defer meeting.leave()
			if conn := c.connect(address); conn != nil {
				client(conn, meeting.meet)
			}
		})
	}
	c.clients.Wait()
	return c
}

// GatherAgain connects size clients to address, each again once its connection is
// closed or it has sent what it sends, until the crowd is closed.
func GatherAgain(address string, size int, client Client) *Crowd {
	c := &Crowd{}
	for range size {
		c.clients.Go(func() {
			for !c.isClosed() {
				conn := c.connect(address)
				if conn == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				client(conn, func() {})
				_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
		})
	}
	return c
}

func (c *Crowd) connect(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil
	}
	c.conns = append(c.conns, conn)
	return conn
}

func (c *Crowd) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close closes all connections and waits until all clients have ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// meeting lets clients wait for each other.
type meeting struct {
	mu      sync.Mutex
	missing int // clients that have neither come nor left
	all     chan struct{}
}

func newMeeting(size int) *meeting { return &meeting{missing: size, all: make(chan struct{})} }

func (m *meeting) meet() {
	m.leave()
	select {
	case <-m.all:
	case <-time.After(sendTimeout):
	}
}

// leave counts a client that has come, or that will not come. A client that came and
// then leaves counts twice, which opens a meeting that is over.
func (m *meeting) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missing--
	if m.missing == 0 {
		close(m.all)
	}
}
