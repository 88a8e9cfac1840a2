package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

const (
	targetCountInterval = 250 * time.Millisecond // between counts of a domain's targets
	// countedTargetAge is how long after its last announcement a target still counts
	// towards the size of its domain: several announcement intervals. It is less than the
	// time for which a domain must be too large before it is split.
	countedTargetAge = 5 * time.Second
	// newPoolDelay is how long a new pool leaves targets to their former pool: most of
	// the runs there end in that time.
	newPoolDelay = time.Second
	// balanceCheckInterval is the time between checks of how many pools a host holds.
	balanceCheckInterval = 250 * time.Millisecond
	// balanceDelay is how long a host holds several pools of its domain, while another
	// host holds none, before it hands one over. Hosts that start together discover
	// each other within this time.
	balanceDelay = 2 * time.Second
)

// shardCount returns the number of shards, each with a pool of its own, that a
// domain's targets are split into, as far as this host knows.
func (n *Node) shardCount(domain string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(1, n.shardCounts[domain])
}

// raiseShardCount records a shard count of a domain that another host reported or this
// one computed. Only a larger count than the known one has an effect. The caller holds
// the lock.
func (n *Node) raiseShardCount(domain string, count int) {
	if count = min(count, shards.MaxShards); count > max(1, n.shardCounts[domain]) {
		n.log.Info("The targets of a domain are split.", "domain", domain, "parts", count, "parts_before", max(1, n.shardCounts[domain]))
		n.shardCounts[domain] = count
	}
}

// openOwnPools opens the pools of this host's domain if it is an entry host.
func (n *Node) openOwnPools() {
	if !n.config.Self.Entry {
		return
	}
	for shard := range n.shardCount(n.config.Self.Domain) {
		n.openPool(shards.Pool{Domain: n.config.Self.Domain, Shard: shard})
	}
}

