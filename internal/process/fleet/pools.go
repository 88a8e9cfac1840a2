package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
)

// openPool returns the pool of a domain, whose owner begins to work if it is
// new.
func (n *Node) openPool(domain string) *pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.pools[domain]; ok {
		return p
	}
	p := newPool(n, domain)
	n.pools[domain] = p
	n.group.Go(func() error { return p.run(n.running) })
	return p
}

// openPools returns the pools that this host holds or may hold.
func (n *Node) openPools() []*pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*pool, 0, len(n.pools))
	for _, p := range n.pools {
		out = append(out, p)
	}
	return out
}

// openOrphans opens the pools of domains whose entry hosts are all gone, where
// this host comes first among those that may take them.
func (n *Node) openOrphans() {
	for _, domain := range n.orphans() {
		if c := n.candidates(domain); len(c) > 0 && c[0] == n.config.Self.Address {
			n.openPool(domain)
		}
	}
}

// orphans returns the domains that had entry hosts, of which none is heard.
func (n *Node) orphans() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var out []string
	for _, h := range n.table.All(now) {
		if !h.Entry || h.Domain == n.config.Self.Domain || slices.Contains(out, h.Domain) {
			continue
		}
		if _, open := n.pools[h.Domain]; !open && len(n.entryHosts(h.Domain, now)) == 0 {
			out = append(out, h.Domain)
		}
	}
	return out
}

// entryHosts returns the addresses of the other entry hosts of a domain that are
// heard and not leaving, ordered. The caller holds the lock.
func (n *Node) entryHosts(domain string, now time.Time) []string {
	var out []string
	for _, h := range n.table.Alive(idlePauses*n.idlePause(), now) {
		if _, age, _ := n.table.Get(h.Address, now); age > n.window(h) {
			continue
		}
		if h.Entry && !h.Leaving && (domain == "" || h.Domain == domain) {
			out = append(out, h.Address)
		}
	}
	return out
}

// candidates returns the entry hosts that may hold the pool of a domain, the
// first choice first: those of the domain by address; if there are none, those
// of all domains, beginning at a place that differs from domain to domain.
func (n *Node) candidates(domain string) []string {
	self := n.Self()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	out := n.entryHosts(domain, now)
	if mine := self.Domain == domain; mine && !self.Leaving {
		out = append(out, self.Address)
	}
	slices.Sort(out)
	if len(out) > 0 {
		return out
	}
	out = n.entryHosts("", now)
	if !self.Leaving {
		out = append(out, self.Address)
	}
	slices.Sort(out)
	if len(out) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(domain)) // a hash never fails
	first := int(h.Sum32() % uint32(len(out)))
	return slices.Concat(out[first:], out[:first])
}

// isolated reports whether no other host is heard.
func (n *Node) isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.table.Alive(2*greetControl, time.Now())) == 0
}

// claimMessages returns this host's claims on pools.
func (n *Node) claimMessages() []*fleetpb.Claim {
	var out []*fleetpb.Claim
	for _, p := range n.openPools() {
		out = append(out, p.claimMessages()...)
	}
	return out
}
