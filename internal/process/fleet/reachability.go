package fleet

import (
	"context"
	"errors"
	"time"
)

const (
	reachPause = 300 * time.Millisecond // between two questions to targets of an orphaned pool
	reachLife  = time.Second            // an answer counts for so long
	// reachProof is how long targets must have answered while no entry host of
	// their domain is heard: when a cut ends, connections between hosts are made
	// again within half a second and greetings follow within a quarter.
	reachProof = time.Second
)

// reachable reports whether a target of the pool has answered just now, and asks
// one if not. A domain that is cut off has its own holder, and its targets cannot
// be reached; a claim from outside would take the pool from it when the cut ends.
func (p *pool) reachable(now time.Time) bool {
	if p.held.Load() {
		return true
	}
	if now.Sub(p.reached) > reachLife {
		p.reachedSince = time.Time{}
	}
	if holder := p.view.Claim().Holder; holder != "" && p.node.alive(holder) {
		return false
	}
	if now.Sub(p.probed) > reachPause {
		p.probed = now
		p.askTarget(now)
	}
	return !p.reachedSince.IsZero() && now.Sub(p.reachedSince) > reachProof
}

// askTarget asks a target of the pool with the least token. Its refusal is an
// answer too.
func (p *pool) askTarget(now time.Time) {
	for _, a := range p.node.beats.list(now) {
		if !p.owns(a.Target.ID, a.Target.Domain) || a.Deregistered {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(p.node.running, orderTimeout)
			defer cancel()
			_, err := p.node.config.Targets.Renew(ctx, TargetRef{ID: a.Target.ID, Address: a.Target.Address}, RenewRequest{})
			if err == nil || errors.Is(err, ErrFenced) {
				p.tell(reachedEvent{})
			}
		}()
		return
	}
}

// reachedEvent says that a target answered.
type reachedEvent struct{}

func (reachedEvent) apply(p *pool, now time.Time) {
	p.reached = now
	if p.reachedSince.IsZero() {
		p.reachedSince = now
	}
}
