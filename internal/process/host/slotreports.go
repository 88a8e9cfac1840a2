package host

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
)

// poolHoldings is the slots that a host holds in one pool, by target.
type poolHoldings struct {
	digest uint64 // of slots
	slots  map[string]uint32
}

// poolKey identifies a pool of one other host.
type poolKey struct {
	host string
	pool uint32
}

// slotReportCodec delta-encodes slot reports: a report states only what differs
// from the last state that the receiver has confirmed. A receiver that cannot
// rebuild the new state, because either host has restarted or a response was
// lost, does not confirm it, and the next report states everything.
type slotReportCodec struct {
	mu        sync.Mutex
	sent      map[poolKey]poolHoldings // of this host: sent, response outstanding
	confirmed map[poolKey]poolHoldings // of this host: last confirmed by the other host
	received  map[poolKey]poolHoldings // of the other host: last received
}

func newSlotReportCodec() *slotReportCodec {
	return &slotReportCodec{
		sent:      make(map[poolKey]poolHoldings),
		confirmed: make(map[poolKey]poolHoldings),
		received:  make(map[poolKey]poolHoldings),
	}
}

// encode replaces the full reports in a request to a host by their difference
// from the state that the host has confirmed, if there is one.
func (s *slotReportCodec) encode(to string, request *peerpb.ExchangeMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range request.GetSlots() {
		if !m.GetFull() {
			continue
		}
		key := poolKey{to, m.GetPool()}
		state := newPoolHoldings(m.GetHolds())
		s.sent[key] = state
		m.Digest = state.digest
		if base, ok := s.confirmed[key]; ok {
			m.Base = base.digest
			m.Holds = base.difference(state)
		}
	}
}

// acknowledge records which of the states sent to a host its response confirms.
// For a state that it does not confirm, the next report states everything.
func (s *slotReportCodec) acknowledge(from string, response *peerpb.ExchangeMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, state := range s.sent {
		if key.host != from {
			continue
		}
		delete(s.sent, key)
		if slices.Contains(response.GetConfirmed(), state.digest) {
			s.confirmed[key] = state
		} else {
			delete(s.confirmed, key)
		}
	}
}

// decode replaces the differences in an encoded request by the full state and
// confirms that state in the response. If the digest of the rebuilt state differs
// from that in the report, the report is marked as not full and names no target.
func (s *slotReportCodec) decode(request, response *peerpb.ExchangeMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range request.GetSlots() {
		if !m.GetFull() || m.GetDigest() == 0 {
			continue
		}
		key := poolKey{request.GetHost(), m.GetPool()}
		var base poolHoldings
		if m.GetBase() != 0 {
			base = s.received[key]
		}
		state := base.apply(m.GetHolds())
		if state.digest != m.GetDigest() {
			delete(s.received, key)
			m.Full, m.Holds = false, nil
			continue
		}
		s.received[key] = state
		m.Holds = state.grants()
		response.Confirmed = append(response.Confirmed, state.digest)
	}
}

func newPoolHoldings(holds []*peerpb.SlotGrant) poolHoldings {
	return poolHoldings{}.apply(holds)
}

// apply returns the state after the given changes: each sets the slots of one
// target, and 0 slots remove the target.
func (s poolHoldings) apply(changes []*peerpb.SlotGrant) poolHoldings {
	next := poolHoldings{slots: make(map[string]uint32, len(s.slots)+len(changes))}
	maps.Copy(next.slots, s.slots)
	for _, g := range changes {
		next.slots[g.GetTarget()] = g.GetSlots()
		if g.GetSlots() == 0 {
			delete(next.slots, g.GetTarget())
		}
	}
	next.digest = digestOf(next.grants())
	return next
}

// difference returns the changes that lead from s to next.
func (s poolHoldings) difference(next poolHoldings) []*peerpb.SlotGrant {
	var changes []*peerpb.SlotGrant
	for target, slots := range next.slots {
		if s.slots[target] != slots {
			changes = append(changes, &peerpb.SlotGrant{Target: target, Slots: slots})
		}
	}
	for target := range s.slots {
		if next.slots[target] == 0 {
			changes = append(changes, &peerpb.SlotGrant{Target: target})
		}
	}
	return changes
}

// grants returns the slots in the order of the targets' names.
func (s poolHoldings) grants() []*peerpb.SlotGrant {
	list := make([]*peerpb.SlotGrant, 0, len(s.slots))
	for target, slots := range s.slots {
		list = append(list, &peerpb.SlotGrant{Target: target, Slots: slots})
	}
	slices.SortFunc(list, func(a, b *peerpb.SlotGrant) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return list
}

// digestOf returns the digest of a state whose grants are sorted by target. It is
// never 0, since 0 stands for no state in a message.
func digestOf(sorted []*peerpb.SlotGrant) uint64 {
	var encoded []byte
	for _, g := range sorted {
		encoded = binary.AppendUvarint(encoded, uint64(len(g.GetTarget())))
		encoded = append(encoded, g.GetTarget()...)
		encoded = binary.AppendUvarint(encoded, uint64(g.GetSlots()))
	}
	return max(xxhash.Sum64(encoded), 1)
}