// highestToken returns the highest fencing token known of a domain's pools. A new pool
// needs a higher one, because its targets obey the holder of the pool that they belonged
// to before. The caller holds the lock.
func (n *Node) highestToken(domain string) uint64 {
	var highest uint64
	for name, c := range n.claims {
		if p, err := shards.ParsePool(name); err == nil && p.Domain == domain {
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
func (n *Node) poolOfTarget(id, domain string) shards.Pool {
	return shards.Pool{Domain: domain, Shard: shards.ShardOf(id, n.shardCount(domain))}
}

// contains reports whether a target belongs to the pool.
func (p *pool) contains(id, domain string) bool {
	return domain == p.id.Domain && p.node.poolOfTarget(id, domain) == p.id
}

// splitIfLarge splits the domain into more shards if it has had too many targets for a
// while. The holder of the first shard decides; the other hosts learn the number with its
// claim.
func (p *pool) splitIfLarge(now time.Time) {
	if p.id.Shard != 0 || now.Sub(p.targetsCountedAt) < targetCountInterval {
		return
	}
	p.targetsCountedAt = now
	var targets []shards.CountedTarget
	for _, a := range p.node.announcements.recent(now) {
		if a.Target.Domain == p.id.Domain && now.Sub(a.ReceivedAt) < countedTargetAge {
			targets = append(targets, shards.CountedTarget{
				Address: a.Target.Address, Incarnation: a.Target.Incarnation, Leaving: a.Deregistered || a.Target.Draining,
			})
		}
	}
	justStarted := now.Sub(p.node.startedAt) < startPhase
	p.node.mu.Lock()
	if justStarted && !p.node.knowsDomainHosts(now) {
		p.node.mu.Unlock()
		return
	}
	known := max(1, p.node.shardCounts[p.id.Domain])
	targetCount, hosts := shards.CountTargets(targets), p.node.splitHosts(p.id.Domain, now)
	count := p.splitTimer.ShardCount(known, shards.WantedShardCount(known, targetCount, hosts), justStarted, now)
	if count > known {
		p.log.Info("A domain has too many targets for its shards.", "domain", p.id.Domain, "targets", targetCount, "hosts", len(hosts),
			"uneven", shards.Uneven(hosts))
	}
	p.node.raiseShardCount(p.id.Domain, count)
	p.node.mu.Unlock()
	if p.id.Domain == p.node.config.Self.Domain {
		p.node.openOwnPools()
	}
}

// releaseMovedTargets releases the targets that belong to another shard since the
// domain was split: they get no new work, and are removed once nothing runs on them.
func (p *pool) releaseMovedTargets(now time.Time) {
	if count := p.node.shardCount(p.id.Domain); count != p.shardsAtRelease {
		p.shardsAtRelease = count
		for id, s := range p.sessions {
			if !p.contains(id, p.id.Domain) && !s.movingAway {
				s.movingAway = true
				p.log.Info("A target moves to another shard.", "target", id, "pool", p.name, "parts", count)
				p.applyEffects(p.core.SetClearing(id, true, now), now)
			}
		}
	}
	for id, s := range p.sessions {
		if s.movingAway && (p.core.RunCount(id) == 0 || !s.fencedAt.IsZero() && s.leaseExpired(now)) {
			p.removeTarget(id, scheduler.TargetMoved, now)
		}
	}
}

// formerPoolUntil returns how long a pool that is being opened leaves its targets to
// their former pool. The pool of a first shard has none. Neither has one that is opened
// in the start phase of its host: after a loss of power of all hosts nobody remembers
// the shards, and nothing runs on the targets by order of a former pool.
func formerPoolUntil(id shards.Pool, hostStartedAt, now time.Time) time.Time {
	if id.Shard == 0 || now.Sub(hostStartedAt) < startPhase {
		return time.Time{}
	}
	return now.Add(newPoolDelay)
}

// takeFromFormerPool adds the targets that the pool has left to their former pool, once
// that time is over.
func (p *pool) takeFromFormerPool(now time.Time) {
	if p.formerPoolUntil.IsZero() || now.Before(p.formerPoolUntil) {
		return
	}
	p.formerPoolUntil = time.Time{}
	for _, a := range p.node.announcements.recent(now) {
		p.handleAnnouncement(a, now)
	}
}

// balancePools hands this pool over to a host of the domain that holds none if this
// host holds several, for example because it started first and claimed all pools of the
// domain. In a domain of uneven hosts, their capacity and load decide.
func (p *pool) balancePools(now time.Time) {
	if p.handingOver || p.id.Domain != p.node.config.Self.Domain || now.Sub(p.balanceCheckedAt) < balanceCheckInterval {
		return
	}
	p.balanceCheckedAt = now
	if p.balanceByCapacity(now) {
		return
	}
	to := ""
	if p.node.isLastOfSeveralHeld(p.id) {
		to = p.node.firstOtherCandidate(p.id, p.node.holdsNoPool)
	}
	if to == "" {
		p.unbalancedSince = time.Time{}
		return
	}
	if p.unbalancedSince.IsZero() {
		p.unbalancedSince = now
	}
	if now.Sub(p.unbalancedSince) > balanceDelay {
		p.unbalancedSince = time.Time{}
		handOverEvent{to: to, reason: "this host holds several pools", done: make(chan struct{})}.apply(p, now)
	}
}

// isLastOfSeveralHeld reports whether this host holds several pools of a domain and
// the given one has the highest shard number among them.
func (n *Node) isLastOfSeveralHeld(id shards.Pool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := false
	for _, p := range n.pools {
		if p.heldHere.Load() && p.id.Domain == id.Domain && p.id.Shard != id.Shard {
			if p.id.Shard > id.Shard {
				return false
			}
			others = true
		}
	}
	return others
}

// holdsNoPool reports whether another host holds no pool.
func (n *Node) holdsNoPool(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for pool, c := range n.claims {
		if c.claim.Holder == host && !n.isHeldHere(pool) {
			return false
		}
	}
	return true
}

// isHeldHere reports whether this host holds a pool, so that the claim of another host on it
// is a former one. The caller holds the lock.
func (n *Node) isHeldHere(pool string) bool {
	p, ok := n.pools[pool]
	return ok && p.heldHere.Load()
}
