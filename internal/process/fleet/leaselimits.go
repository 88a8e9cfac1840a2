package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// limitReport is what was reported of the limit of a target's leases.
type limitReport struct {
	limit    scheduler.LeaseLimit
	reported bool // that the lease is short
	ended    bool // the lease has ended at its limit
}

// limitLeases tells the sessions until when leases may last.
func (p *pool) limitLeases(now time.Time) {
	for _, s := range p.sessions {
		if s.activeRuns.Load() > 0 || s.limitedBy.reported {
			p.limitLeasesOf(s, now)
		}
	}
}

// limitLeasesOf tells a session until when leases may last. Until the target has listed its runs,
// runs may be there that are not known here.
func (p *pool) limitLeasesOf(s *session, now time.Time) {
	limit := p.core.LeaseLimit(s.ref.ID)
	until := limit.Until
	switch {
	case s.clearing.Load() && !s.listed:
		until = time.Time{}
	case limit.Cause == scheduler.NotLimited:
		until = now.Add(p.core.KeptFor())
	}
	s.setLeaseLimit(until)
	p.reportLeaseLimit(s, limit, now)
}

// reportLeaseLimit logs and counts that the lease of a target becomes short for a run that must
// not go on, that it has ended, and that it is extended again.
func (p *pool) reportLeaseLimit(s *session, limit scheduler.LeaseLimit, now time.Time) {
	l := &s.limitedBy
	if l.reported && (limit.Cause != l.limit.Cause || limit.Run != l.limit.Run) {
		p.logLeaseLimit("The lease of a target is not limited by a run any more.", s, l.limit, now)
		*l = limitReport{}
	}
	if limit.Cause == scheduler.NotLimited {
		return
	}
	l.limit = limit
	left := limit.Until.Sub(now)
	if limit.Cause == scheduler.RunUnknown {
		left = s.leaseRemaining(now)
	}
	if !l.reported && left < p.node.config.MaxLease/2 {
		l.reported = true
		p.metrics.recordLeaseLimit("limited", limit.Cause, 0)
		p.logLeaseLimit("The lease of a target is limited by a run.", s, limit, now)
	}
	if l.reported && !l.ended && left <= 0 {
		l.ended = true
		p.metrics.recordLeaseLimit("ended", limit.Cause, p.otherRuns(s, limit))
		p.logLeaseLimit("The lease of a target has ended for a run.", s, limit, now)
	}
}

// otherRuns returns how many runs on a target end with the one that limits its lease.
func (p *pool) otherRuns(s *session, limit scheduler.LeaseLimit) int {
	runs := p.core.RunCount(s.ref.ID)
	if limit.Cause != scheduler.RunUnknown {
		runs--
	}
	return max(0, runs)
}

func (p *pool) logLeaseLimit(message string, s *session, limit scheduler.LeaseLimit, now time.Time) {
	age := time.Duration(0)
	if !limit.Since.IsZero() {
		age = now.Sub(limit.Since)
	}
	p.log.Info(message, "target", s.ref.ID, "job", limit.Run.Job, "task", limit.Run.TaskID(), "run", limit.Run.Number,
		"cause", limit.Cause.String(), "age", age, "remaining", s.leaseRemaining(now), "other_runs", p.otherRuns(s, limit))
}
