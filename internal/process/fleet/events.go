package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// submitEvent brings a job.
type submitEvent struct {
	id     uint64
	job    scheduler.Job
	waiter waiter
}

func (e submitEvent) apply(p *pool, now time.Time) {
	if p.handing {
		p.parked = append(p.parked, e)
		return
	}
	if !p.held.Load() {
		e.waiter.answer <- scheduler.Answer{
			Outcome: scheduler.Moved, Kind: failure.NotReady, Holder: p.view.Claim().Holder, Reason: "this host does not hold the pool",
		}
		return
	}
	p.waiters[e.id] = e.waiter
	p.core.SetPoolCapacities(p.node.room(p.id))
	p.apply(p.core.Submit(e.job, e.id, now), now)
}

// withdrawEvent says that a waiter has left.
type withdrawEvent struct{ id uint64 }

func (e withdrawEvent) apply(p *pool, now time.Time) {
	w, ok := p.waiters[e.id]
	if !ok {
		return
	}
	delete(p.waiters, e.id)
	p.log.Info("The caller of a job left.", "job", w.job, "waited", now.Sub(w.begun), "peer", w.sender)
	p.apply(p.core.Withdraw(w.job, e.id, now), now)
}

// announceEvent brings an announcement.
type announceEvent struct{ announcement Announcement }

func (e announceEvent) apply(p *pool, now time.Time) { p.announce(e.announcement, now) }

// claimEvent brings another host's claim on the pool.
type claimEvent struct{ claim holder.Claim }

func (e claimEvent) apply(p *pool, now time.Time) {
	if p.handing {
		return // the claim is heard again after the hand-over
	}
	if p.view.Hear(e.claim) == holder.Yielded {
		p.yield(now, "another host claims it with a higher token")
	}
}

// forgottenEvent says that a holder has started anew and knows nothing of its
// claim.
type forgottenEvent struct{ claim holder.Claim }

func (e forgottenEvent) apply(p *pool, now time.Time) {
	if p.view.Claim() == e.claim {
		p.view.Release(now)
	}
}

// targetEvent is something that a session learned. It counts only while the
// session is the one in use.
type targetEvent struct {
	session *session
	what    func(p *pool, now time.Time)
}

func (e targetEvent) apply(p *pool, now time.Time) {
	if p.sessions[e.session.ref.ID] == e.session {
		e.what(p, now)
	}
}

// onReport takes in what runs and what has ended on a target.
func (p *pool) onReport(s *session, r TargetReport, now time.Time) {
	id := s.ref.ID
	p.apply(p.core.MarkResponsive(id, now), now)
	for _, ended := range r.Ended {
		p.apply(p.core.HandleRunEnded(id, ended.Run, ended.End, now), now)
	}
	foreign := 0
	present := map[scheduler.Run]bool{}
	for _, listed := range r.Running {
		run := listed.Run
		present[run] = true
		if !p.core.RecordProgress(id, run, listed.PercentDone, now) {
			foreign++
			p.log.Info("An unknown run is stopped.", "job", run.Job, "task", run.TaskID(), "run", run.Number, "target", id)
			s.stop(run)
		}
	}
	p.apply(p.core.StopUnlisted(id, present, now), now)
	if s.clearing.Load() && foreign == 0 && !s.leaving {
		s.clearing.Store(false)
		p.apply(p.core.SetClearing(id, false, now), now)
	}
}

// onFenced takes in that a target obeys another holder. A host that has just
// started raises its token: it may have forgotten a higher one, or its clock went
// back. Any other gives the pool up and listens for the holder.
func (p *pool) onFenced(s *session, now time.Time) {
	if s.leaving {
		s.fencedAt = now // the new holder stops what runs there; it is over with the lease at the latest
		s.close()
		return
	}
	p.log.Warn("A target refused an order.", "target", s.ref.ID, "token", s.token, "reason", "it obeys a higher token")
	if now.Sub(p.node.catalogs.started) > freshFor {
		p.fenced = now
		p.view.Fence(now)
		p.yield(now, "a target obeys another holder")
		return
	}
	if now.Sub(p.raised) < settleFor {
		return
	}
	p.raised = now
	p.apply(p.core.AbandonJobs(), now)
	p.core = scheduler.NewCore(scheduler.DefaultConfig())
	p.view.Raise(now)
	p.takeOver(now, "the token was too low")
}
