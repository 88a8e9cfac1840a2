package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction selects the direction of a link that a fault applies to.
type Direction string

// The directions of a link.
const (
	Both Direction = "both"
	Up   Direction = "up"   // from the side that opened the connection
	Down Direction = "down" // to the side that opened the connection
)

const dialTimeout = time.Second

// Relay forwards TCP connections to one address. Its methods are safe for
// concurrent use.
//
// A cut holds back the bytes of open and new connections and loses none: after
// Heal they arrive, as TCP would deliver them by retransmission. A silenced
// connection never forwards another byte, nor its end; one that is held forwards nothing until
// Release.
type Relay struct {
	listener    net.Listener
	destination string

	mu           sync.Mutex
	stateChanged *sync.Cond
	cutUp        bool
	cutDown      bool
	delay        time.Duration
	refusing     bool
	connections  map[*relayedConn]bool
	opened       int // connections forwarded so far
	closed       bool
	goroutines   sync.WaitGroup
}

// relayedConn is an accepted connection and the connection that the relay
// opened to the destination for it.
type relayedConn struct {
	relay    *Relay
	inbound  net.Conn
	outbound net.Conn
	silenced bool // guarded by relay.mu
	held     bool // guarded by relay.mu
	ended    int  // ends that closed while it was silenced; guarded by relay.mu
}

// NewRelay starts a relay that listens at listenAddress and forwards to
// destination, both host:port. Its error is that of the listener; the
// destination is dialled only for each accepted connection.
func NewRelay(listenAddress, destination string) (*Relay, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, destination: destination, connections: map[*relayedConn]bool{}}
	r.stateChanged = sync.NewCond(&r.mu)
	r.goroutines.Go(r.acceptConnections)
	return r, nil
}

// Address returns the IP:port at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut holds back all bytes of one direction or both until Heal. Cuts add up: a
// cut of one direction leaves an earlier cut of the other in place.
func (r *Relay) Cut(d Direction) {
	r.update(func() {
		r.cutUp = r.cutUp || d != Down
		r.cutDown = r.cutDown || d != Up
	})
}

// Heal ends cuts, refusals and the delay. Silenced connections stay silenced.
func (r *Relay) Heal() {
	r.update(func() {
		r.cutUp, r.cutDown, r.refusing, r.delay = false, false, false, 0
	})
}

// Refuse resets the open connections and, until Heal, each new one.
func (r *Relay) Refuse() {
	r.update(func() {
		r.refusing = true
		for p := range r.connections {
			p.reset()
		}
	})
}

// Silence drops the bytes of the open connections for good, also after Heal; new
// connections are forwarded. It returns the number of connections silenced.
func (r *Relay) Silence() int { return r.SilenceSome(func() bool { return true }) }

// SilenceSome is Silence for those of the open connections for which pick returns true.
func (r *Relay) SilenceSome(pick func() bool) int {
	n := 0
	r.update(func() {
		for p := range r.connections {
			if !p.silenced && pick() {
				p.silenced = true
				n++
			}
		}
	})
	return n
}

// Hold holds back the bytes of the open connections until Release, also after Heal; new
// connections are forwarded.
func (r *Relay) Hold() { r.setHeld(true) }

// Release makes the connections that are held deliver what they hold back.
func (r *Relay) Release() { r.setHeld(false) }

func (r *Relay) setHeld(held bool) {
	r.update(func() {
		for p := range r.connections {
			p.held = held
		}
	})
}

// Delay makes the relay wait for d after each read before it forwards the
// bytes read, until Heal.
func (r *Relay) Delay(d time.Duration) {
	r.update(func() { r.delay = d })
}

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Opened returns the number of connections that were forwarded so far.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Close stops listening, resets the open connections and waits until all
// goroutines of the relay have ended.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.update(func() {
		r.closed = true
		for p := range r.connections {
			p.reset()
		}
	})
	r.goroutines.Wait()
}

func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.stateChanged.Broadcast()
}

func (r *Relay) acceptConnections() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.connectOutbound(inbound) })
	}
}

func (r *Relay) connectOutbound(inbound net.Conn) {
	outbound, err := net.DialTimeout("tcp", r.destination, dialTimeout)
	if err != nil {
		resetConn(inbound)
		return
	}
	p := &relayedConn{relay: r, inbound: inbound, outbound: outbound}
	if !r.register(p) {
		p.reset()
		return
	}
	r.goroutines.Go(func() { p.forward(outbound, inbound, Up) })
	r.goroutines.Go(func() { p.forward(inbound, outbound, Down) })
}

func (r *Relay) register(p *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.refusing {
		return false
	}
	r.connections[p] = true
	r.opened++
	return true
}

// waitWhileBlocked blocks while a cut or Hold holds back the bytes of p in direction d. It
// returns false if the relay is closed.
func (r *Relay) waitWhileBlocked(p *relayedConn, d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && r.isBlocked(p, d) {
		r.stateChanged.Wait()
	}
	return !r.closed
}

func (r *Relay) isBlocked(p *relayedConn, d Direction) bool {
	if p.silenced {
		return false
	}
	if p.held {
		return true
	}
	if d == Up {
		return r.cutUp
	}
	return r.cutDown
}

func (r *Relay) isSilenced(p *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silenced
}

// endSilenced closes the end of a silenced connection that its peer has closed. The other
// end is not told.
func (r *Relay) endSilenced(p *relayedConn, end net.Conn) {
	_ = end.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.ended++; p.ended == 2 {
		delete(r.connections, p)
	}
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *Relay) unregister(p *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, p)
}

const copyBufferBytes = 32 << 10

// forward copies the bytes of direction d until either end closes. The end of
// the stream is passed on as a half-close, so that the other direction can
// continue; an error or the close of the relay resets both connections.
func (p *relayedConn) forward(to, from net.Conn, d Direction) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(p.relay.currentDelay())
		if !p.relay.waitWhileBlocked(p, d) {
			break
		}
		if p.relay.isSilenced(p) {
			if err != nil {
				p.relay.endSilenced(p, from)
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == io.EOF && closeWrite(to) {
			p.relay.unregister(p)
			return
		}
		if err != nil {
			break
		}
	}
	p.reset()
	p.relay.unregister(p)
}

// reset closes both connections with a TCP reset.
func (p *relayedConn) reset() {
	resetConn(p.inbound)
	resetConn(p.outbound)
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
