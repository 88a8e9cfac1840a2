package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// imbalance records since when too few (below 0) or too many slots of a target have been
// held, all hosts taken together, and the smallest such number. The smallest number is
// determined again in the second half of the window: by then every peer has sent a report.
type imbalance struct {
	since      time.Time // when the imbalance was first seen
	smallest   int       // in absolute value, since the window or its second half started
	secondHalf bool      // the second half of the window has started
}

// redistributeExpired redistributes the slots of the peers whose leases have expired: of
// each target, one live host gets them all.
func (d *DemandPolicy) redistributeExpired(now time.Time) {
	for _, name := range d.hosts {
		p := d.peers[name]
		if p == nil || p.leaseExpired || d.isLive(now, name) {
			continue
		}
		p.leaseExpired, p.owedSlots = true, 0
		live := d.liveHosts(now)
		for _, e := range d.pool.sortedTargets() {
			if successor(e, live) == d.cfg.Self {
				d.pool.setHeldSlots(e, e.heldSlots+p.heldSlots[e.name])
			}
		}
		clear(p.heldSlots)
	}
}

// successor returns the live host that gets the slots of e that no host holds.
func successor(e *targetState, live []string) string { return live[successorIndex(e, live)] }

// successorIndex returns the index of e's successor among the live hosts.
func successorIndex(e *targetState, live []string) int {
	return int(xxhash.Sum64String(e.name) % uint64(len(live)))
}

// imbalanceReports is the time, in intervals between full reports, after which shares that
// do not add up are corrected. Slots that move between two other hosts cause an imbalance
// for a while, but not always in the same direction.
const imbalanceReports = 10

// reconcile corrects targets whose shares do not add up to their slots: the successor gets
// the slots that no host holds, and the hosts give up the slots that two hold, starting
// with the successor. It does nothing until every live peer has sent a full report.
func (d *DemandPolicy) reconcile(now time.Time) {
	live := d.liveHosts(now)
	for _, name := range live {
		if p := d.peers[name]; p != nil && !p.fullReportReceived {
			return
		}
	}
	for _, e := range d.pool.sortedTargets() {
		d.reconcileTarget(now, e, live)
	}
}

// reconcileTarget updates the imbalance of e and corrects one that has lasted for the whole
// window.
func (d *DemandPolicy) reconcileTarget(now time.Time, e *targetState, live []string) {
	excess := d.excess(e, live)
	o, ok := d.imbalances[e.name]
	if !ok || excess*o.smallest <= 0 {
		o = imbalance{since: now, smallest: excess}
	}
	window := imbalanceReports * d.cfg.FullReportInterval
	restart := !o.secondHalf && now.Sub(o.since) >= window/2
	if restart || abs(excess) < abs(o.smallest) {
		o.smallest, o.secondHalf = excess, o.secondHalf || restart
	}
	d.imbalances[e.name] = o
	if o.smallest == 0 || now.Sub(o.since) < window {
		return
	}
	delete(d.imbalances, e.name)
	if o.smallest < 0 && successor(e, live) == d.cfg.Self {
		d.pool.setHeldSlots(e, e.heldSlots-o.smallest)
	}
	if o.smallest > 0 {
		i := successorIndex(e, live)
		d.dropExcess(e, o.smallest, slices.Concat(live[i:], live[:i]))
	}
}

func abs(n int) int { return max(n, -n) }

// excess returns by how many the held slots of e exceed its slots; below 0, how many slots
// no host holds.
func (d *DemandPolicy) excess(e *targetState, live []string) int {
	n := e.heldSlots - e.slots
	for _, name := range live {
		if p := d.peers[name]; p != nil {
			n += p.heldSlots[e.name]
		}
	}
	return n
}

// dropExcess drops this host's share of the slots held in excess of e's. In the given
// order, each host gives up all that it holds until the excess is gone.
func (d *DemandPolicy) dropExcess(e *targetState, excess int, order []string) {
	for _, name := range order {
		if name == d.cfg.Self {
			d.pool.setHeldSlots(e, e.heldSlots-min(excess, e.heldSlots))
			return
		}
		excess -= min(excess, d.peers[name].heldSlots[e.name])
	}
}
