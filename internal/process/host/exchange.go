package host

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
)

const exchangePolls = 10 // looks at which host is due, in the time between two exchanges

// exchange asks the other hosts in turn until ctx is cancelled. A host that
// has not answered yet is not asked again.
func (h *Host) exchange(ctx context.Context) error {
	ticker := time.NewTicker(h.settings.Timing.Exchange / exchangePolls)
	defer ticker.Stop()
	asking := make(map[string]bool)
	done := make(chan string, len(h.settings.Peers))
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case name := <-done:
			delete(asking, name)
		case now := <-ticker.C:
			for _, name := range h.hosts.due(now) {
				if asking[name] {
					continue
				}
				asking[name] = true
				group.Go(func() error {
					h.ask(ctx, name)
					done <- name
					return nil
				})
			}
		}
	}
}

// ask sends a question to another host and takes in its answer.
func (h *Host) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DialTimeout)
	defer cancel()
	asked := time.Now()
	domain := h.hosts.domainOf(asked, name)
	m := h.message()
	if domain == h.settings.Domain {
		m.Cursor = h.targets.cursor(name)
		m.Copies = h.outbox.take(name)
		h.report(ctx, name, m)
		h.slotStates.shrink(name, m)
	}
	answer, err := h.client.Exchange(ctx, name, m)
	if err != nil {
		h.log.Debug("An exchange failed.", "peer", name, "error", err)
		return
	}
	h.hosts.answered(asked, answer)
	h.slotStates.confirm(name, answer)
	h.heed(h.running, answer)
	if answer.GetDelta() != nil {
		h.setTargets(h.targets.merge(name, asked, answer.GetDelta()))
	}
	if len(answer.GetSlots()) > 0 {
		_ = h.loop.Receive(name, peerMessageFrom(answer))
	}
}

// message states what this host says of itself.
func (h *Host) message() *peerpb.ExchangeMessage {
	load := h.loop.Load()
	return &peerpb.ExchangeMessage{
		Host:             h.settings.Host,
		Domain:           h.settings.Domain,
		Incarnation:      h.hosts.incarnation(),
		Draining:         h.draining.Load(),
		ControlVersion:   h.plane.Version(),
		Informed:         h.plane.CaughtUp(),
		FreeSlots:        uint32(load.FreeSlots),
		FreeAccelerators: uint32(load.FreeAcceleratorSlots),
		QueuedTasks:      uint32(load.QueuedTasks),
	}
}

// Merge implements peer.Backend.
func (h *Host) Merge(m *peerpb.ExchangeMessage) *peerpb.ExchangeMessage {
	if m.GetSlotsOnly() {
		answer := &peerpb.ExchangeMessage{}
		h.mergeSlots(m, answer)
		return answer
	}
	now := time.Now()
	held := h.hosts.asked(now, m)
	h.heed(h.running, m)
	for _, c := range m.GetCopies() {
		h.putCopy(c)
	}
	answer := h.message()
	answer.Held = held
	answer.Rumours = h.hosts.rumours(now, m.GetDomain())
	if m.GetDomain() == h.settings.Domain {
		answer.Delta = h.targets.delta(now, m.GetCursor())
		h.mergeSlots(m, answer)
	}
	return answer
}
