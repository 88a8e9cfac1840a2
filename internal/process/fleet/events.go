package fleet

import (
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// submitEvent submits a job.
type submitEvent struct {
	id     uint64
	job    scheduler.Job
	waiter waiter
}

func (e submitEvent) apply(p *pool, now time.Time) {
	late := isLate(e.waiter.startUntil, now)
	if p.handingOver {
		if !late {
			e.waiter.startUntil = 0 // its sender is known to wait from now on
		}
		p.parkedSubmits = append(p.parkedSubmits, e)
		return
	}
	if !p.heldHere.Load() {
		e.waiter.answer <- scheduler.Answer{
			Outcome: scheduler.Moved, Kind: failure.NotReady, Holder: p.holderView.Claim().Holder, Reason: "this host does not hold the pool",
		}
		return
	}
	if late {
		p.log.Warn("A job arrived late and is refused.", "job", e.job.ID, "peer", e.waiter.sender, "late_ms", ownClock(now)-e.waiter.startUntil,
			"waited", now.Sub(e.waiter.waitingSince))
		e.waiter.answer <- refusalAnswer(errSubmissionLate)
		return
	}
	if reason := p.lostSender(e.waiter, now); reason != "" {
		p.log.Warn("A job is refused.", "job", e.job.ID, "peer", e.waiter.sender, "reason", reason, "waited", now.Sub(e.waiter.waitingSince))
		e.waiter.answer <- refusalAnswer(failure.New(failure.NotReady, reason))
		return
	}
	p.waiters[e.id] = e.waiter
	p.core.SetPoolCapacities(p.node.freeCapacityExcept(p.id))
	p.applyEffects(p.core.Submit(e.job, e.id, now), now)
	if _, accepted := p.waiters[e.id]; accepted {
		p.publishLoad(now)
	}
}

// withdrawEvent removes a waiter whose caller has left or whose sender is not alive.
type withdrawEvent struct {
	id     uint64
	reason string // how this host learned of it
}

func (e withdrawEvent) apply(p *pool, now time.Time) {
	w, ok := p.waiters[e.id]
	if !ok {
		p.parkedSubmits = slices.DeleteFunc(p.parkedSubmits, func(s submitEvent) bool { return s.id == e.id })
		return
	}
	delete(p.waiters, e.id)
	p.log.Info("A job was withdrawn.", "job", w.jobID, "reason", e.reason, "peer", w.sender, "waited", now.Sub(w.waitingSince))
	p.applyEffects(p.core.Withdraw(w.jobID, e.id, now), now)
}

// announcementEvent delivers a target's announcement.
type announcementEvent struct{ announcement Announcement }

// apply uses the newest announcement of the target: events of two announcements that
// arrived at once may be in either order, and the older one reports a former capacity.
func (e announcementEvent) apply(p *pool, now time.Time) {
	a := e.announcement
	if newest, ok := p.node.announcements.get(a.Target.ID); ok {
		a = newest
	}
	p.handleAnnouncement(a, now)
}

// claimEvent delivers another host's claim on the pool.
type claimEvent struct{ claim holder.Claim }

func (e claimEvent) apply(p *pool, now time.Time) {
	if p.handingOver {
		return // a hello message repeats the claim after the handover
	}
	if p.holderView.RecordClaim(e.claim) == holder.Yielded {
		p.yield(now, "another host claims it with a higher token")
	}
}

// claimForgottenEvent reports that a holder has restarted and no longer knows of its
// claim.
type claimForgottenEvent struct{ claim holder.Claim }

func (e claimForgottenEvent) apply(p *pool, now time.Time) {
	if p.holderView.Claim() == e.claim {
		p.holderView.RecordRelease(now)
	}
}

// sessionEvent carries a session's result to the pool. It is dropped unless the
// session is still the one in use for its target.
type sessionEvent struct {
	session *session
	handle  func(p *pool, now time.Time)
}

func (e sessionEvent) apply(p *pool, now time.Time) {
	if p.sessions[e.session.ref.ID] == e.session {
		e.handle(p, now)
	}
}

// handleReport processes the runs that a target lists as running or ended.
func (p *pool) handleReport(s *session, r TargetReport, now time.Time) {
	id := s.ref.ID
	p.applyEffects(p.core.MarkResponsive(id, now), now)
	for _, ended := range r.Ended {
		p.applyEffects(p.core.HandleRunEnded(id, ended.Run, ended.End, now), now)
	}
	unknownRuns := 0
	listedRuns := map[scheduler.Run]bool{}
	for _, listed := range r.Running {
		run := listed.Run
		listedRuns[run] = true
		if !p.core.RecordProgress(id, run, listed.PercentDone, now) {
			unknownRuns++
			p.core.RecordUnknownRun(id, run, now.Add(p.node.unknownRunTime()))
			p.log.Info("An unknown run is stopped.", "job", run.Job, "task", run.TaskID(), "run", run.Number, "target", id)
			s.stopUnknown(run)
		}
	}
	s.listed = true
	p.applyEffects(p.core.StopUnlisted(id, listedRuns, now), now)
	p.applyEffects(p.core.ReleaseUnlistedRuns(id, listedRuns, now), now)
	unreadable := r.Unreadable > 0 && !s.leaseExpired(now) // a row may name a run of a former holder
	if s.clearing.Load() && unknownRuns == 0 && !unreadable && !s.movingAway && p.isConfirmed(id, now) {
		s.clearing.Store(false)
		p.applyEffects(p.core.SetClearing(id, false, now), now)
	}
	p.limitLeasesOf(s, now)
}

// handleFenced handles the refusal of a target that obeys a higher fencing token. A
// host that has just started raises its token: it may have forgotten a higher one, or
// its clock went back. Any other host gives the pool up and listens for the holder.
func (p *pool) handleFenced(s *session, now time.Time) {
	if s.movingAway {
		s.fencedAt = now // the new holder stops the runs there; they end with their lease at the latest
		s.close()
		return
	}
	p.log.Warn("A target refused a request.", "target", s.ref.ID, "token", s.token, "reason", "it obeys a higher token")
	if now.Sub(p.node.catalogs.startedAt) > tokenRaiseWindow {
		p.fencedAt = now
		p.holderView.RecordFenced(now)
		p.yield(now, "a target obeys another holder")
		return
	}
	if now.Sub(p.tokenRaisedAt) < claimListenTime {
		return
	}
	p.tokenRaisedAt = now
	p.applyEffects(p.core.AbandonJobs(), now)
	p.core = p.newCore()
	p.holderView.RaiseToken(now)
	p.takeOver(now, "the token was too low")
}
