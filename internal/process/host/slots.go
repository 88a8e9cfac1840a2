package host

import (
	"context"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/slots"
)

// SendToPeer implements dispatch.PeerSender.
func (h *Host) SendToPeer(ctx context.Context, to string, m dispatch.PeerMessage) (dispatch.PeerMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DialTimeout)
	defer cancel()
	request := &peerpb.ExchangeMessage{
		Host:        h.settings.Host,
		Domain:      h.settings.Domain,
		Incarnation: h.peerHosts.incarnation(),
		Draining:    h.draining.Load(),
		SlotsOnly:   true,
	}
	addPeerMessage(request, m)
	response, err := h.peerClient.Exchange(ctx, to, request)
	if err != nil {
		h.log.Debug("A slot message failed.", "peer", to, "error", err)
		return dispatch.PeerMessage{}, err
	}
	return peerMessageFromProto(response), nil
}

// addSlotReport adds the periodic report of this host's slots and demand to a
// request.
func (h *Host) addSlotReport(ctx context.Context, to string, request *peerpb.ExchangeMessage) {
	report, err := h.loop.PeerReport(ctx, to)
	if err != nil {
		h.log.Debug("The loop returned no slot report.", "error", err)
		return
	}
	addPeerMessage(request, report)
}

// mergeSlots passes the slot messages of a request to the loop and adds the
// loop's reply to the response.
func (h *Host) mergeSlots(request, response *peerpb.ExchangeMessage) {
	h.slotReports.decode(request, response)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Timing.DialTimeout)
	defer cancel()
	reply, err := h.loop.Exchange(ctx, request.GetHost(), peerMessageFromProto(request))
	if err != nil {
		h.log.Debug("The loop did not process a slot message.", "error", err)
		return
	}
	addPeerMessage(response, reply)
}

func addPeerMessage(to *peerpb.ExchangeMessage, m dispatch.PeerMessage) {
	for _, p := range m.Pools {
		to.Slots = append(to.Slots, poolToProto(p))
	}
	to.Report = m.HasDemand
	for team, tasks := range m.Demand {
		to.Demand = append(to.Demand, &peerpb.TeamDemand{Team: team, Tasks: uint32(tasks)})
	}
}

func peerMessageFromProto(from *peerpb.ExchangeMessage) dispatch.PeerMessage {
	m := dispatch.PeerMessage{HasDemand: from.GetReport(), Demand: make(map[string]int, len(from.GetDemand()))}
	for _, p := range from.GetSlots() {
		m.Pools = append(m.Pools, poolFromProto(p))
	}
	for _, d := range from.GetDemand() {
		m.Demand[d.GetTeam()] = int(d.GetTasks())
	}
	return m
}

func poolToProto(p dispatch.PoolMessage) *peerpb.SlotMessage {
	message := p.Message
	return &peerpb.SlotMessage{
		Pool:   uint32(p.Pool),
		Want:   uint32(message.RequestedSlots),
		Reply:  message.IsReply,
		Lend:   grantsToProto(message.LentSlots),
		Queued: uint32(message.QueuedTasks),
		Busy:   uint32(message.BusySlots),
		Total:  uint32(message.UsableSlots),
		Full:   message.IsFullReport,
		Holds:  grantsToProto(message.HeldSlots),
	}
}

func poolFromProto(m *peerpb.SlotMessage) dispatch.PoolMessage {
	return dispatch.PoolMessage{
		Pool: int(m.GetPool()),
		Message: slots.Message{
			RequestedSlots: int(m.GetWant()),
			IsReply:        m.GetReply(),
			LentSlots:      grantsFromProto(m.GetLend()),
			QueuedTasks:    int(m.GetQueued()),
			BusySlots:      int(m.GetBusy()),
			UsableSlots:    int(m.GetTotal()),
			IsFullReport:   m.GetFull(),
			HeldSlots:      grantsFromProto(m.GetHolds()),
		},
	}
}

func grantsToProto(list []slots.Grant) []*peerpb.SlotGrant {
	out := make([]*peerpb.SlotGrant, len(list))
	for i, g := range list {
		out[i] = &peerpb.SlotGrant{Target: g.Target, Slots: uint32(g.Slots)}
	}
	return out
}

func grantsFromProto(list []*peerpb.SlotGrant) []slots.Grant {
	out := make([]slots.Grant, len(list))
	for i, g := range list {
		out[i] = slots.Grant{Target: g.GetTarget(), Slots: int(g.GetSlots())}
	}
	return out
}
