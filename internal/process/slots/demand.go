package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// DemandConfig configures a Demand.
type DemandConfig struct {
	Self               string        // this host's name
	RetryInterval      time.Duration // from a request that was not met in full to the next
	ProbeBusyPeers     bool          // ask also when no peer's last word showed an idle slot
	BatchDelay         time.Duration // how long slots for a peer are gathered into one message
	PeerLease          time.Duration // a peer not heard of for this long loses its slots
	RefusalPause       time.Duration // how long a target is left alone after a first refusal
	FullReportInterval time.Duration // between two reports to a peer that name every target
}

// DemandPolicy starts from equal parts and moves slots to where tasks wait. A host
// whose slots are used up asks one peer for idle slots in one message. When
// both are busy, slots pass as their tasks end, until each holds in
// proportion to its running and waiting tasks. Slots stay where they were
// last needed.
//
// Lost messages, dead peers and restarts leave slots that no host holds or
// that two hold. The periodic reports show both, and reconcile mends them.
type DemandPolicy struct {
	cfg     DemandConfig
	pool    pool
	peers   map[string]*peer
	hosts   []string // this host and its peers, sorted
	queued  int      // this host's waiting tasks, as of the last call of Messages
	asked   string   // the peer with an open request, or ""
	wanted  int      // slots asked for in the open request
	askedAt time.Time
	nextAsk time.Time
	turn    int             // rotates among peers of equal rank
	odd     map[string]odds // targets whose parts do not add up
}

// peer is what is known of another host.
type peer struct {
	heard   time.Time
	told    time.Time // when it was last sent a full report
	queued  int
	busy    int
	total   int
	held    map[string]int
	owed    int            // slots to pass to the peer as tasks end
	lend    map[string]int // slots on their way to the peer, not yet sent
	since   time.Time      // when the first of lend was gathered
	reply   bool           // a reply is due
	trusted bool           // a full report has arrived since the peer appeared
	lapsed  bool           // the lease is over and its slots were shared out
}

// NewDemandPolicy returns a Demand that holds nothing.
func NewDemandPolicy(cfg DemandConfig) *DemandPolicy {
	return &DemandPolicy{
		cfg:   cfg,
		pool:  newPool(),
		peers: make(map[string]*peer),
		hosts: []string{cfg.Self},
		odd:   make(map[string]odds),
	}
}

// SetConfig puts another Retry and Probe in force.
func (d *DemandPolicy) SetConfig(cfg DemandConfig) {
	d.cfg.RetryInterval, d.cfg.ProbeBusyPeers = cfg.RetryInterval, cfg.ProbeBusyPeers
}

// SetTargets implements Policy. Of a new target the host takes its equal part.
func (d *DemandPolicy) SetTargets(now time.Time, targets []Target) {
	live := d.live(now)
	d.pool.setTargets(targets, func(t Target) int { return equalPart(t.Name, t.Slots, d.cfg.Self, live) })
}

