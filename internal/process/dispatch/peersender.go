package dispatch

import (
	"context"
	"time"
)

// PeerSender sends a message to another host of the domain and returns its answer.
type PeerSender interface {
	SendToPeer(ctx context.Context, to string, m PeerMessage) (PeerMessage, error)
}

// SetPeers names the other entry hosts of the failure domain.
func (l *Loop) SetPeers(names []string) error {
	return l.post(func(now time.Time) { l.config.Core.SetPeers(now, names) })
}

// PeerReport returns the periodic message to a peer.
func (l *Loop) PeerReport(ctx context.Context, to string) (PeerMessage, error) {
	return call(ctx, l, func(now time.Time) (PeerMessage, error) { return l.config.Core.PeerReport(now, to), nil })
}

// Exchange takes in a peer's message and returns the answer.
func (l *Loop) Exchange(ctx context.Context, from string, m PeerMessage) (PeerMessage, error) {
	return call(ctx, l, func(now time.Time) (PeerMessage, error) {
		l.config.Core.Receive(now, from, m)
		return l.config.Core.TakeMessagesFor(from), nil
	})
}

// Receive takes in a peer's answer.
func (l *Loop) Receive(from string, m PeerMessage) error {
	return l.post(func(now time.Time) { l.config.Core.Receive(now, from, m) })
}

// sendToPeers sends messages to peers, each on a goroutine of its own. A message that
// is lost loses loans at most, which the reports show. Their number is bounded
// by the pauses between requests and between loans.
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
