package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/parts"
)

const (
	countTargetsEvery = 250 * time.Millisecond // between looks at the number of a domain's targets
	// countedFor is how long after its last announcement a target still counts
	// towards the size of its domain: some of its intervals.
	countedFor = 5 * time.Second
	// growPause is how long a new pool leaves targets to the pool that had them:
	// most of the runs there end meanwhile.
	growPause = time.Second
	// spreadEvery is the time between looks at the number of pools that a host holds.
	spreadEvery = 250 * time.Millisecond
	// spreadAfter is how long a host holds several pools of its domain beside one
	// that holds none before it hands one over: hosts that start together hear of
	// each other within this.
	spreadAfter = 2 * time.Second
)

// partsOf returns the number of pools that a domain's targets are split into, as
// far as this host knows.
func (n *Node) partsOf(domain string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(1, n.parts[domain])
}

// hearParts takes in a number of parts of a domain, which another host told or this
// one worked out. The largest stays. The caller holds the lock.
func (n *Node) hearParts(domain string, count int) {
	if count = min(count, parts.Most); count > max(1, n.parts[domain]) {
		n.log.Info("The targets of a domain are split.", "domain", domain, "parts", count, "parts_before", max(1, n.parts[domain]))
		n.parts[domain] = count
	}
}

// openOwnParts opens the pools of this host's domain.
func (n *Node) openOwnParts() {
	if !n.config.Self.Entry {
		return
	}
	for part := range n.partsOf(n.config.Self.Domain) {
		n.openPool(parts.Pool{Domain: n.config.Self.Domain, Part: part})
	}
}

// highestToken returns the greatest token known of a domain's pools. A new pool
// takes a greater one, as the targets obey the pool that had them. The caller
// holds the lock.
func (n *Node) highestToken(domain string) uint64 {
	var highest uint64
	for name, c := range n.claims {
		if p, err := parts.Parse(name); err == nil && p.Domain == domain {
			highest = max(highest, c.claim.Token)
		}
	}
	for _, p := range n.pools {
		if p.id.Domain == domain {
			highest = max(highest, p.told.Load().GetFencingToken())
		}
	}
	return highest
}

// poolOf returns the pool that a target belongs to.
func (n *Node) poolOf(id, domain string) parts.Pool {
	return parts.Pool{Domain: domain, Part: parts.Of(id, n.partsOf(domain))}
}

// owns reports whether a target belongs to the pool.
func (p *pool) owns(id, domain string) bool {
	return domain == p.id.Domain && p.node.poolOf(id, domain) == p.id
}

// grow splits the targets of the domain further if there are many. The holder of
// the first part decides; the others hear of it with its claim.
func (p *pool) grow(now time.Time) {
	if p.id.Part != 0 || now.Sub(p.counted) < countTargetsEvery {
		return
	}
	p.counted = now
	targets := 0
	for _, a := range p.node.beats.list(now) {
		if a.Target.Domain == p.id.Domain && !a.Deregistered && now.Sub(a.ReceivedAt) < countedFor {
			targets++
		}
	}
	p.node.mu.Lock()
	p.node.hearParts(p.id.Domain, parts.Grow(p.node.parts[p.id.Domain], targets))
	p.node.mu.Unlock()
	if p.id.Domain == p.node.config.Self.Domain {
		p.node.openOwnParts()
	}
}

// release gives targets up that belong to another part since the domain was
// split: they get no new work, and are forgotten once nothing runs there.
func (p *pool) release(now time.Time) {
	if count := p.node.partsOf(p.id.Domain); count != p.split {
		p.split = count
		for id, s := range p.sessions {
			if !p.owns(id, p.id.Domain) && !s.leaving {
				s.leaving = true
				p.log.Info("A target goes to another part.", "target", id, "pool", p.name, "parts", count)
				p.apply(p.core.SetClearing(id, true, now), now)
			}
		}
	}
	for id, s := range p.sessions {
		if s.leaving && (p.core.RunCount(id) == 0 || !s.fencedAt.IsZero() && s.leaseOver(now)) {
			p.removeTarget(id, now)
		}
	}
}

// spread hands this pool to a host of the domain that holds none, if this host holds
// several: the one that starts first claims all.
func (p *pool) spread(now time.Time) {
	if p.handing || p.id.Domain != p.node.config.Self.Domain || now.Sub(p.spreadLooked) < spreadEvery {
		return
	}
	p.spreadLooked = now
	to := ""
	if p.node.isLastHeld(p.id) {
		to = p.node.otherCandidate(p.id, p.node.isIdle)
	}
	if to == "" {
		p.uneven = time.Time{}
		return
	}
	if p.uneven.IsZero() {
		p.uneven = now
	}
	if now.Sub(p.uneven) > spreadAfter {
		p.uneven = time.Time{}
		handOverEvent{to: to, reason: "this host holds several", done: make(chan struct{})}.apply(p, now)
	}
}

// isLastHeld reports whether this host holds several pools of a domain, of which this
// is the one of the last part.
func (n *Node) isLastHeld(id parts.Pool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := false
	for _, p := range n.pools {
		if p.held.Load() && p.id.Domain == id.Domain && p.id.Part != id.Part {
			if p.id.Part > id.Part {
				return false
			}
			others = true
		}
	}
	return others
}

// isIdle reports whether a host holds no pool.
func (n *Node) isIdle(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.holdsPool(host)
}
