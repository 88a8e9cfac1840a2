package shards

import (
	"fmt"
	"time"
)

const (
	// A host is busy above busyPercent of its processor share, and has room for another
	// pool below idlePercent.
	busyPercent = 85
	idlePercent = 50
	// maxPercentAfter is the largest share of its processor that the host that takes a
	// pool may use with it. It is below busyPercent, so that it does not give the pool
	// away again.
	maxPercentAfter = 75
	// busyDelay and unbalancedDelay are how long the reason of a hand-over must have
	// persisted. Hosts that start together discover each other within the latter.
	busyDelay       = 2 * time.Second
	unbalancedDelay = 2 * time.Second
	// handOverInterval is the least time between two hand-overs of one pool, and between
	// two that one host begins because it is busy: what a hand-over changes is measured
	// over two seconds on both hosts.
	handOverInterval = 10 * time.Second
	// noReturnTime is how long a pool is not given back to a process that held it: it was
	// given away for a reason, and the estimate of the pool's work may be wrong.
	noReturnTime = 10 * time.Minute
	// peakWindow is the least time for which the highest busyness of a host is kept: a
	// host is judged by the peak of a demand that swings and not by its trough.
	peakWindow = 20 * time.Second
	// minGain is by how much a host that takes a pool must be less loaded with it,
	// relative to its capacity, than the one that gives it away without it being busy.
	minGain = 0.75
)

// HostLoad is a host of a domain with what it holds.
type HostLoad struct {
	Candidate
	Incarnation uint64
	BusyPercent int // processor time used lately, of what the host may use; 0 if unknown
	Pools       int // pools of the domain that it holds
}

// HandOver is the decision to hand a pool over.
type HandOver struct {
	To     string
	Busy   bool // for the load of the hosts, and not for the number of their pools
	Reason string
}

// Process is one incarnation of a host.
type Process struct {
	Address     string
	Incarnation uint64
}

// Balancer decides when a pool of an uneven domain is handed over to another host. Each
// host that may hold the pool keeps one for it. The zero value is ready for use.
type Balancer struct {
	holder          Process               // the last one observed
	formerHolders   map[Process]time.Time // those that gave the pool away, with the time
	receivedAt      time.Time             // when another host last handed the pool over to this one
	busySince       time.Time             // since when this host has been busy; zero if it is not
	unbalancedSince time.Time             // since when another host has been better suited; zero if there is none
	peaks           map[string]*peak
}

// peak is the highest busyness of a host in the present and the former peakWindow.
type peak struct {
	present, former int
	since           time.Time // of the present window
}

// Observe records the holder of the pool, as far as this host knows. A former holder that
// is not alive when another one follows was lost and gave nothing away.
func (b *Balancer) Observe(holder Process, alive func(address string) bool, now time.Time) {
	if holder == b.holder {
		return
	}
	if b.formerHolders == nil {
		b.formerHolders = map[Process]time.Time{}
	}
	if b.holder.Address != "" && alive(b.holder.Address) {
		b.formerHolders[b.holder] = now
	}
	for former, at := range b.formerHolders {
		if now.Sub(at) >= noReturnTime {
			delete(b.formerHolders, former)
		}
	}
	b.holder = holder
}

// Received records that another host handed the pool over to this one.
func (b *Balancer) Received(now time.Time) {
	*b = Balancer{holder: b.holder, formerHolders: b.formerHolders, receivedAt: now}
}

// Claimed records that this host claimed the pool, whose holder was lost. A former holder
// that is back may take it again.
func (b *Balancer) Claimed() { *b = Balancer{} }

