package fleet

import (
	"context"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// runHellos exchanges hello messages with one host until ctx is cancelled.
func (n *Node) runHellos(ctx context.Context, address string, link *hostlink.Link) {
	reachable := true
	for {
		answered := n.exchangeHello(ctx, address, link)
		if answered != reachable && ctx.Err() == nil {
			reachable = answered
			n.logReachability(address, answered)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.helloInterval(address)):
		case <-n.evacuations.change(): // the interval may be shorter from now on
		}
	}
}

func (n *Node) logReachability(address string, reached bool) {
	if reached {
		n.log.Info("A host answers again.", "peer", address)
	} else {
		n.log.Warn("A host does not answer.", "peer", address)
	}
}

// helloInterval returns the time until the next hello message to a host. A host with a
// disk sends fewer to entry hosts that it receives messages from, as those send hello messages to
// it.
func (n *Node) helloInterval(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	h, age, ok := n.hostTable.Get(address, now)
	switch {
	case !ok:
		return helloFirstInterval
	case h.Entry && n.config.Self.Entry:
		return n.entryHelloInterval(h)
	case h.Entry && age < 2*helloDiskInterval:
		return 2 * helloDiskInterval
	case n.config.Self.Entry && now.Sub(n.startedAt) < startPhase:
		return helloEntryInterval
	case n.config.Self.Entry && !n.isSmallSystem():
		return helloDiskLargeInterval
	}
	return helloDiskInterval
}

// entryHelloInterval returns the time between hello messages to another entry host. In
// a large system, entry hosts that hold no pool exchange them rarely, so that the
// number of messages of a host grows with the number of pools. The caller holds the
// lock.
func (n *Node) entryHelloInterval(h discovery.Host) time.Duration {
	sameDomain := h.Domain == n.config.Self.Domain
	switch {
	case n.isSmallSystem() || sameDomain && n.holdsAnyPool(h.Address) || n.watchesHolder(h.Address):
		return helloEntryInterval
	case n.bothHoldPools(h):
		return helloFarInterval
	case sameDomain:
		return n.idleHelloInterval()
	}
	return farIdleFactor * n.idleHelloInterval()
}

// idleHelloInterval returns the time between hello messages of entry hosts that hold
// no pool. It grows with the number of hosts, so that the number of messages that each
// host sends does not. The caller holds the lock.
func (n *Node) idleHelloInterval() time.Duration {
	return helloIdleInterval * time.Duration(max(1, n.hostTable.Len()/smallSystemHosts))
}

// isSmallSystem reports whether there are few enough hosts for all entry hosts to
// exchange hello messages often. The caller holds the lock.
func (n *Node) isSmallSystem() bool { return n.hostTable.Len() <= smallSystemHosts }

// holdsAnyPool reports whether a host is the last known holder of any pool. The caller
// holds the lock.
func (n *Node) holdsAnyPool(address string) bool {
	if address == n.config.Self.Address {
		for _, p := range n.pools {
			if p.heldHere.Load() {
				return true
			}
		}
		return false
	}
	return n.remoteHolders[address]
}

// bothHoldPools reports whether this host and another one hold pools, so that one may
// pass jobs to the other. The caller holds the lock.
func (n *Node) bothHoldPools(h discovery.Host) bool {
	return n.holdsAnyPool(h.Address) && n.holdsAnyPool(n.config.Self.Address)
}

// aliveWindow returns how long a host counts as alive after it was last heard from:
// several times the interval between the hello messages that it and this host exchange.
// The caller holds the lock.
func (n *Node) aliveWindow(h discovery.Host) time.Duration {
	sameDomain := h.Domain == n.config.Self.Domain
	switch {
	case n.isSmallSystem() || sameDomain && (n.holdsAnyPool(h.Address) || n.holdsAnyPool(n.config.Self.Address)) || n.hearsFromWatched(h.Address):
		return aliveTimeout
	case sameDomain:
		return idleAliveIntervals * n.idleHelloInterval()
	case n.bothHoldPools(h):
		return idleAliveIntervals * helloFarInterval
	}
	return 2 * farIdleFactor * n.idleHelloInterval()
}

