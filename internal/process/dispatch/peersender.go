package dispatch

import (
	"context"
	"time"
)

// PeerSender sends a message to another host of the failure domain and returns the
// answer.
type PeerSender interface {
	SendToPeer(ctx context.Context, to string, m PeerMessage) (PeerMessage, error)
}

// SetPeers replaces the list of the other entry hosts of the failure domain. It fails
// with Overloaded if the ring is full.
func (l *Loop) SetPeers(names []string) error {
	return l.post(func(now time.Time) { l.config.Core.SetPeers(now, names) })
}

// PeerReport returns the periodic message to a peer, with this host's slots and
// demand.
func (l *Loop) PeerReport(ctx context.Context, to string) (PeerMessage, error) {
	return call(ctx, l, func(now time.Time) (PeerMessage, error) { return l.config.Core.PeerReport(now, to), nil })
}

// Exchange applies a peer's message and returns the answer to it.
func (l *Loop) Exchange(ctx context.Context, from string, m PeerMessage) (PeerMessage, error) {
	return call(ctx, l, func(now time.Time) (PeerMessage, error) {
		l.config.Core.Receive(now, from, m)
		return l.config.Core.TakeMessagesFor(from), nil
	})
}

// Receive applies a peer's answer. It fails with Overloaded if the ring is full.
func (l *Loop) Receive(from string, m PeerMessage) error {
	return l.post(func(now time.Time) { l.config.Core.Receive(now, from, m) })
}

// sendToPeers sends messages to peers, each on a goroutine of its own. A lost message
// loses at most the slots that it lends; the periodic reports reveal such a loss.
// The pauses between slot requests and between loans bound the number of messages.
func (l *Loop) sendToPeers(ctx context.Context, list []OutgoingMessage) {
	if l.config.PeerSender == nil {
		return
	}
	for _, m := range list {
		go func() {
			answer, err := l.config.PeerSender.SendToPeer(ctx, m.To, m.Message)
			if err == nil {
				_ = l.Receive(m.To, answer)
			}
		}()
	}
}
