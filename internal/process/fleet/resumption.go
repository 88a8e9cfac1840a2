package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/discovery"
)

// A host that did not run for a while, as it was frozen or its machine was suspended, does not
// know what it has missed. Senders have given up jobs that wait here, and their withdrawals wait
// in the buffers of connections. The pools of the host start no task until this has been read.
// After a long pause, another host may hold them, whose token a target may not have seen. So the
// host waits until it has heard from the hosts that would have claimed them, or these stay
// silent: a domain that is cut off goes on working.

// claimTime is how long a host may be silent at most before another one claims its pools.
const claimTime = aliveTimeout + claimListenTime

// peerWait is how long after a pause the hosts that may have claimed a pool are awaited: an
// exchange of hello messages that begins once what had arrived has been read.
const peerWait = resumeReadTime + helloTimeout

// resumption is what a pool knows of the last pause of its host.
type resumption struct {
	pause       gap
	startsHeld  bool
	awaitsPeers bool            // other hosts may have claimed the pool
	handOvers   []handOverEvent // that begin once starts are not held
}

// outlasted reports whether the pause was longer than the sender of a submission waits for an
// answer. What is read after the pause over the same connection does not tell: the sender may
// have sent it before it gave the submission up.
func (r resumption) outlasted(w waiter) bool {
	from := r.pause.from
	if w.waitingSince.After(from) {
		from = w.waitingSince
	}
	return w.heard != nil && r.pause.to.Sub(from) > submissionSilence
}

// observePause holds the starts of tasks after a pause of this host, and listens again for the
// holder of a pool that it does not hold.
func (p *pool) observePause(now time.Time) {
	pause := p.node.pauses.lastGap(now)
	if !pause.to.After(p.resumption.pause.to) {
		return
	}
	awaitsPeers := claimTime-p.node.pauses.listened(claimTime, now) > pauseThreshold
	if p.resumption.startsHeld { // little was read between the two
		pause.from = p.resumption.pause.from
		awaitsPeers = awaitsPeers || p.resumption.awaitsPeers
	}
	p.resumption = resumption{pause: pause, startsHeld: true, awaitsPeers: awaitsPeers, handOvers: p.resumption.handOvers}
	p.core.HoldStarts(true)
	p.holderView.ListenAgain(now)
	p.holderView.SetClockLead(p.node.pauses.totalSuspended())
}

// resumeStarts lets tasks start again once this host has read what had arrived in its pause and,
// after a long one, has heard from its peers or waited for them.
func (p *pool) resumeStarts(now time.Time) {
	r, waited := p.resumption, now.Sub(p.resumption.pause.to)
	if !r.startsHeld || waited < resumeReadTime {
		return
	}
	unheard := 0
	if r.awaitsPeers {
		if unheard = p.node.unheardPeers(p.id.Domain, r.pause.to.Add(resumeReadTime), now); unheard > 0 && waited < peerWait {
			return
		}
	}
	p.withdrawLostSenders(now)
	p.callersSeenAt = now.Add(-resumeReadTime)
	p.resumption.startsHeld = false
	p.core.HoldStarts(false)
	p.resumption.handOvers = nil
	for _, e := range r.handOvers {
		e.apply(p, now)
	}
	if r.awaitsPeers && p.heldHere.Load() {
		p.log.Info("Tasks start again after a pause of this host.", "pool", p.name, "token", p.holderView.Claim().Token, "waited", waited, "silent_peers", unheard)
	}
}

// expireLeases informs the scheduler that the leases of a target have expired of which the last
// was sent at a time. The loss of the runs shows nothing of the target if this host did not run
// meanwhile, and so did not renew the lease, or let it end.
func (p *pool) expireLeases(id string, sentAt, now time.Time) {
	s, ok := p.sessions[id]
	if p.node.pauses.lastGap(now).to.After(sentAt) || ok && s.limitedBy.ended {
		p.core.ExcuseTarget(id, sentAt)
	}
	p.applyEffects(p.core.ExpireLeasesSentBy(id, sentAt, now), now)
}

// unheardPeers returns how many entry hosts that may hold a pool of a domain have not been
// heard from since a time, of those that were alive when this host last listened.
func (n *Node) unheardPeers(domain string, since, now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	inDomain, elsewhere := 0, 0
	hasPeer := false
	for _, h := range n.hostTable.All(now) {
		_, age, _ := n.hostTable.Get(h.Address, now)
		if !h.Entry || h.Leaving || n.isSilent(h, age, now) {
			continue
		}
		unheard := 0
		if now.Add(-age).Before(since) {
			unheard = 1
		}
		if h.Domain == domain {
			hasPeer, inDomain = true, inDomain+unheard
		} else {
			elsewhere += unheard
		}
	}
	if !hasPeer {
		return elsewhere
	}
	return inDomain
}

// isSilent reports whether a host that was last heard from the given time ago has been silent
// for its alive window while this host listened. The caller holds the lock.
func (n *Node) isSilent(h discovery.Host, age time.Duration, now time.Time) bool {
	return n.pauses.listened(age, now) > n.aliveWindow(h)
}
