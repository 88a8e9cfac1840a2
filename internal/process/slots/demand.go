package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// DemandConfig configures a DemandPolicy.
type DemandConfig struct {
	Self               string        // this host's name
	RetryInterval      time.Duration // between a request that was not met in full and the next
	ProbeBusyPeers     bool          // request slots even if no peer reported an idle slot last
	BatchDelay         time.Duration // how long slots for a peer are collected before they are sent in one message
	PeerLease          time.Duration // a peer that was not heard from for this long loses its slots
	RefusalPause       time.Duration // how long a target gets no start after a first refusal
	FullReportInterval time.Duration // between two reports to a peer that state every target
}

// DemandPolicy starts from equal shares and moves slots to where tasks wait. A host
// without free slots requests idle slots from one peer in one message. When both hosts are
// busy, slots pass as tasks end, until each host holds slots in proportion to its running
// and waiting tasks. Slots stay where they were last needed.
//
// Lost messages, failed peers and restarts leave slots that no host holds or that two
// hosts hold. The periodic full reports show both, and reconcile corrects them.
type DemandPolicy struct {
	cfg            DemandConfig
	pool           pool
	peers          map[string]*peer
	hosts          []string             // this host and its peers, sorted
	queuedTasks    int                  // this host's waiting tasks, as of the last call of DueMessages or Report
	askedPeer      string               // the peer with an open request, or ""
	requestedSlots int                  // slots requested in the open request
	askedAt        time.Time            // when the open request was made
	nextAskAt      time.Time            // no request before this time
	rotation       int                  // rotates the order of peers with equally many idle slots
	imbalances     map[string]imbalance // by target; smallest is 0 while the shares add up
}

// peer is what is known of another host.
type peer struct {
	lastHeardAt        time.Time
	fullReportSentAt   time.Time      // when the last full report was sent to the peer
	queuedTasks        int            // as the peer reported last
	busySlots          int            // as the peer reported last
	usableSlots        int            // as the peer reported last, plus the idle slots lent to it since
	heldSlots          map[string]int // by target
	owedSlots          int            // slots to lend to the peer as tasks end
	pendingLoans       map[string]int // slots lent to the peer and not sent yet, by target
	firstLoanAt        time.Time      // when the first pending loan was collected; zero if there is none
	replyDue           bool           // a request of the peer was not answered yet
	fullReportReceived bool           // since the peer was added
	leaseExpired       bool           // and the peer's slots were redistributed
}

// NewDemandPolicy returns a DemandPolicy that holds no slots.
func NewDemandPolicy(cfg DemandConfig) *DemandPolicy {
	return &DemandPolicy{
		cfg:        cfg,
		pool:       newPool(),
		peers:      make(map[string]*peer),
		hosts:      []string{cfg.Self},
		imbalances: make(map[string]imbalance),
	}
}

// SetConfig applies another RetryInterval and ProbeBusyPeers. The other fields are ignored.
func (d *DemandPolicy) SetConfig(cfg DemandConfig) {
	d.cfg.RetryInterval, d.cfg.ProbeBusyPeers = cfg.RetryInterval, cfg.ProbeBusyPeers
}

// SetTargets implements Policy. The host holds its equal share of a new target.
func (d *DemandPolicy) SetTargets(now time.Time, targets []Target) {
	live := d.liveHosts(now)
	d.pool.setTargets(targets, func(t Target) int { return equalShare(t.Name, t.Slots, d.cfg.Self, live) })
}

// SetPeers implements Policy. A new peer counts as heard from now.
func (d *DemandPolicy) SetPeers(now time.Time, names []string) {
	for _, name := range names {
		if d.peers[name] == nil {
			d.peers[name] = &peer{lastHeardAt: now, heldSlots: map[string]int{}, pendingLoans: map[string]int{}}
		}
	}
	for name := range d.peers {
		if !slices.Contains(names, name) {
			delete(d.peers, name)
		}
	}
	d.hosts = append([]string{d.cfg.Self}, names...)
	slices.Sort(d.hosts)
}

// liveHosts returns this host and the peers whose leases have not expired, sorted.
func (d *DemandPolicy) liveHosts(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(d.hosts), func(name string) bool {
		return name != d.cfg.Self && !d.isLive(now, name)
	})
}

func (d *DemandPolicy) isLive(now time.Time, name string) bool {
	return now.Sub(d.peers[name].lastHeardAt) < d.cfg.PeerLease
}

// SetDisabled disables a target or enables it again. A disabled target gets no start and
// its slots are not lent.
func (d *DemandPolicy) SetDisabled(target string, disabled bool) {
	d.pool.setDisabled(target, disabled)
}

// Acquire implements Policy.
func (d *DemandPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return d.pool.acquire(now, rng, usable)
}