// SetPeers implements Policy. A new peer counts as heard of now.
func (d *DemandPolicy) SetPeers(now time.Time, names []string) {
	for _, name := range names {
		if d.peers[name] == nil {
			d.peers[name] = &peer{heard: now, held: map[string]int{}, lend: map[string]int{}}
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

// live returns the hosts that were heard of within the lease, sorted.
func (d *DemandPolicy) live(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(d.hosts), func(name string) bool {
		return name != d.cfg.Self && !d.isLive(now, name)
	})
}

func (d *DemandPolicy) isLive(now time.Time, name string) bool {
	return now.Sub(d.peers[name].heard) < d.cfg.PeerLease
}

// SetDisabled takes a target out of use or puts it back. Its slots are not lent.
func (d *DemandPolicy) SetDisabled(target string, shut bool) { d.pool.shut(target, shut) }

// Acquire implements Policy.
func (d *DemandPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return d.pool.acquire(now, rng, usable)
}

// Release implements Policy. A slot that is owed to a peer passes to it.
func (d *DemandPolicy) Release(target string) {
	e := d.pool.finish(target)
	if e == nil || e.busy >= e.held {
		return
	}
	for _, name := range d.hosts {
		if p := d.peers[name]; p != nil && p.owed > 0 {
			p.owed--
			d.pass(e, p, 1)
			return
		}
	}
}

// Refused implements Policy.
func (d *DemandPolicy) ReleaseRefused(now time.Time, target string) {
	d.pool.refuse(now, target, d.cfg.RefusalPause)
}

// unreachablePause is the first pause after a start that did not reach its
// target, in units of the pause after a refusal.
const unreachablePause = 20

// ReleaseUnreachable returns the slot of a start that did not reach its target.
func (d *DemandPolicy) ReleaseUnreachable(now time.Time, target string) {
	d.pool.refuse(now, target, unreachablePause*d.cfg.RefusalPause)
}

// pass moves n slots of e to what p will be sent.
func (d *DemandPolicy) pass(e *entry, p *peer, n int) {
	d.pool.hold(e, e.held-n)
	p.lend[e.name] += n
	p.held[e.name] += n
}

// Messages implements Policy.
func (d *DemandPolicy) DueMessages(now time.Time, queued int) []OutgoingMessage {
	d.queued = queued
	var sends []OutgoingMessage
	ask := d.ask(now)
	for _, name := range d.hosts {
		p := d.peers[name]
		if p == nil {
			continue
		}
		if len(p.lend) > 0 && p.since.IsZero() {
			p.since = now
		}
		if name == ask || p.reply || len(p.lend) > 0 && now.Sub(p.since) >= d.cfg.BatchDelay {
			sends = append(sends, OutgoingMessage{To: name, Message: d.message(p, name == ask)})
		}
	}
	return sends
}

func (d *DemandPolicy) message(p *peer, ask bool) Message {
	m := Message{IsReply: p.reply, LentSlots: grants(p.lend), QueuedTasks: d.queued, BusySlots: d.pool.busy, UsableSlots: d.pool.usable()}
	if ask {
		m.RequestedSlots = d.queued
		d.wanted = d.queued
	}
	p.reply, p.since = false, time.Time{}
	clear(p.lend)
	return m
}

// lostAfter is when a request without reply counts as lost.
const lostAfter = 100 * time.Millisecond

// ask returns the peer to ask for slots now, or "".
func (d *DemandPolicy) ask(now time.Time) string {
	if d.queued == 0 || now.Before(d.nextAsk) {
		return ""
	}
	if d.asked != "" && now.Sub(d.askedAt) < lostAfter {
		return ""
	}
	d.asked = d.bestPeer(now)
	d.askedAt = now
	d.nextAsk = now.Add(d.cfg.RetryInterval)
	return d.asked
}

// bestPeer returns the live peer with the most idle slots by its last word.
// If none was idle, it returns "", or any live peer if Probe is set.
func (d *DemandPolicy) bestPeer(now time.Time) string {
	best, most := "", 0
	if d.cfg.ProbeBusyPeers {
		most = -1
	}
	d.turn++
	for i := range d.hosts {
		name := d.hosts[(i+d.turn)%len(d.hosts)]
		p := d.peers[name]
		if p == nil || p.total == 0 || !d.isLive(now, name) {
			continue
		}
		if idle := p.idle(); idle > most {
			best, most = name, idle
		}
	}
	return best
}

// IdleSlots returns the held slots that are not used, here and, by their last word,
// at the live peers.
func (d *DemandPolicy) IdleSlots(now time.Time) int {
	sum := d.pool.idle()
	for name, p := range d.peers {
		if d.isLive(now, name) {
			sum += p.idle()
		}
	}
	return sum
}

// idle returns the peer's idle slots by its last word.
func (p *peer) idle() int {
	if p.queued > 0 {
		return 0
	}
	return max(0, p.total-p.busy)
}

// Receive implements Policy.
func (d *DemandPolicy) Receive(now time.Time, from string, m Message) {
	p := d.peers[from]
	if p == nil {
		return
	}
	p.heard, p.lapsed = now, false
	p.queued, p.busy, p.total = m.QueuedTasks, m.BusySlots, m.UsableSlots
	d.take(p, m.LentSlots)
	if m.IsFullReport {
		p.held, p.trusted = counts(m.HeldSlots), true
		d.reconcile(now)
	}
	if m.IsReply && d.asked == from {
		d.asked = ""
		if slotsIn(m.LentSlots) >= d.wanted {
			d.nextAsk = now
		}
	}
	if m.RequestedSlots > 0 {
		p.reply = true
		d.lendIdle(p, m.RequestedSlots)
	}
	d.owe(p)
}

// take adds the slots that p lent.
func (d *DemandPolicy) take(p *peer, lent []Grant) {
	for _, g := range lent {
		p.held[g.Target] = max(0, p.held[g.Target]-g.Slots)
		if e := d.pool.byName[g.Target]; e != nil && !e.gone {
			d.pool.hold(e, e.held+g.Slots)
		}
	}
}

// lendIdle passes up to want idle slots to p, from the targets with most idle
// slots first, one each in turn.
func (d *DemandPolicy) lendIdle(p *peer, want int) {
	want = min(want, d.pool.idle())
	p.total += want
	for want > 0 {
		for _, e := range slices.Clone(d.pool.free) {
			if want == 0 {
				return
			}
			d.pass(e, p, 1)
			want--
		}
	}
}

// owe sets how many slots pass to p as tasks end, when both hosts have tasks
// waiting: each should hold in proportion to its running and waiting tasks.
func (d *DemandPolicy) owe(p *peer) {
	p.owed = 0
	if p.queued == 0 {
		return
	}
	mine := d.pool.busy + d.queued
	theirs := p.busy + p.queued
	fair := (d.pool.held + p.total) * theirs / (mine + theirs)
	if missing := fair - p.total; missing > (p.total+owedShare-1)/owedShare {
		p.owed = min(missing, d.pool.held-1)
	}
}

// owedShare is the hysteresis of owe: differences under this part of the
// peer's slots are left.
const owedShare = 8

// Report implements Policy.
func (d *DemandPolicy) Report(now time.Time, to string, queued int) Message {
	d.queued = queued
	m := Message{QueuedTasks: queued, BusySlots: d.pool.busy, UsableSlots: d.pool.usable()}
	if p := d.peers[to]; p != nil && now.Sub(p.told) >= d.cfg.FullReportInterval {
		p.told = now
		m.IsFullReport, m.HeldSlots = true, d.heldSlots()
	}
	d.expire(now)
	d.reconcile(now)
	return m
}

func (d *DemandPolicy) heldSlots() []Grant {
	var held []Grant
	for _, e := range d.pool.sorted() {
		if e.held > 0 {
			held = append(held, Grant{e.name, e.held})
		}
	}
	return held
}

// HeldByTarget returns the slots that this host holds, by target.
func (d *DemandPolicy) HeldByTarget() map[string]int { return counts(d.heldSlots()) }

// Capacity implements Policy.
func (d *DemandPolicy) Capacity(now time.Time) int {
	return d.pool.held + d.IdleSlots(now) - d.pool.idle()
}

func slotsIn(list []Grant) int {
	sum := 0
	for _, g := range list {
		sum += g.Slots
	}
	return sum
}

func counts(list []Grant) map[string]int {
	m := make(map[string]int, len(list))
	for _, g := range list {
		m[g.Target] = g.Slots
	}
	return m
}

func grants(m map[string]int) []Grant {
	list := make([]Grant, 0, len(m))
	for name, n := range m {
		list = append(list, Grant{name, n})
	}
	slices.SortFunc(list, func(a, b Grant) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
