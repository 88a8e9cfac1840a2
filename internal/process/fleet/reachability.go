package fleet

import (
	"context"
	"errors"
	"time"

	"wasabifield.example/wasabifield/internal/process/repeat"
)

const (
	probeInterval = 300 * time.Millisecond // between two probes of targets of an orphaned pool
	probeValidity = time.Second            // how long an answer to a probe counts
	// reachableDelay is how long targets must have answered while no entry host of
	// their domain is heard from: when a network partition ends, connections between
	// hosts are re-established within half a second and hello messages follow within
	// a quarter.
	reachableDelay = time.Second
)

// targetsReachable reports whether targets of the pool have been answering for
// reachableDelay, and probes one at each probeInterval. If they do not answer, the
// domain may be cut off and have a holder of its own. A claim by this host would then
// take the pool from that holder when the partition ends.
func (p *pool) targetsReachable(now time.Time) bool {
	if p.heldHere.Load() {
		return true
	}
	if now.Sub(p.targetAnsweredAt) > probeValidity {
		p.targetsAnswerSince = time.Time{}
	}
	if holder := p.holderView.Claim().Holder; holder != "" && p.node.isAlive(holder) {
		return false
	}
	if now.Sub(p.probedAt) > probeInterval {
		p.probedAt = now
		p.probeTarget(now)
	}
	return !p.targetsAnswerSince.IsZero() && now.Sub(p.targetsAnswerSince) > reachableDelay
}

// probeTarget sends a target of the pool a request with the lowest token. A refusal
// counts as an answer.
func (p *pool) probeTarget(now time.Time) {
	for _, a := range p.node.announcements.recent(now) {
		if !p.contains(a.Target.ID, a.Target.Domain) || a.Deregistered {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(p.node.runCtx, repeat.MaxTimeout)
			defer cancel()
			_, err := p.node.config.Targets.Renew(ctx, TargetRef{ID: a.Target.ID, Address: a.Target.Address}, RenewRequest{})
			if err == nil || errors.Is(err, ErrFenced) {
				p.post(targetAnsweredEvent{})
			}
		}()
		return
	}
}

// targetAnsweredEvent reports that a target answered a probe.
type targetAnsweredEvent struct{}

func (targetAnsweredEvent) apply(p *pool, now time.Time) {
	p.targetAnsweredAt = now
	if p.targetsAnswerSince.IsZero() {
		p.targetsAnswerSince = now
	}
}
