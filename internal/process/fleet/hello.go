package fleet

import (
	"context"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/parts"
)

// greet exchanges with one host until ctx is cancelled.
func (n *Node) greet(ctx context.Context, address string, link *hostlink.Link) {
	heard := true
	for {
		ok := n.greetOnce(ctx, address, link)
		if ok != heard && ctx.Err() == nil {
			heard = ok
			n.logReach(address, ok)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.greetPause(address)):
		}
	}
}

func (n *Node) logReach(address string, reached bool) {
	if reached {
		n.log.Info("A host answers again.", "peer", address)
	} else {
		n.log.Warn("A host does not answer.", "peer", address)
	}
}

// greetPause returns the time until the next greeting. Hosts with a disk do not
// greet entry hosts, which greet them, once they are known.
func (n *Node) greetPause(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, age, ok := n.table.Get(address, time.Now())
	switch {
	case !ok:
		return greetFirst
	case h.Entry && n.config.Self.Entry:
		return n.entryPause(h)
	case h.Entry && age < 2*greetControl:
		return 2 * greetControl
	case n.config.Self.Entry && !n.few():
		return greetMany
	}
	return greetControl
}

// entryPause returns the time between greetings to another entry host. Where
// there are many, those that hold no pool greet each other seldom: the number of
// greetings of a host then grows with the number of pools. The caller holds the
// lock.
func (n *Node) entryPause(h discovery.Host) time.Duration {
	near := h.Domain == n.config.Self.Domain
	switch {
	case n.few() || near && n.holdsPool(h.Address):
		return greetEntry
	case n.bothHold(h):
		return greetFar
	case near:
		return n.idlePause()
	}
	return farIdle * n.idlePause()
}

// idlePause returns the time between greetings of entry hosts that hold no pool;
// it grows with the hosts, so that what each sends does not. The caller holds
// the lock.
func (n *Node) idlePause() time.Duration {
	return greetIdle * time.Duration(max(1, n.table.Len()/fewHosts))
}

// few reports whether the entry hosts are few enough to greet each other often.
// The caller holds the lock.
func (n *Node) few() bool { return n.table.Len() <= fewHosts }

// holdsPool reports whether a host is the last one known to hold some pool. The
// caller holds the lock.
func (n *Node) holdsPool(address string) bool {
	if address == n.config.Self.Address {
		for _, p := range n.pools {
			if p.held.Load() {
				return true
			}
		}
		return false
	}
	return n.holders[address]
}

// bothHold reports whether this host and another one hold pools: jobs may go from
// one to the other. The caller holds the lock.
func (n *Node) bothHold(h discovery.Host) bool {
	return n.holdsPool(h.Address) && n.holdsPool(n.config.Self.Address)
}

// window returns how long after it was heard last a host counts as alive: some
// pauses between the greetings that pass between it and this one. The caller
// holds the lock.
func (n *Node) window(h discovery.Host) time.Duration {
	near := h.Domain == n.config.Self.Domain
	switch {
	case n.few() || near && (n.holdsPool(h.Address) || n.holdsPool(n.config.Self.Address)):
		return aliveFor
	case near:
		return idlePauses * n.idlePause()
	case n.bothHold(h):
		return idlePauses * greetFar
	}
	return 2 * farIdle * n.idlePause()
}

func (n *Node) greetOnce(ctx context.Context, address string, link *hostlink.Link) bool {
	limited, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	conn := link.Current()
	reply, err := fleetpb.NewFleetClient(conn).Exchange(limited, n.greeting(0))
	link.Exchanged(conn, err)
	if err != nil {
		return false
	}
	n.hear(reply)
	n.catchUp(ctx, address, reply.GetRegisterVersion())
	return true
}

// greeting returns what this host says of itself. The list of hosts goes along
// where the other's digest differs.
func (n *Node) greeting(digest uint64) *fleetpb.Greeting {
	self := n.Self()
	g := &fleetpb.Greeting{
		From:            hostMessage(self, 0),
		RegisterVersion: n.controller.Version(),
	}
	g.Claims = n.claimMessages()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	g.HostsDigest = n.table.Digest(self)
	if digest != 0 && digest != g.HostsDigest {
		for _, h := range n.table.All(now) {
			_, age, _ := n.table.Get(h.Address, now)
			g.Hosts = append(g.Hosts, hostMessage(h, age))
		}
	}
	return g
}

