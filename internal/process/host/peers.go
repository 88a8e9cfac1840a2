package host

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
)

// peerTable holds what was last heard of each other entry host.
type peerTable struct {
	mu    sync.Mutex
	peers map[string]*peerState
	order []string
}

// peerState is one other entry host.
type peerState struct {
	settings.Peer
	heard       time.Time // zero if never
	incarnation uint64
	draining    bool
	control     uint64
}

func newPeerTable(peers []settings.Peer) *peerTable {
	t := &peerTable{peers: make(map[string]*peerState, len(peers))}
	for _, p := range peers {
		t.peers[p.Host] = &peerState{Peer: p}
		t.order = append(t.order, p.Host)
	}
	return t
}

// hear takes in a message from another host. A message of an earlier
// incarnation is ignored.
func (t *peerTable) hear(now time.Time, m *peerpb.ExchangeMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[m.GetHost()]
	if !ok || m.GetIncarnation() < p.incarnation {
		return
	}
	p.heard = now
	p.incarnation = m.GetIncarnation()
	p.draining = m.GetDraining()
	p.control = m.GetControlVersion()
}

const suspectAfter = 3 * time.Second // without a message a peer is suspect after this

func (p *peerState) state(now time.Time) string {
	switch {
	case p.heard.IsZero():
		return "unknown"
	case now.Sub(p.heard) > suspectAfter:
		return "suspect"
	case p.draining:
		return "draining"
	}
	return "alive"
}

func (t *peerTable) list(now time.Time) []wire.HostStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]wire.HostStatus, 0, len(t.order))
	for _, name := range t.order {
		p := t.peers[name]
		heard := int64(-1)
		if !p.heard.IsZero() {
			heard = now.Sub(p.heard).Milliseconds()
		}
		list = append(list, wire.HostStatus{
			Host:        p.Host,
			Domain:      p.Domain,
			Region:      p.Region,
			Incarnation: p.incarnation,
			State:       p.state(now),
			HeardMS:     heard,
			Control:     p.control,
		})
	}
	return list
}
