package controller

import (
	"context"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
)

// peerLink sends messages to one peer, one after the other.
type peerLink struct {
	Peer
	client  registerpb.RegisterClient
	ring    chan register.Request
	timeout time.Duration // of each call
	pushed  atomic.Uint64 // newest version that was handed over to be learned
}

func newPeerLink(p Peer, timeout time.Duration) *peerLink {
	return &peerLink{
		Peer:    p,
		client:  registerpb.NewRegisterClient(p.Conn),
		ring:    make(chan register.Request, peerRing),
		timeout: timeout,
	}
}

// send hands a message over, or drops it if too many wait.
func (l *peerLink) send(r register.Request) bool {
	if learn, ok := r.(register.Learn); ok && learn.Entry.Value.Version > l.pushed.Load() {
		l.pushed.Store(learn.Entry.Value.Version)
	}
	select {
	case l.ring <- r:
		return true
	default:
		return false
	}
}

// run sends messages and passes on the replies until ctx is cancelled. A
// failed call counts as a lost message.
func (l *peerLink) run(ctx context.Context, events chan<- event) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.ring:
			if l.isOvertaken(r) {
				continue
			}
			reply, err := l.call(ctx, r)
			if err != nil || reply == nil {
				continue
			}
			select {
			case events <- event{reply: reply}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// isOvertaken reports whether a newer value waits behind this one: where values are
// large and follow each other quickly, the peer would learn the last one late.
func (l *peerLink) isOvertaken(r register.Request) bool {
	learn, ok := r.(register.Learn)
	return ok && learn.Entry.Value.Version < l.pushed.Load()
}

// call returns no reply where none is needed.
func (l *peerLink) call(ctx context.Context, r register.Request) (register.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	switch r := r.(type) {
	case register.Prepare:
		m, err := l.client.Prepare(ctx, &registerpb.PrepareRequest{To: r.To, Ballot: registerpb.NewBallot(r.Ballot)})
		return m.Register(), err
	case register.Accept:
		m, err := l.client.Accept(ctx, &registerpb.AcceptRequest{To: r.To, Entry: registerpb.NewEntry(r.Entry)})
		return m.Register(), err
	case register.Inspect:
		m, err := l.client.Inspect(ctx, &registerpb.InspectRequest{
			Ballot: registerpb.NewBallot(r.Ballot),
			Known:  registerpb.NewBallot(r.Known),
		})
		return m.Register(), err
	case register.Learn:
		_, err := l.client.Learn(ctx, &registerpb.LearnRequest{Entry: registerpb.NewEntry(r.Entry)})
		return nil, err
	}
	return nil, nil
}