func (n *Node) exchangeHello(ctx context.Context, address string, link *hostlink.Link) bool {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply *fleetpb.Greeting
	err := link.Exchange(callCtx, func(ctx context.Context, conn *hostlink.Conn) (err error) {
		reply, err = fleetpb.NewFleetClient(conn).Exchange(ctx, n.helloMessage(nil, 0))
		return err
	})
	if err != nil {
		return false
	}
	n.receiveHello(reply)
	n.fetchCatalog(ctx, address, reply.GetRegisterVersion())
	return true
}

// helloMessage returns this host's hello message. The arguments are the host that it
// goes to and its digest of the hosts that it knows, or 0 if that is unknown. The message
// includes a list of hosts if the digest is known and differs from this host's.
func (n *Node) helloMessage(to *fleetpb.Host, digest uint64) *fleetpb.Greeting {
	self := n.Self()
	hello := &fleetpb.Greeting{
		From:            hostMessage(self, 0),
		RegisterVersion: n.controller.Version(),
		AcceptsParts:    true,
		ClockMs:         ownClock(n.now()),
	}
	hello.Claims = n.claimsToTell()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	hello.HostsDigest = n.hostTable.Digest(self)
	if digest != 0 && digest != hello.HostsDigest {
		for _, h := range n.hostTable.All(now) {
			if !n.listsHost(h, to) {
				continue
			}
			_, age, _ := n.hostTable.Get(h.Address, now)
			hello.Hosts = append(hello.Hosts, hostMessage(h, age))
		}
	}
	return hello
}

// listsHost reports whether this host's lists to another host include a third one. In a
// large system, only lists from and to hosts with a disk, which all hosts exchange hello
// messages with, are complete. Otherwise all pairs of entry hosts would exchange complete
// lists while many hosts start at once. The caller holds the lock.
func (n *Node) listsHost(h discovery.Host, to *fleetpb.Host) bool {
	if n.isSmallSystem() || n.config.Self.HasDisk || to.GetDisk() || h.HasDisk {
		return true
	}
	return to.GetDomain() == n.config.Self.Domain && h.Domain == n.config.Self.Domain
}

// receiveHello processes a hello message.
func (n *Node) receiveHello(hello *fleetpb.Greeting) {
	now := n.now()
	hello.Hosts, hello.Claims = n.dropOddHosts(hello.GetHosts(), now), n.dropOddClaims(hello.GetClaims())
	var newHosts []discovery.Host
	record := func(m *fleetpb.Host) {
		h, age := hostFrom(m)
		if n.hostTable.Record(h, age, now) {
			newHosts = append(newHosts, h)
			if h.Entry && h.Domain == n.config.Self.Domain {
				n.domainHostsNewAt = now
			}
		}
	}
	n.mu.Lock()
	record(hello.GetFrom())
	sender, _, _ := n.hostTable.Get(hello.GetFrom().GetAddress(), now)
	if sender.Incarnation > hello.GetFrom().GetIncarnation() {
		n.mu.Unlock()
		return // the sender has restarted since, and no longer knows of the claims
	}
	n.heardDirectly[sender.Address] = true
	n.recordAcceptsParts(hello)
	n.recordClock(hello, now)
	for _, h := range hello.GetHosts() {
		record(h)
	}
	for _, c := range hello.GetClaims() {
		if told := c.GetHolder() != sender.Address; told && (c.GetHolder() == n.config.Self.Address || n.knowsClaim(c)) {
			continue // a claim that another host reports carries no load, and this host knows its own
		}
		n.recordClaim(c)
	}
	dropped := n.dropForgottenClaims(hello)
	n.mu.Unlock()
	for _, p := range n.listPools() {
		if c, ok := dropped[p.name]; ok {
			p.post(claimForgottenEvent{c})
		}
	}
	n.openOwnPools()
	for _, h := range newHosts {
		n.submissions.withdrawFormer(h.Address, h.Incarnation)
		n.addHost(h.Address, h)
		if h.HasDisk && n.config.Self.Entry {
			n.group.Go(func() error { n.fetchAnnouncements(h.Address); return nil })
		}
	}
	for _, c := range hello.GetClaims() {
		n.postClaimToPools(c)
	}
}

func (n *Node) postClaimToPools(c *fleetpb.Claim) {
	for _, p := range n.listPools() {
		p.postClaim(c)
	}
}