// Decide decides whether the pool is handed over. The others are the hosts of the domain
// that may take it, in order of preference, and busyHandOverAt is when this host last
// handed a pool over because it was busy.
func (b *Balancer) Decide(self HostLoad, others []HostLoad, busyHandOverAt, now time.Time) (HandOver, bool) {
	b.recordPeak(self, now)
	for _, o := range others {
		b.recordPeak(o, now)
	}
	busyFor := since(&b.busySince, self.BusyPercent > busyPercent, now)
	work := b.poolWork(self)
	better, found := b.betterSuited(self, others, work, now)
	unbalancedFor := since(&b.unbalancedSince, found, now)
	switch {
	case now.Sub(b.receivedAt) < handOverInterval:
		return HandOver{}, false
	case found && unbalancedFor > unbalancedDelay:
		b.unbalancedSince = time.Time{} // another try, should the hand-over fail, waits as long
		return HandOver{To: better.Address, Reason: fmt.Sprintf("this host holds %d pools and carries %d targets, the other %d and %d",
			self.Pools, self.Capacity.CarriedTargets(), better.Pools, better.Capacity.CarriedTargets())}, true
	case busyFor > busyDelay && now.Sub(busyHandOverAt) >= handOverInterval:
		for _, o := range others {
			if o.BusyPercent > 0 && o.BusyPercent < idlePercent && b.mayTake(o, work, now) {
				return HandOver{To: o.Address, Busy: true, Reason: fmt.Sprintf("this host is busy at %d percent, the other at %d", self.BusyPercent, o.BusyPercent)}, true
			}
		}
	}
	return HandOver{}, false
}

// since returns how long a condition has held, and keeps the time at which it began.
func since(start *time.Time, holds bool, now time.Time) time.Duration {
	if !holds {
		*start = time.Time{}
		return 0
	}
	if start.IsZero() {
		*start = now
	}
	return now.Sub(*start)
}

func (b *Balancer) recordPeak(h HostLoad, now time.Time) {
	if b.peaks == nil {
		b.peaks = map[string]*peak{}
	}
	p := b.peaks[h.Address]
	if p == nil || now.Sub(p.since) > 2*peakWindow { // the latter if this host did not hold the pool meanwhile
		p = &peak{since: now}
		b.peaks[h.Address] = p
	}
	if now.Sub(p.since) >= peakWindow {
		p.former, p.present, p.since = p.present, 0, now
	}
	p.present = max(p.present, h.BusyPercent)
}

// peakOf returns the highest busyness of a host within peakWindow, and up to twice that.
func (b *Balancer) peakOf(h HostLoad) float64 {
	p := b.peaks[h.Address]
	return float64(max(p.present, p.former))
}

// betterSuited returns the first host that would carry fewer pools for its capacity with
// this pool than the present one does.
func (b *Balancer) betterSuited(self HostLoad, others []HostLoad, work float64, now time.Time) (HostLoad, bool) {
	candidates := []Candidate{self.Candidate}
	for _, o := range others {
		candidates = append(candidates, o.Candidate)
	}
	mean := meanCarriedTargets(candidates)
	carried := func(h HostLoad) float64 {
		if c := h.Capacity.carriedTargets(); c > 0 {
			return c
		}
		return mean
	}
	best, bestLoad := HostLoad{}, minGain*float64(self.Pools)/carried(self)
	found := false
	for _, o := range others {
		if load := float64(o.Pools+1) / carried(o); load < bestLoad && b.mayTake(o, work, now) {
			best, bestLoad, found = o, load, true
		}
	}
	return best, found
}

// poolWork returns an estimate of the thousandths of a core that the pool takes at the
// peak of the load, or 0 if it is unknown: an equal part of all that this host uses.
func (b *Balancer) poolWork(self HostLoad) float64 {
	return b.usedMilli(self) / float64(max(1, self.Pools))
}

// usedMilli returns the thousandths of a core that a host uses at the peak of its load.
func (b *Balancer) usedMilli(h HostLoad) float64 {
	return b.peakOf(h) / 100 * float64(h.Capacity.CPUMilli)
}

// mayTake reports whether a host may take a pool that takes the given work: it did not
// hold the pool lately, and its processor has room for the work also at the peak of its
// own load.
func (b *Balancer) mayTake(to HostLoad, work float64, now time.Time) bool {
	if at, ok := b.formerHolders[Process{to.Address, to.Incarnation}]; ok && now.Sub(at) < noReturnTime {
		return false
	}
	if work == 0 || to.BusyPercent == 0 || to.Capacity.CPUMilli == 0 {
		return true
	}
	return b.usedMilli(to)+work <= maxPercentAfter*float64(to.Capacity.CPUMilli)/100
}
