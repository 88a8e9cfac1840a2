package host

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
)

const duePollsPerInterval = 10 // checks for due hosts in one Timing.BaseExchangeInterval

// runExchanges sends a request to each other host when it is due, until ctx is
// cancelled. A host with a request in flight is sent no second one.
func (h *Host) runExchanges(ctx context.Context) error {
	ticker := time.NewTicker(h.settings.Timing.BaseExchangeInterval / duePollsPerInterval)
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
			for _, name := range h.peerHosts.due(now) {
				if inFlight[name] {
					continue
				}
				inFlight[name] = true
				group.Go(func() error {
					h.exchangeWith(ctx, name)
					done <- name
					return nil
				})
			}
		}
	}
}

// exchangeWith sends a request to another host and merges the response.
func (h *Host) exchangeWith(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DialTimeout)
	defer cancel()
	sentAt := time.Now()
	domain := h.peerHosts.domainOf(sentAt, name)
	request := h.ownStatus()
	if domain == h.settings.Domain {
		request.Cursor = h.targets.cursor(name)
		request.Copies = h.answerCopies.takeFor(name)
		h.addSlotReport(ctx, name, request)
		h.slotReports.encode(name, request)
	}
	response, err := h.peerClient.Exchange(ctx, name, request)
	if err != nil {
		h.log.Debug("An exchange failed.", "peer", name, "error", err)
		return
	}
	h.peerHosts.recordResponse(sentAt, response)
	h.slotReports.acknowledge(name, response)
	h.compareControlVersion(h.runCtx, response)
	if response.GetDelta() != nil {
		h.setTargets(h.targets.merge(name, sentAt, response.GetDelta()))
	}
	if len(response.GetSlots()) > 0 {
		_ = h.loop.Receive(name, peerMessageFromProto(response))
	}
}

// ownStatus returns a message with the status of this host: its incarnation,
// control version, free capacity and queued tasks, and whether it is draining.
func (h *Host) ownStatus() *peerpb.ExchangeMessage {
	load := h.loop.Load()
	return &peerpb.ExchangeMessage{
		Host:             h.settings.Host,
		Domain:           h.settings.Domain,
		Incarnation:      h.peerHosts.incarnation(),
		Draining:         h.draining.Load(),
		ControlVersion:   h.controlPlane.Version(),
		Informed:         h.controlPlane.CaughtUp(),
		FreeSlots:        uint32(load.FreeSlots),
		FreeAccelerators: uint32(load.FreeAcceleratorSlots),
		QueuedTasks:      uint32(load.QueuedTasks),
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
	knownIncarnation := h.peerHosts.recordRequest(now, request)
	h.compareControlVersion(h.runCtx, request)
	for _, c := range request.GetCopies() {
		h.storeCopy(c)
	}
	response := h.ownStatus()
	response.Held = knownIncarnation
	response.Rumours = h.peerHosts.indirectReports(now, request.GetDomain())
	if request.GetDomain() == h.settings.Domain {
		response.Delta = h.targets.delta(now, request.GetCursor())
		h.mergeSlots(request, response)
	}
	return response
}
