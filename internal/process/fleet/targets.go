package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// handleAnnouncement processes an announcement of one of the pool's targets. During a
// handover it does nothing: a task that were started on a new target after the pool's
// state was sent would be started again by the new holder. The announcement is recorded,
// and takeOver processes it if the handover is refused.
func (p *pool) handleAnnouncement(a Announcement, now time.Time) {
	id := a.Target.ID
	if !p.heldHere.Load() || p.handingOver || !p.contains(id, a.Target.Domain) || now.Before(p.formerPoolUntil) {
		return
	}
	if a.Deregistered {
		p.removeTarget(id, scheduler.TargetLeft, now)
		return
	}
	s, ok := p.sessions[id]
	if ok && s.incarnation > a.Target.Incarnation { // the later one announced nothing more and is forgotten
		if p.core.RunCount(id) > 0 {
			return // these may be on the target, and end there or with their lease
		}
		p.removeTarget(id, scheduler.TargetReplaced, now)
		ok = false
	}
	if ok && (s.incarnation != a.Target.Incarnation || s.ref.Address != a.Target.Address) {
		p.closeSession(id, now)
		ok = false
	}
	if ok {
		s.syncAnnouncedClock(a)
	} else {
		if p.unansweredSessions() >= maxUnansweredSessions {
			return // the next announcement tries again
		}
		p.raiseTokenFor(a.Target, now)
		s = newSession(p, a)
		p.sessions[id] = s
		s.open(p.node.runCtx)
	}
	p.applyEffects(p.core.UpdateTarget(a.Target, !ok, now), now)
}

// handleRestart handles the restart of a session's target under the same id, before
// the target has announced the restart.
func (p *pool) handleRestart(s *session, r TargetReport, now time.Time) {
	a, ok := p.node.announcements.get(s.ref.ID)
	if !ok || r.Incarnation < s.incarnation {
		return // the announcement has expired, or the answer is from a former incarnation
	}
	if a.Target.Incarnation < r.Incarnation {
		a = p.node.assumeRestarted(a, r, now)
		p.node.announcements.record(a)
	}
	p.handleAnnouncement(a, now)
}

// assumeRestarted returns what is known of a target that has restarted since an announcement
// and may be of another kind: its labels are unknown, and its capacity is taken for the smallest that
// a target of its service has announced.
func (n *Node) assumeRestarted(a Announcement, r TargetReport, now time.Time) Announcement {
	t := a.Target
	return Announcement{
		Target: scheduler.Target{
			ID: t.ID, Service: t.Service, Address: t.Address, Domain: t.Domain, Incarnation: r.Incarnation,
			Capacity: n.announcements.smallestCapacity(t.Service, t.Capacity), LabelsUnknown: true,
		},
		ClockMS: r.ClockMS, ReceivedAt: now,
	}
}

// maxUnansweredSessions bounds the sessions with targets that have never answered, each of
// which posts events again and again: a flood of entries of another writer would fill the ring.
// It is above the targets of any pool that a host takes over.
const maxUnansweredSessions = 512

func (p *pool) unansweredSessions() int {
	count := 0
	for _, s := range p.sessions {
		if s.clearing.Load() {
			count++
		}
	}
	return count
}

// dropForgottenTargets removes the targets that have announced nothing for forgetTargetAfter
// and have never answered: an entry of another writer names no target, and its session would
// look for runs for ever.
func (p *pool) dropForgottenTargets(now time.Time) {
	if now.Sub(p.forgottenDroppedAt) < forgottenDropInterval {
		return
	}
	p.forgottenDroppedAt = now
	for id, s := range p.sessions {
		if !s.clearing.Load() || p.core.RunCount(id) > 0 {
			continue
		}
		if a, known := p.node.announcements.get(id); !known || now.Sub(a.ReceivedAt) > forgetTargetAfter {
			p.removeTarget(id, scheduler.TargetLeft, now)
		}
	}
}

// removeTarget removes a target that is said to be gone.
func (p *pool) removeTarget(id string, cause scheduler.LossCause, now time.Time) {
	if s, ok := p.sessions[id]; ok {
		s.close()
	}
	leaseRemaining := p.leaseRemaining(id, now) // no request with a later lease is sent
	p.closeSession(id, now)
	p.applyEffects(p.core.RemoveTarget(id, cause, leaseRemaining, now), now)
}
