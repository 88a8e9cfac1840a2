package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// openPool returns a pool, and starts its goroutine if it is new.
func (n *Node) openPool(id shards.Pool) *pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.pools[id.String()]; ok {
		return p
	}
	p := newPool(n, id)
	p.holderView.RequireTokenAbove(n.highestToken(id.Domain))
	n.pools[p.name] = p
	n.group.Go(func() error { return p.run(n.runCtx) })
	return p
}

// listPools returns the pools that this host holds or may hold.
func (n *Node) listPools() []*pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*pool, 0, len(n.pools))
	for _, p := range n.pools {
		out = append(out, p)
	}
	return out
}

// openOrphanedPools opens the pools of orphaned domains, each only if this host is the
// first candidate for it.
func (n *Node) openOrphanedPools() {
	for _, domain := range n.orphanedDomains() {
		for shard := range n.shardCount(domain) {
			id := shards.Pool{Domain: domain, Shard: shard}
			if c := n.holderCandidates(id); len(c) > 0 && c[0] == n.config.Self.Address {
				n.openPool(id)
			}
		}
	}
}

// orphanedDomains returns the domains that have known entry hosts, all of them silent
// or leaving.
func (n *Node) orphanedDomains() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	served := map[string]bool{n.config.Self.Domain: true} // by domain
	for _, h := range n.hostTable.All(now) {
		if h.Entry {
			_, age, _ := n.hostTable.Get(h.Address, now)
			served[h.Domain] = served[h.Domain] || !h.Leaving && !n.isSilent(h, age, now)
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

// aliveEntryHosts returns the sorted addresses of the other entry hosts of a domain,
// or of all domains if domain is empty, that are alive and not leaving. The caller
// holds the lock.
func (n *Node) aliveEntryHosts(domain string, now time.Time) []string {
	var out []string
	for _, h := range n.hostTable.Alive(2*farIdleFactor*n.idleHelloInterval(), now) {
		if _, age, _ := n.hostTable.Get(h.Address, now); n.isSilent(h, age, now) {
			continue
		}
		if h.Entry && !h.Leaving && (domain == "" || h.Domain == domain) {
			out = append(out, h.Address)
		}
	}
	return out
}

// awaitsHello reports whether this host has just started and has not yet heard from an
// entry host of a domain that is alive by the lists of others and started before it.
// That host may hold a pool of the domain, and a claim with a higher token would take it
// away with its jobs. A host that is leaving may hold one too, or hand it over to a host
// that this one has not heard from. Hosts that have started together need not wait for
// each other.
func (n *Node) awaitsHello(domain string, now time.Time) bool {
	if now.Sub(n.startedAt) > maxHelloWait {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.hostTable.All(now), func(h discovery.Host) bool {
		if !h.Entry || h.Domain != domain || n.heardDirectly[h.Address] {
			return false
		}
		_, age, _ := n.hostTable.Get(h.Address, now)
		startedBefore := int64(n.config.Self.Incarnation) - int64(h.Incarnation)
		return age <= n.aliveWindow(h) && startedBefore > startedTogether.Milliseconds()
	})
}

// claimHeardAtStart returns the claim on a pool that this host has heard of since it
// started, while it has just started. The pool's goroutine may process the event that
// reports the claim only after awaitsHello has ended its wait.
func (n *Node) claimHeardAtStart(pool string, now time.Time) (holder.Claim, bool) {
	if now.Sub(n.startedAt) > maxHelloWait {
		return holder.Claim{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.claims[pool]
	return c.claim, ok
}

// holderCandidates returns the entry hosts that may hold a pool, in order of
// preference: those of its domain by capacity and address, starting with a different one
// for each shard; if there are none, those of all domains, starting at an offset that
// differs from domain to domain.
func (n *Node) holderCandidates(id shards.Pool) []string {
	return shards.OrderCandidates(n.poolCandidates(id))
}

// poolCandidates returns the entry hosts that may hold a pool, in any order, and the
// number from which their order starts.
func (n *Node) poolCandidates(id shards.Pool) (hosts []shards.Candidate, start int) {
	domain := id.Domain
	self := n.Self()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	out := n.aliveEntryHosts(domain, now)
	if inDomain := self.Domain == domain; inDomain && !self.Leaving {
		out = append(out, self.Address)
	}
	if len(out) > 0 {
		return n.candidates(out), id.Shard
	}
	out = n.aliveEntryHosts("", now)
	if !self.Leaving {
		out = append(out, self.Address)
	}
	if len(out) == 0 {
		return nil, 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(domain)) // writing to a hash never fails
	return n.candidates(out), int(h.Sum32()%uint32(len(out))) + id.Shard
}

// firstOtherCandidate returns the first eligible candidate for a pool other than this
// host, or an empty string if there is none.
func (n *Node) firstOtherCandidate(id shards.Pool, eligible func(host string) bool) string {
	for _, c := range n.holderCandidates(id) {
		if c != n.config.Self.Address && eligible(c) {
			return c
		}
	}
	return ""
}

// isIsolated reports whether no other host was heard from within 2 s
// (2*helloDiskInterval).
func (n *Node) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.hostTable.Alive(2*helloDiskInterval, n.now())) == 0
}

// publishedClaims returns this host's claims on pools.
func (n *Node) publishedClaims() []*fleetpb.Claim {
	var out []*fleetpb.Claim
	for _, p := range n.listPools() {
		if c := p.publishedClaim.Load(); c != nil {
			out = append(out, c)
		}
	}
	return out
}