// Release implements Policy. A slot that is owed to a peer is lent to the peer.
func (d *DemandPolicy) Release(target string) {
	e := d.pool.releaseFinished(target)
	if e == nil || e.busySlots >= e.heldSlots {
		return
	}
	for _, name := range d.hosts {
		if p := d.peers[name]; p != nil && p.owedSlots > 0 {
			p.owedSlots--
			d.lend(e, p, 1)
			return
		}
	}
}

// ReleaseRefused implements Policy.
func (d *DemandPolicy) ReleaseRefused(now time.Time, target string) {
	d.pool.releaseRefused(now, target, d.cfg.RefusalPause)
}

// unreachablePauseFactor is the first pause after a start that did not reach its target,
// in multiples of the pause after a refusal.
const unreachablePauseFactor = 20

// ReleaseUnreachable returns the slot of a start that did not reach its target.
func (d *DemandPolicy) ReleaseUnreachable(now time.Time, target string) {
	d.pool.releaseRefused(now, target, unreachablePauseFactor*d.cfg.RefusalPause)
}

// lend moves n slots of e from this host to the pending loans of p.
func (d *DemandPolicy) lend(e *targetState, p *peer, n int) {
	d.pool.setHeldSlots(e, e.heldSlots-n)
	p.pendingLoans[e.name] += n
	p.heldSlots[e.name] += n
}

// DueMessages implements Policy.
func (d *DemandPolicy) DueMessages(now time.Time, queued int) []OutgoingMessage {
	d.queuedTasks = queued
	var messages []OutgoingMessage
	askedPeer := d.choosePeerToAsk(now)
	for _, name := range d.hosts {
		p := d.peers[name]
		if p == nil {
			continue
		}
		if len(p.pendingLoans) > 0 && p.firstLoanAt.IsZero() {
			p.firstLoanAt = now
		}
		if name == askedPeer || p.replyDue || len(p.pendingLoans) > 0 && now.Sub(p.firstLoanAt) >= d.cfg.BatchDelay {
			messages = append(messages, OutgoingMessage{To: name, Message: d.nextMessage(p, name == askedPeer)})
		}
	}
	return messages
}

// nextMessage returns the message for p, with a request for slots if ask is set, and clears
// what the message carries.
func (d *DemandPolicy) nextMessage(p *peer, ask bool) Message {
	m := Message{IsReply: p.replyDue, LentSlots: sortedGrants(p.pendingLoans), QueuedTasks: d.queuedTasks, BusySlots: d.pool.busySlots, UsableSlots: d.pool.usableSlots()}
	if ask {
		m.RequestedSlots = d.queuedTasks
		d.requestedSlots = d.queuedTasks
	}
	p.replyDue, p.firstLoanAt = false, time.Time{}
	clear(p.pendingLoans)
	return m
}

// requestTimeout is how long after its sending a request without a reply counts as lost.
const requestTimeout = 100 * time.Millisecond

// choosePeerToAsk returns the peer to request slots from now, or "", and records the
// request.
func (d *DemandPolicy) choosePeerToAsk(now time.Time) string {
	if d.queuedTasks == 0 || now.Before(d.nextAskAt) {
		return ""
	}
	if d.askedPeer != "" && now.Sub(d.askedAt) < requestTimeout {
		return ""
	}
	d.askedPeer = d.mostIdlePeer(now)
	d.askedAt = now
	d.nextAskAt = now.Add(d.cfg.RetryInterval)
	return d.askedPeer
}

// mostIdlePeer returns the live peer that reported the most idle slots last. If none
// reported an idle slot, it returns "", or any live peer if ProbeBusyPeers is set.
func (d *DemandPolicy) mostIdlePeer(now time.Time) string {
	best, mostIdle := "", 0
	if d.cfg.ProbeBusyPeers {
		mostIdle = -1
	}
	d.rotation++
	for i := range d.hosts {
		name := d.hosts[(i+d.rotation)%len(d.hosts)]
		p := d.peers[name]
		if p == nil || p.usableSlots == 0 || !d.isLive(now, name) {
			continue
		}
		if idle := p.idleSlots(); idle > mostIdle {
			best, mostIdle = name, idle
		}
	}
	return best
}

// IdleSlots returns the number of held slots that are not used, on this host and, as last
// reported, on the live peers.
func (d *DemandPolicy) IdleSlots(now time.Time) int {
	sum := d.pool.idleSlots()
	for name, p := range d.peers {
		if d.isLive(now, name) {
			sum += p.idleSlots()
		}
	}
	return sum
}

// idleSlots returns the idle slots that the peer reported last.
func (p *peer) idleSlots() int {
	if p.queuedTasks > 0 {
		return 0
	}
	return max(0, p.usableSlots-p.busySlots)
}

