package fleet

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// MemoryHost is a host whose messages to other hosts a test passes on, so that it can lose,
// delay and double them. Its pools run as in a Node.
type MemoryHost struct {
	*Node
	Kill    func()
	machine *Machine
}

// dialNothing returns a connection that never connects.
func dialNothing(func(net.Conn) net.Conn) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///nothing", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }))
}

// StartMemoryHost starts a host that cannot reach the given addresses by itself.
func StartMemoryHost(ctx context.Context, config Config, others []string) (*MemoryHost, error) {
	return StartMemoryHostOn(ctx, NewMachine(), config, others)
}

// StartMemoryHostOn starts a host on a machine.
func StartMemoryHostOn(ctx context.Context, machine *Machine, config Config, others []string) (*MemoryHost, error) {
	if config.Clock == nil {
		config.Clock = machine.Now
	}
	n, err := New(config)
	if err != nil {
		return nil, err
	}
	h := &MemoryHost{Node: n, machine: machine}
	runCtx, cancel := context.WithCancel(ctx)
	n.runCtx = runCtx
	h.Kill = func() {
		cancel()
		n.closeLinks()
	}
	n.group = new(errgroup.Group)
	for _, address := range others {
		if n.links[address], err = hostlink.New(hostlink.Config{Timeout: dialTimeout, Connect: dialNothing}); err != nil {
			return nil, err
		}
	}
	n.openOwnPools()
	go h.beat(runCtx)
	return h, nil
}

// Alive reports whether the host has not been killed.
func (h *MemoryHost) Alive() bool { return h.runCtx.Err() == nil }

// Greet passes a hello message on. A host that pauses sends none, and reads it later.
func (h *MemoryHost) Greet(to *MemoryHost) {
	if h.machine.Runs() {
		hello := h.helloMessage(nil, 0)
		to.machine.Deliver(func() { to.receiveHello(hello) })
	}
}

// Receive passes an announcement of a target on.
func (h *MemoryHost) Receive(a Announcement) {
	h.machine.Deliver(func() {
		a.ReceivedAt = h.now()
		h.Announce(a)
	})
}

// Split splits a domain, as far as this host knows.
func (h *MemoryHost) Split(domain string, count int) {
	h.mu.Lock()
	h.raiseShardCount(domain, count)
	h.mu.Unlock()
	h.openOwnPools()
}

// SubmitTo submits a job to a pool of this host.
func (h *MemoryHost) SubmitTo(ctx context.Context, pool string, j scheduler.Job) scheduler.Answer {
	return h.submitLocally(ctx, pool, j, "")
}

// StateFate is what becomes of the message with the state of a pool that is handed over.
type StateFate int

// The fates of a state.
const (
	StateArrives StateFate = iota
	StateArrivesTwice
	StateAnswerLost
	StateLate // after the sender has given up
	StateLost
	StateRefused
	StateAnswerLostThenRefused
	StateAnswerLostThenRestarted // the receiver has restarted before the state is sent again
	StateFates                   // the number of fates
)

// HandOverTo hands a pool over if this host holds it. sent is called with the state, and
// restart replaces the receiver.
func (h *MemoryHost) HandOverTo(to *MemoryHost, id shards.Pool, fate StateFate, sent func(*fleetpb.PoolState), restart func() *MemoryHost) {
	p := h.openPool(id)
	p.post(eventFunc(func(p *pool, now time.Time) {
		if !p.heldHere.Load() || p.handingOver || to == h {
			return
		}
		p.handingOver = true
		for _, s := range p.sessions {
			s.close()
		}
		go p.post(eventFunc(func(p *pool, now time.Time) {
			state := p.stateMessage(now)
			state.MadeAtMs = p.node.clockOf(to.config.Self.Address, now)
			sent(state)
			go func() {
				delivery := stateDelivery{from: h, to: to, id: id, fate: fate, restart: restart}
				claim, outcome, _ := p.sendRepeatedly(to.config.Self.Address, state, func(context.Context) (*fleetpb.Claim, error) {
					return delivery.try(proto.CloneOf(state)) // a late one is read while the next is prepared
				})
				p.post(handedOverEvent{to: to.config.Self.Address, claim: claim, outcome: outcome, done: make(chan struct{})})
			}()
		}))
	}))
}

// stateDelivery passes the state of a pool on, as often as it is sent.
type stateDelivery struct {
	from    *MemoryHost
	to      *MemoryHost
	id      shards.Pool
	fate    StateFate
	restart func() *MemoryHost
	tries   int
}

var (
	errStateLost    = status.Error(codes.DeadlineExceeded, "lost")
	errStateRefused = status.Error(codes.FailedPrecondition, "refused")
)

// try returns what the sender of the state learns.
func (d *stateDelivery) try(state *fleetpb.PoolState) (*fleetpb.Claim, error) {
	d.tries++
	receive := func() (*fleetpb.Claim, error) {
		if !d.from.machine.Await(d.from.runCtx) {
			return nil, errStateLost
		}
		ctx, cancel := context.WithTimeout(d.to.runCtx, handoverTimeout)
		defer cancel()
		return d.to.openPool(d.id).receivePool(ctx, state)
	}
	switch d.fate {
	case StateRefused:
		return nil, errStateRefused
	case StateLate:
		time.AfterFunc(handoverTimeout+200*time.Millisecond, func() { _, _ = receive() })
		fallthrough
	case StateLost:
		time.Sleep(handoverTimeout)
		return nil, errStateLost
	case StateArrivesTwice:
		_, _ = receive()
	case StateAnswerLostThenRefused:
		if d.tries > 1 {
			return nil, errStateRefused
		}
	case StateAnswerLostThenRestarted:
		if d.tries > 1 {
			return receive()
		}
	}
	claim, err := receive()
	switch d.fate {
	case StateAnswerLostThenRestarted:
		d.to = d.restart()
		return nil, errStateLost
	case StateAnswerLost, StateAnswerLostThenRefused:
		return nil, errStateLost
	}
	return claim, err
}

// eventFunc is an event of a test.
type eventFunc func(p *pool, now time.Time)

func (f eventFunc) apply(p *pool, now time.Time) { f(p, now) }
