package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/shards"
)

const (
	// countedHostAge is how long a silent host counts for the number of shards, which
	// never shrinks: longer than a restart takes.
	countedHostAge = 10 * time.Second
	// hostsSettleTime and hostsSettleLimit bound how long a host that has just started
	// waits before it decides on the number of shards: until no other entry host of its
	// domain has become known for the first, or the second has passed since its start.
	// Hosts that start together know each other after some hundred milliseconds.
	hostsSettleTime  = 500 * time.Millisecond
	hostsSettleLimit = 1500 * time.Millisecond
)

func capacityOf(h discovery.Host) shards.Capacity {
	return shards.Capacity{CPUMilli: h.CPUMilli, LinkKbps: h.LinkKbps}
}

// candidates returns the hosts with the given addresses with their capacities. The caller
// holds the lock.
func (n *Node) candidates(addresses []string) []shards.Candidate {
	now := n.now()
	out := make([]shards.Candidate, 0, len(addresses))
	for _, address := range addresses {
		h, _, _ := n.hostTable.Get(address, now)
		if address == n.config.Self.Address {
			h = n.config.Self
		}
		out = append(out, shards.Candidate{Address: address, Capacity: capacityOf(h)})
	}
	return out
}

// claimCandidates returns the hosts that may claim the pool, which no host that is alive
// holds, in order of preference.
func (p *pool) claimCandidates(now time.Time) []string {
	if p.withoutHolderSince.IsZero() {
		p.withoutHolderSince = now
	}
	hosts, start := p.node.poolCandidates(p.id)
	return shards.ClaimOrder(hosts, p.node.config.Self.Address, start, now.Sub(p.withoutHolderSince))
}

// splitHosts returns the hosts that the number of shards of a domain follows from: its
// entry hosts, also those that have been silent or leaving for a short time. Without any,
// its pools are held by hosts of other domains. The caller holds the lock.
func (n *Node) splitHosts(domain string, now time.Time) []shards.Candidate {
	var inDomain, all []shards.Candidate
	for _, h := range append(n.hostTable.Alive(countedHostAge, now), n.config.Self) {
		if !h.Entry {
			continue
		}
		c := shards.Candidate{Address: h.Address, Capacity: capacityOf(h)}
		all = append(all, c)
		if h.Domain == domain {
			inDomain = append(inDomain, c)
		}
	}
	if len(inDomain) > 0 {
		return inDomain
	}
	return all
}

// knowsDomainHosts reports whether a host that has just started is likely to know the
// entry hosts of its domain. A host whose settings state no capacity need not know them.
// The caller holds the lock.
func (n *Node) knowsDomainHosts(now time.Time) bool {
	if capacityOf(n.config.Self) == (shards.Capacity{}) || now.Sub(n.startedAt) >= hostsSettleLimit {
		return true
	}
	return now.Sub(n.startedAt) >= hostsSettleTime && now.Sub(n.domainHostsNewAt) >= hostsSettleTime
}

// balanceByCapacity hands this pool over if the hosts of its domain are uneven and
// another one is better suited or much less busy. It reports whether the hosts are
// uneven. Of the pools that this host holds, only the last one is handed over.
func (p *pool) balanceByCapacity(now time.Time) bool {
	candidates := p.node.holderCandidates(p.id)
	p.node.mu.Lock()
	hosts := p.node.candidates(candidates)
	if !shards.Uneven(hosts) {
		p.node.mu.Unlock()
		return false
	}
	self, others := p.node.hostLoads(p.id.Domain, hosts, now)
	busyHandOverAt, isLast := p.node.busyHandOverAt, p.node.isLastHeld(p.id)
	p.node.mu.Unlock()
	if !isLast || self.Address == "" { // a host that leaves is no candidate and hands over all its pools
		return true
	}
	h, ok := p.balancer.Decide(self, others, busyHandOverAt, now)
	if !ok {
		return true
	}
	if h.Busy {
		p.node.mu.Lock()
		p.node.busyHandOverAt = now
		p.node.mu.Unlock()
	}
	p.metrics.recordBalancing(h)
	handOverEvent{to: h.To, reason: h.Reason, done: make(chan struct{})}.apply(p, now)
	return true
}

// observeHolder informs the balancer who holds the pool.
func (p *pool) observeHolder(now time.Time) {
	address := p.holderView.Claim().Holder
	if address == "" {
		return
	}
	incarnation := p.node.config.Self.Incarnation
	if address != p.node.config.Self.Address {
		p.node.mu.Lock()
		h, _, _ := p.node.hostTable.Get(address, now)
		p.node.mu.Unlock()
		incarnation = h.Incarnation
	}
	p.balancer.Observe(shards.Process{Address: address, Incarnation: incarnation}, p.node.isAlive, now)
}

// hostLoads returns what this host and the other hosts have and hold of a domain. The
// caller holds the lock.
func (n *Node) hostLoads(domain string, hosts []shards.Candidate, now time.Time) (self shards.HostLoad, others []shards.HostLoad) {
	held := map[string]int{} // pools by holder
	for name, c := range n.claims {
		if p, err := shards.ParsePool(name); err == nil && p.Domain == domain && !n.isHeldHere(name) && n.holderAlive(c, now) {
			held[c.claim.Holder]++
		}
	}
	for _, p := range n.pools {
		if p.heldHere.Load() && p.id.Domain == domain {
			self.Pools++
		}
	}
	for _, h := range hosts {
		if h.Address == n.config.Self.Address {
			self.Candidate, self.BusyPercent = h, int(n.busyPercent.Load())
			continue
		}
		known, _, _ := n.hostTable.Get(h.Address, now)
		others = append(others, shards.HostLoad{Candidate: h, Incarnation: known.Incarnation, BusyPercent: known.BusyPercent, Pools: held[h.Address]})
	}
	return self, others
}

// isLastHeld reports whether a pool has the highest shard number of the pools of its
// domain that this host holds. The caller holds the lock.
func (n *Node) isLastHeld(id shards.Pool) bool {
	for _, p := range n.pools {
		if p.heldHere.Load() && p.id.Domain == id.Domain && p.id.Shard > id.Shard {
			return false
		}
	}
	return true
}
