package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction says which way of a link is meant.
type Direction string

// The directions of a link.
const (
	Both Direction = "both"
	Up   Direction = "up"   // from the side that connects
	Down Direction = "down" // to the side that connects
)

const dialTimeout = time.Second

// Relay forwards connections to one address.
//
// A cut holds bytes back, new connections' as well, and loses none: after it
// is healed they arrive, as they would by TCP's own retransmission. A silenced
// connection is held for good.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	changed *sync.Cond
	cutUp   bool
	cutDown bool
	delay   time.Duration
	refuse  bool
	pairs   map[*pair]bool
	closed  bool
	done    sync.WaitGroup
}

// pair is one connection and its continuation.
type pair struct {
	relay    *Relay
	near     net.Conn
	far      net.Conn
	silenced bool // guarded by relay.mu
}

// NewRelay listens at listen and forwards to to.
func NewRelay(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, to: to, pairs: map[*pair]bool{}}
	r.changed = sync.NewCond(&r.mu)
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the IP:port that the relay listens at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut holds back all bytes of one direction or both.
func (r *Relay) Cut(d Direction) {
	r.change(func() {
		r.cutUp = r.cutUp || d != Down
		r.cutDown = r.cutDown || d != Up
	})
}

// Heal ends cuts, refusals and the delay. Silenced connections stay silent.
func (r *Relay) Heal() {
	r.change(func() {
		r.cutUp, r.cutDown, r.refuse, r.delay = false, false, false, 0
	})
}

// Refuse resets the open connections and each new one.
func (r *Relay) Refuse() {
	r.change(func() {
		r.refuse = true
		for p := range r.pairs {
			p.reset()
		}
	})
}

// Silence holds back the bytes of the open connections for good. New
// connections work. It returns how many were silenced.
func (r *Relay) Silence() int {
	n := 0
	r.change(func() {
		for p := range r.pairs {
			p.silenced = true
			n++
		}
	})
	return n
}

// Delay holds each read back for d.
func (r *Relay) Delay(d time.Duration) {
	r.change(func() { r.delay = d })
}

// Connections returns how many connections are open.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.change(func() {
		r.closed = true
		for p := range r.pairs {
			p.reset()
		}
	})
	r.done.Wait()
}

func (r *Relay) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.changed.Broadcast()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.connect(near) })
	}
}

func (r *Relay) connect(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		resetConn(near)
		return
	}
	p := &pair{relay: r, near: near, far: far}
	if !r.register(p) {
		p.reset()
		return
	}
	r.done.Go(func() { p.copy(far, near, Up) })
	r.done.Go(func() { p.copy(near, far, Down) })
}

func (r *Relay) register(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.refuse {
		return false
	}
	r.pairs[p] = true
	return true
}

// pass waits until bytes of p may go on. It returns false if the relay closes.
func (r *Relay) pass(p *pair, d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && r.held(p, d) {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) held(p *pair, d Direction) bool {
	if p.silenced {
		return true
	}
	if d == Up {
		return r.cutUp
	}
	return r.cutDown
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *Relay) forget(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

const bufferBytes = 32 << 10

// copy forwards one direction until either end closes.
func (p *pair) copy(to, from net.Conn, d Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(p.relay.currentDelay())
		if !p.relay.pass(p, d) {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == io.EOF && closeWrite(to) {
			p.relay.forget(p)
			return
		}
		if err != nil {
			break
		}
	}
	p.reset()
	p.relay.forget(p)
}

// reset closes both connections.
func (p *pair) reset() {
	resetConn(p.near)
	resetConn(p.far)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}
