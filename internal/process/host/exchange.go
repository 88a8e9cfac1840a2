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
	inFlight := make(map[string]bool)
	done := make(chan string, len(h.settings.Peers))
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case name := <-done:
			delete(inFlight, name)
		case now := <-ticker.C:
			for _, name := range h.hosts.due(now) {
				if inFlight[name] {
					continue
				}
				inFlight[name] = true
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
	sentAt := time.Now()
	domain := h.hosts.domainOf(sentAt, name)
	request := h.message()
	if domain == h.settings.Domain {
		request.Cursor = h.targets.cursor(name)
		request.Copies = h.outbox.take(name)
		h.report(ctx, name, request)
		h.slotStates.shrink(name, request)
	}
	response, err := h.client.Exchange(ctx, name, request)
	if err != nil {
		h.log.Debug("An exchange failed.", "peer", name, "error", err)
		return
	}
	h.hosts.answered(sentAt, response)
	h.slotStates.confirm(name, response)
	h.heed(h.running, response)
	if response.GetDelta() != nil {
		h.setTargets(h.targets.merge(name, sentAt, response.GetDelta()))
	}
	if len(response.GetSlots()) > 0 {
		_ = h.loop.Receive(name, peerMessageFrom(response))
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
		Informed:         h.plane.Informed(),
		FreeSlots:        uint32(load.Free),
		FreeAccelerators: uint32(load.Accelerators),
		QueuedTasks:      uint32(load.Queued),
	}
}

// Merge implements peer.Backend.
func (h *Host) Merge(request *peerpb.ExchangeMessage) *peerpb.ExchangeMessage {
	if request.GetSlotsOnly() {
		response := &peerpb.ExchangeMessage{}
		h.mergeSlots(request, response)
		return response
	}
	now := time.Now()
	knownIncarnation := h.hosts.asked(now, request)
	h.heed(h.running, request)
	for _, c := range request.GetCopies() {
		h.putCopy(c)
	}
	response := h.message()
	response.Held = knownIncarnation
	response.Rumours = h.hosts.rumours(now, request.GetDomain())
	if request.GetDomain() == h.settings.Domain {
		response.Delta = h.targets.delta(now, request.GetCursor())
		h.mergeSlots(request, response)
	}
	return response
}
