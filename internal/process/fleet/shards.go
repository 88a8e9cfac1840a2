package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/parts"
)

const (
	targetCountInterval = 250 * time.Millisecond // between looks at the number of a domain's targets
	// countedTargetAge is how long after its last announcement a target still counts
	// towards the size of its domain: some of its intervals.
	countedTargetAge = 5 * time.Second
	// newPoolDelay is how long a new pool leaves targets to the pool that had them:
	// most of the runs there end meanwhile.
	newPoolDelay = time.Second
	// balanceCheckInterval is the time between looks at the number of pools that a host holds.
	balanceCheckInterval = 250 * time.Millisecond
	// balanceDelay is how long a host holds several pools of its domain beside one
	// that holds none before it hands one over: hosts that start together hear of
	// each other within this.
	balanceDelay = 2 * time.Second
)

// shardCount returns the number of pools that a domain's targets are split into, as
// far as this host knows.
func (n *Node) shardCount(domain string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(1, n.shardCounts[domain])
}

// raiseShardCount takes in a number of parts of a domain, which another host told or this
// one worked out. The largest stays. The caller holds the lock.
func (n *Node) raiseShardCount(domain string, count int) {
	if count = min(count, parts.Most); count > max(1, n.shardCounts[domain]) {
		n.log.Info("The targets of a domain are split.", "domain", domain, "parts", count, "parts_before", max(1, n.shardCounts[domain]))
		n.shardCounts[domain] = count
	}
}

// openOwnPools opens the pools of this host's domain.
func (n *Node) openOwnPools() {
	if !n.config.Self.Entry {
		return
	}
	for part := range n.shardCount(n.config.Self.Domain) {
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
			highest = max(highest, p.publishedClaim.Load().GetFencingToken())
		}
	}
	return highest
}

// poolOfTarget returns the pool that a target belongs to.
func (n *Node) poolOfTarget(id, domain string) parts.Pool {
	return parts.Pool{Domain: domain, Part: parts.Of(id, n.shardCount(domain))}
}

// contains reports whether a target belongs to the pool.
func (p *pool) contains(id, domain string) bool {
	return domain == p.id.Domain && p.node.poolOfTarget(id, domain) == p.id
}

// splitIfLarge splits the targets of the domain further if there are many. The holder of
// the first part decides; the others hear of it with its claim.
func (p *pool) splitIfLarge(now time.Time) {
	if p.id.Part != 0 || now.Sub(p.targetsCountedAt) < targetCountInterval {
		return
	}
	p.targetsCountedAt = now
	targets := 0
	for _, a := range p.node.announcements.recent(now) {
		if a.Target.Domain == p.id.Domain && !a.Deregistered && now.Sub(a.ReceivedAt) < countedTargetAge {
			targets++
		}
	}
	p.node.mu.Lock()
	p.node.raiseShardCount(p.id.Domain, parts.Grow(p.node.shardCounts[p.id.Domain], targets))
	p.node.mu.Unlock()
	if p.id.Domain == p.node.config.Self.Domain {
		p.node.openOwnPools()
	}
}

// releaseMovedTargets gives targets up that belong to another part since the domain was
// split: they get no new work, and are forgotten once nothing runs there.
func (p *pool) releaseMovedTargets(now time.Time) {
	if count := p.node.shardCount(p.id.Domain); count != p.shardsAtRelease {
		p.shardsAtRelease = count
		for id, s := range p.sessions {
			if !p.contains(id, p.id.Domain) && !s.movingAway {
				s.movingAway = true
				p.log.Info("A target goes to another part.", "target", id, "pool", p.name, "parts", count)
				p.applyEffects(p.core.SetClearing(id, true, now), now)
			}
		}
	}
	for id, s := range p.sessions {
		if s.movingAway && (p.core.RunCount(id) == 0 || !s.fencedAt.IsZero() && s.leaseExpired(now)) {
			p.removeTarget(id, now)
		}
	}
}

// balancePools hands this pool to a host of the domain that holds none, if this host holds
// several: the one that starts first claims all.
func (p *pool) balancePools(now time.Time) {
	if p.handingOver || p.id.Domain != p.node.config.Self.Domain || now.Sub(p.balanceCheckedAt) < balanceCheckInterval {
		return
	}
	p.balanceCheckedAt = now
	to := ""
	if p.node.isLastOfSeveralHeld(p.id) {
		to = p.node.firstOtherCandidate(p.id, p.node.holdsNoPool)
	}
	if to == "" {
		p.unevenSince = time.Time{}
		return
	}
	if p.unevenSince.IsZero() {
		p.unevenSince = now
	}
	if now.Sub(p.unevenSince) > balanceDelay {
		p.unevenSince = time.Time{}
		handOverEvent{to: to, reason: "this host holds several", done: make(chan struct{})}.apply(p, now)
	}
}

// isLastOfSeveralHeld reports whether this host holds several pools of a domain, of which this
// is the one of the last part.
func (n *Node) isLastOfSeveralHeld(id parts.Pool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := false
	for _, p := range n.pools {
		if p.heldHere.Load() && p.id.Domain == id.Domain && p.id.Part != id.Part {
			if p.id.Part > id.Part {
				return false
			}
			others = true
		}
	}
	return others
}

// holdsNoPool reports whether a host holds no pool.
func (n *Node) holdsNoPool(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.holdsAnyPool(host)
}