// hear takes in a greeting.
func (n *Node) hear(g *fleetpb.Greeting) {
	now := time.Now()
	var fresh []discovery.Host
	learn := func(m *fleetpb.Host) {
		h, age := hostFrom(m)
		if n.table.Learn(h, age, now) {
			fresh = append(fresh, h)
		}
	}
	n.mu.Lock()
	learn(g.GetFrom())
	for _, h := range g.GetHosts() {
		learn(h)
	}
	for _, c := range g.GetClaims() {
		n.hearClaim(c)
	}
	dropped := n.dropClaims(g)
	n.mu.Unlock()
	for _, p := range n.openPools() {
		if c, ok := dropped[p.name]; ok {
			p.tell(forgottenEvent{c})
		}
	}
	n.openOwnParts()
	for _, h := range fresh {
		n.meet(h.Address, h)
		if h.Disk && n.config.Self.Entry {
			n.group.Go(func() error { n.fetchTargets(h.Address); return nil })
		}
	}
	for _, c := range g.GetClaims() {
		for _, p := range n.openPools() {
			p.hearClaim(c)
		}
	}
}

// dropClaims forgets the claims of a host that has started anew since, and returns
// them by pool: it no longer knows of them, and is alive, so nobody else would take
// the pools. The caller holds the lock.
func (n *Node) dropClaims(g *fleetpb.Greeting) map[string]holder.Claim {
	dropped := map[string]holder.Claim{}
	from := g.GetFrom()
	for pool, c := range n.claims {
		if c.claim.Holder != from.GetAddress() || c.incarnation >= from.GetIncarnation() {
			continue
		}
		if !slices.ContainsFunc(g.GetClaims(), func(m *fleetpb.Claim) bool { return m.GetPool() == pool }) {
			n.log.Warn("The claim of a host that started anew is dropped.", "pool", pool, "holder", c.claim.Holder, "token", c.claim.Token)
			dropped[pool] = c.claim
			delete(n.claims, pool)
		}
	}
	return dropped
}

// hearClaim keeps the best claim on each pool, and the latest word of its
// holder. The caller holds the lock.
func (n *Node) hearClaim(m *fleetpb.Claim) {
	c := holder.Claim{Holder: m.GetHolder(), Token: m.GetFencingToken()}
	known, ok := n.claims[m.GetPool()]
	if ok && known.claim != c && known.claim.Beats(c) {
		return
	}
	if known.claim.Holder != c.Holder {
		n.holders = map[string]bool{c.Holder: true}
		for pool, other := range n.claims {
			if pool != m.GetPool() {
				n.holders[other.claim.Holder] = true
			}
		}
	}
	h, _, _ := n.table.Get(c.Holder, time.Now())
	n.claims[m.GetPool()] = claimHeard{
		claim: c, free: int(m.GetFreeSlots()), queued: int(m.GetQueued()), incarnation: h.Incarnation,
	}
	if p, err := parts.Parse(m.GetPool()); err == nil {
		n.hearParts(p.Domain, int(m.GetParts()))
	}
}

// catchUp fetches the catalog from a host that holds a newer one. Only one fetch is
// in progress: all greetings tell of a new version at once, and a large catalog
// from each of their senders would fill the link for seconds.
func (n *Node) catchUp(ctx context.Context, address string, version uint64) {
	if version <= n.controller.Version() || !n.catching.TryLock() {
		return
	}
	defer n.catching.Unlock()
	if err := n.controller.CatchUp(ctx, address, version); err != nil {
		n.log.Warn("The newer catalog of a host was not fetched.", "peer", address, "version", version, "error", err)
	}
}

// fetchTargets asks a host with a disk for the targets that it knows, which
// otherwise become known with their next announcements.
func (n *Node) fetchTargets(address string) {
	link, ok := n.link(address)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(n.running, greetTimeout)
	defer cancel()
	m, err := fleetpb.NewFleetClient(link).Targets(ctx, &fleetpb.Empty{})
	if err != nil {
		n.log.Warn("The targets that a host knows were not fetched.", "peer", address, "error", err)
		return
	}
	now := time.Now()
	for _, a := range m.GetAnnouncements() {
		n.takeIn(announcementFrom(a, now))
	}
}
