package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// odds says how long too few (below 0) or too many slots of a target have been
// held, and by how many at least. The second half of the time counts anew: by
// then every peer has reported.
type odds struct {
	since  time.Time
	least  int
	second bool
}

// expire shares out the slots of the peers whose lease is over: of each
// target, one live host takes them.
func (d *DemandPolicy) expire(now time.Time) {
	for _, name := range d.hosts {
		p := d.peers[name]
		if p == nil || p.lapsed || d.isLive(now, name) {
			continue
		}
		p.lapsed, p.owed = true, 0
		live := d.live(now)
		for _, e := range d.pool.sorted() {
			if heir(e, live) == d.cfg.Self {
				d.pool.hold(e, e.held+p.held[e.name])
			}
		}
		clear(p.held)
	}
}

// heir returns the live host that takes slots of e that nobody holds.
func heir(e *entry, live []string) string { return live[first(e, live)] }

// first returns the place of e's heir among the live hosts.
func first(e *entry, live []string) int {
	return int(xxhash.Sum64String(e.name) % uint64(len(live)))
}

// oddReports is the time, in full reports, after which parts that do not add
// up are mended. Slots that move between two other hosts make a sum odd for a
// while, but not always in the same direction.
const oddReports = 10

// reconcile mends targets whose parts do not add up to their slots: the heir
// takes what nobody holds; from the heir on they give up what is held twice.
func (d *DemandPolicy) reconcile(now time.Time) {
	live := d.live(now)
	for _, name := range live {
		if p := d.peers[name]; p != nil && !p.trusted {
			return
		}
	}
	for _, e := range d.pool.sorted() {
		d.reconcileTarget(now, e, live)
	}
}

func (d *DemandPolicy) reconcileTarget(now time.Time, e *entry, live []string) {
	beyond := d.beyond(e, live)
	o, ok := d.odd[e.name]
	if !ok || beyond*o.least <= 0 {
		o = odds{since: now, least: beyond}
	}
	window := oddReports * d.cfg.FullReportInterval
	restart := !o.second && now.Sub(o.since) >= window/2
	if restart || abs(beyond) < abs(o.least) {
		o.least, o.second = beyond, o.second || restart
	}
	d.odd[e.name] = o
	if o.least == 0 || now.Sub(o.since) < window {
		return
	}
	delete(d.odd, e.name)
	if o.least < 0 && heir(e, live) == d.cfg.Self {
		d.pool.hold(e, e.held-o.least)
	}
	if o.least > 0 {
		i := first(e, live)
		d.giveUp(e, o.least, slices.Concat(live[i:], live[:i]))
	}
}

func abs(n int) int { return max(n, -n) }

// beyond returns how many slots of e are held too many; below 0, too few.
func (d *DemandPolicy) beyond(e *entry, live []string) int {
	n := e.held - e.slots
	for _, name := range live {
		if p := d.peers[name]; p != nil {
			n += p.held[e.name]
		}
	}
	return n
}

// giveUp drops this host's part of what is held beyond e's slots: the hosts
// give up all they hold, in order, until nothing is held beyond.
func (d *DemandPolicy) giveUp(e *entry, beyond int, order []string) {
	for _, name := range order {
		if name == d.cfg.Self {
			d.pool.hold(e, e.held-min(beyond, e.held))
			return
		}
		beyond -= min(beyond, d.peers[name].held[e.name])
	}
}
