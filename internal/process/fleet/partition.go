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
)

// partsOf returns the number of pools that a domain's targets are split into, as
// far as this host knows.
func (n *Node) partsOf(domain string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(1, n.parts[domain])
}

// hearParts takes in the number of parts that another host knows of a domain. The
// caller holds the lock.
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
		for _, c := range p.claimMessages() {
			if p.id.Domain == domain {
				highest = max(highest, c.GetFencingToken())
			}
		}
	}
	return highest
}

// owns reports whether a target belongs to the pool.
func (p *pool) owns(id, domain string) bool {
	return domain == p.id.Domain && parts.Of(id, p.node.partsOf(domain)) == p.id.Part
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
		if a.Target.Domain == p.id.Domain && !a.Gone && now.Sub(a.Received) < countedFor {
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
				p.apply(p.core.Clear(id, true, now), now)
			}
		}
	}
	for id, s := range p.sessions {
		if s.leaving && (p.core.RunsAt(id) == 0 || !s.fencedAt.IsZero() && s.leaseOver(now)) {
			p.removeTarget(id, now)
		}
	}
}
