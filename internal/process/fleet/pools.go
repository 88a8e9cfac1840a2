package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/parts"
)

// openPool returns a pool, whose owner begins to work if it is new.
func (n *Node) openPool(id parts.Pool) *pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.pools[id.String()]; ok {
		return p
	}
	p := newPool(n, id)
	p.view.Above(n.highestToken(id.Domain))
	n.pools[p.name] = p
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
		for part := range n.partsOf(domain) {
			id := parts.Pool{Domain: domain, Part: part}
			if c := n.candidates(id); len(c) > 0 && c[0] == n.config.Self.Address {
				n.openPool(id)
			}
		}
	}
}

// orphans returns the domains that had entry hosts, of which none is heard.
func (n *Node) orphans() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	served := map[string]bool{n.config.Self.Domain: true} // by domain
	for _, h := range n.table.All(now) {
		if h.Entry {
			_, age, _ := n.table.Get(h.Address, now)
			served[h.Domain] = served[h.Domain] || !h.Leaving && age <= n.window(h)
		}
	}
	var out []string
	for domain, ok := range served {
		if !ok {
			out = append(out, domain)
		}
	}
	return out
}

// entryHosts returns the addresses of the other entry hosts of a domain that are
// heard and not leaving, ordered. The caller holds the lock.
func (n *Node) entryHosts(domain string, now time.Time) []string {
	var out []string
	for _, h := range n.table.Alive(2*farIdle*n.idlePause(), now) {
		if _, age, _ := n.table.Get(h.Address, now); age > n.window(h) {
			continue
		}
		if h.Entry && !h.Leaving && (domain == "" || h.Domain == domain) {
			out = append(out, h.Address)
		}
	}
	return out
}

// candidates returns the entry hosts that may hold a pool, the first choice
// first: those of its domain by address, beginning with another one for each
// part; if there are none, those of all domains, beginning at a place that
// differs from domain to domain.
func (n *Node) candidates(id parts.Pool) []string {
	domain := id.Domain
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
		return startAt(out, id.Part)
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
	return startAt(out, int(h.Sum32()%uint32(len(out)))+id.Part)
}

// otherCandidate returns the first candidate for a pool, other than this host, that
// suits, or nothing.
func (n *Node) otherCandidate(id parts.Pool, suits func(host string) bool) string {
	for _, c := range n.candidates(id) {
		if c != n.config.Self.Address && suits(c) {
			return c
		}
	}
	return ""
}

// startAt returns the list rotated so that it begins at a place.
func startAt(list []string, place int) []string {
	place %= len(list)
	return slices.Concat(list[place:], list[:place])
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
		if c := p.told.Load(); c != nil {
			out = append(out, c)
		}
	}
	return out
}