// dropForgottenClaims drops the claims of a host that has restarted since, and returns
// them by pool. The host no longer knows of these claims, and as it is alive, no other
// host would claim the pools. The caller holds the lock.
func (n *Node) dropForgottenClaims(hello *fleetpb.Greeting) map[string]holder.Claim {
	dropped := map[string]holder.Claim{}
	from := hello.GetFrom()
	for pool, c := range n.claims {
		if c.claim.Holder != from.GetAddress() || c.holderIncarnation >= from.GetIncarnation() {
			continue
		}
		if !slices.ContainsFunc(hello.GetClaims(), func(m *fleetpb.Claim) bool { return m.GetPool() == pool }) {
			n.log.Warn("The claim of a host that restarted is dropped.", "pool", pool, "holder", c.claim.Holder, "token", c.claim.Token)
			dropped[pool] = c.claim
			delete(n.claims, pool)
		}
	}
	return dropped
}

// knowsClaim reports whether a claim is the best one that is known on its pool. The caller
// holds the lock.
func (n *Node) knowsClaim(m *fleetpb.Claim) bool {
	return n.claims[m.GetPool()].claim == holder.Claim{Holder: m.GetHolder(), Token: m.GetFencingToken()}
}

// recordClaim keeps the best claim on each pool, and the load that its holder reported
// last. The caller holds the lock.
func (n *Node) recordClaim(m *fleetpb.Claim) {
	c := holder.Claim{Holder: m.GetHolder(), Token: m.GetFencingToken()}
	known, ok := n.claims[m.GetPool()]
	if ok && known.claim != c && known.claim.Supersedes(c) {
		return
	}
	if known.claim.Holder != c.Holder {
		n.remoteHolders = map[string]bool{c.Holder: true}
		for pool, other := range n.claims {
			if pool != m.GetPool() {
				n.remoteHolders[other.claim.Holder] = true
			}
		}
	}
	h, _, _ := n.hostTable.Get(c.Holder, n.now())
	n.claims[m.GetPool()] = remoteClaim{
		claim: c, freeTasks: int(m.GetFreeSlots()), queuedTasks: int(m.GetQueued()), holderIncarnation: h.Incarnation,
		reportedAt: n.now(),
	}
	if p, err := shards.ParsePool(m.GetPool()); err == nil {
		n.raiseShardCount(p.Domain, int(m.GetParts()))
	}
}

// fetchCatalog fetches the catalog from a host that has a newer one. Only one fetch is
// in progress at a time: all hello messages report a new version at once, and fetching
// a large catalog from each of their senders would fill the link for seconds.
func (n *Node) fetchCatalog(ctx context.Context, address string, version uint64) {
	if version <= n.controller.Version() || !n.catalogFetchMu.TryLock() {
		return
	}
	defer n.catalogFetchMu.Unlock()
	if err := n.controller.CatchUp(ctx, address, version); err != nil {
		n.log.Warn("The newer catalog of a host was not fetched.", "peer", address, "version", version, "error", err)
	}
}

// receiveClaim processes a claim that its holder tells this host of.
func (n *Node) receiveClaim(c *fleetpb.Claim) {
	if len(n.dropOddClaims([]*fleetpb.Claim{c})) == 0 || c.GetHolder() == n.config.Self.Address {
		return
	}
	n.mu.Lock()
	n.recordClaim(c)
	n.mu.Unlock()
	n.postClaimToPools(c)
}

// fetchAnnouncements asks a host with a disk for the announcements that it remembers.
// Otherwise the targets would become known only with their next announcements.
func (n *Node) fetchAnnouncements(address string) {
	link, ok := n.link(address)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(n.runCtx, helloTimeout)
	defer cancel()
	askedAt := n.now()
	m, err := fleetpb.NewFleetClient(link).Targets(ctx, &fleetpb.TargetsRequest{})
	if err != nil {
		n.log.Warn("The targets that a host knows were not fetched.", "peer", address, "error", err)
		return
	}
	n.recordAnswered(m, askedAt)
}

// recordAnswered records the announcements in the answer to a request of a given time. Their
// ages count from then: the answer was made later.
func (n *Node) recordAnswered(m *fleetpb.Announcements, askedAt time.Time) {
	for _, a := range m.GetAnnouncements() {
		n.recordForwarded(announcementFrom(a, askedAt))
	}
}