// Receive implements Policy. A message from a host that is not a peer is ignored.
func (d *DemandPolicy) Receive(now time.Time, from string, m Message) {
	p := d.peers[from]
	if p == nil {
		return
	}
	p.lastHeardAt, p.leaseExpired = now, false
	p.queuedTasks, p.busySlots, p.usableSlots = m.QueuedTasks, m.BusySlots, m.UsableSlots
	d.receiveLoans(p, m.LentSlots)
	if m.IsFullReport {
		p.heldSlots, p.fullReportReceived = slotsByTarget(m.HeldSlots), true
		d.reconcile(now)
	}
	if m.IsReply && d.askedPeer == from {
		d.askedPeer = ""
		if totalSlots(m.LentSlots) >= d.requestedSlots {
			d.nextAskAt = now
		}
	}
	if m.RequestedSlots > 0 {
		p.replyDue = true
		d.lendIdleSlots(p, m.RequestedSlots)
	}
	d.updateOwedSlots(p)
}

// receiveLoans adds the slots that p lent to those that this host holds.
func (d *DemandPolicy) receiveLoans(p *peer, lent []Grant) {
	for _, g := range lent {
		p.heldSlots[g.Target] = max(0, p.heldSlots[g.Target]-g.Slots)
		if e := d.pool.byName[g.Target]; e != nil && !e.removed {
			d.pool.setHeldSlots(e, e.heldSlots+g.Slots)
		}
	}
}

// lendIdleSlots lends up to the requested number of idle slots to p, one of each target
// with an idle slot in turn.
func (d *DemandPolicy) lendIdleSlots(p *peer, requested int) {
	requested = min(requested, d.pool.idleSlots())
	p.usableSlots += requested
	for requested > 0 {
		for _, e := range slices.Clone(d.pool.withFreeSlot) {
			if requested == 0 {
				return
			}
			d.lend(e, p, 1)
			requested--
		}
	}
}

// updateOwedSlots sets how many slots are lent to p as tasks end. If tasks wait at p, each
// host should hold slots in proportion to its running and waiting tasks.
func (d *DemandPolicy) updateOwedSlots(p *peer) {
	p.owedSlots = 0
	if p.queuedTasks == 0 {
		return
	}
	ownTasks := d.pool.busySlots + d.queuedTasks
	peerTasks := p.busySlots + p.queuedTasks
	fairShare := (d.pool.heldSlots + p.usableSlots) * peerTasks / (ownTasks + peerTasks)
	if missing := fairShare - p.usableSlots; missing > (p.usableSlots+owedToleranceDivisor-1)/owedToleranceDivisor {
		p.owedSlots = min(missing, d.pool.heldSlots-1)
	}
}

// owedToleranceDivisor is the hysteresis of updateOwedSlots: a difference of up to
// 1/owedToleranceDivisor of the peer's slots, rounded up, is not corrected.
const owedToleranceDivisor = 8

// Report implements Policy.
func (d *DemandPolicy) Report(now time.Time, to string, queued int) Message {
	d.queuedTasks = queued
	m := Message{QueuedTasks: queued, BusySlots: d.pool.busySlots, UsableSlots: d.pool.usableSlots()}
	if p := d.peers[to]; p != nil && now.Sub(p.fullReportSentAt) >= d.cfg.FullReportInterval {
		p.fullReportSentAt = now
		m.IsFullReport, m.HeldSlots = true, d.heldGrants()
	}
	d.redistributeExpired(now)
	d.reconcile(now)
	return m
}

func (d *DemandPolicy) heldGrants() []Grant {
	var held []Grant
	for _, e := range d.pool.sortedTargets() {
		if e.heldSlots > 0 {
			held = append(held, Grant{e.name, e.heldSlots})
		}
	}
	return held
}

// HeldByTarget returns the number of slots that this host holds of each target.
func (d *DemandPolicy) HeldByTarget() map[string]int { return slotsByTarget(d.heldGrants()) }

// Capacity implements Policy.
func (d *DemandPolicy) Capacity(now time.Time) int {
	return d.pool.heldSlots + d.IdleSlots(now) - d.pool.idleSlots()
}

func totalSlots(list []Grant) int {
	sum := 0
	for _, g := range list {
		sum += g.Slots
	}
	return sum
}

func slotsByTarget(list []Grant) map[string]int {
	m := make(map[string]int, len(list))
	for _, g := range list {
		m[g.Target] = g.Slots
	}
	return m
}

func sortedGrants(m map[string]int) []Grant {
	list := make([]Grant, 0, len(m))
	for name, n := range m {
		list = append(list, Grant{name, n})
	}
	slices.SortFunc(list, func(a, b Grant) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
