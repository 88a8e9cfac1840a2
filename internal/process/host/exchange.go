package host

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/process/settings"
)

const farFactor = 4 // exchanges between domains are this much rarer

// exchanges reports whether this host starts the exchanges with p. One of a
// pair does, and its message and the reply carry both sides' news.
func (h *Host) exchanges(p settings.Peer) bool { return h.settings.Host < p.Host }

// exchangeWith talks to one other host until ctx is cancelled.
func (h *Host) exchangeWith(ctx context.Context, p settings.Peer) error {
	interval := h.settings.Timing.Exchange
	if p.Domain != h.settings.Domain {
		interval *= farFactor
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		h.exchangeOnce(ctx, p)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *Host) exchangeOnce(ctx context.Context, p settings.Peer) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DialTimeout)
	defer cancel()
	reply, err := h.client.Exchange(ctx, p.Host, h.message(p.Host, p.Domain))
	if err != nil {
		h.log.Debug("An exchange failed.", "peer", p.Host, "error", err)
		return
	}
	h.learn(reply)
}

// message states what this host knows: to a host of the same domain with the
// changes to the target table.
func (h *Host) message(host, domain string) *peerpb.ExchangeMessage {
	m := &peerpb.ExchangeMessage{
		Host:        h.settings.Host,
		Domain:      h.settings.Domain,
		Incarnation: h.incarnation,
		Draining:    h.draining.Load(),
	}
	if domain == h.settings.Domain {
		h.targets.fill(time.Now(), host, m)
	}
	return m
}

// Merge implements peer.Backend.
func (h *Host) Merge(m *peerpb.ExchangeMessage) *peerpb.ExchangeMessage {
	h.learn(m)
	return h.message(m.GetHost(), m.GetDomain())
}

func (h *Host) learn(m *peerpb.ExchangeMessage) {
	now := time.Now()
	h.peers.hear(now, m)
	if m.GetDomain() != h.settings.Domain {
		return
	}
	changed := h.targets.merge(now, m)
	if len(changed) == 0 {
		return
	}
	if err := h.loop.SetTargets(changed); err != nil {
		h.log.Warn("The targets were not taken in.", "error", err)
	}
}
