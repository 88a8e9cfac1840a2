package controller

import (
	"context"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
)

// peerLink sends messages to one peer, one at a time.
type peerLink struct {
	Peer
	client             registerpb.RegisterClient
	ring               chan register.Request
	callTimeout        time.Duration // of each call
	newestLearnVersion atomic.Uint64 // newest version in any Learn passed to enqueue
}

func newPeerLink(p Peer, timeout time.Duration) *peerLink {
	return &peerLink{
		Peer:        p,
		client:      registerpb.NewRegisterClient(p.Conn),
		ring:        make(chan register.Request, peerRingSize),
		callTimeout: timeout,
	}
}

// enqueue queues a message for the peer. It reports false and drops the message
// if the ring is full.
func (l *peerLink) enqueue(r register.Request) bool {
	if learn, ok := r.(register.Learn); ok && learn.Entry.Value.Version > l.newestLearnVersion.Load() {
		l.newestLearnVersion.Store(learn.Entry.Value.Version)
	}
	select {
	case l.ring <- r:
		return true
	default:
		return false
	}
}

// run sends the queued messages and passes the replies to events until ctx is
// cancelled. A failed call counts as a lost message.
func (l *peerLink) run(ctx context.Context, events chan<- event) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.ring:
			if l.isSuperseded(r) {
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

// isSuperseded reports whether r is a Learn and one with a newer version has been
// passed to enqueue since. Skipping it keeps the peer from learning the newest
// value late when large values follow each other quickly.
func (l *peerLink) isSuperseded(r register.Request) bool {
	learn, ok := r.(register.Learn)
	return ok && learn.Entry.Value.Version < l.newestLearnVersion.Load()
}

// call makes the RPC for a request. The reply to a Learn is discarded and nil is
// returned instead.
func (l *peerLink) call(ctx context.Context, r register.Request) (register.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	switch r := r.(type) {
	case register.Prepare:
		m, err := l.client.Prepare(ctx, &registerpb.PrepareRequest{To: r.To, Ballot: registerpb.NewBallot(r.Ballot), Urgent: r.Urgent})
		return m.ToRegister(), err
	case register.Accept:
		m, err := l.client.Accept(ctx, &registerpb.AcceptRequest{To: r.To, Entry: registerpb.NewEntry(r.Entry)})
		return m.ToRegister(), err
	case register.Inspect:
		m, err := l.client.Inspect(ctx, &registerpb.InspectRequest{
			Ballot: registerpb.NewBallot(r.Ballot),
			Known:  registerpb.NewBallot(r.Known),
		})
		return m.ToRegister(), err
	case register.Learn:
		_, err := l.client.Learn(ctx, &registerpb.LearnRequest{Entry: registerpb.NewEntry(r.Entry)})
		return nil, err
	}
	return nil, nil
}
