package scheduler

import (
	"cmp"
	"time"
)

// A caller whose attempt has ended sends its job again after Config.ResubmitDelay, perhaps to
// another pool. Its runs here must have ended by then, wherever they are and whatever requests are
// lost. A lease keeps all runs on a target alive, so no lease may end later than the time until
// which each of these runs may go on. That time moves on while the caller is known to wait, and
// stands still once the job is dropped, until the run is known to be over.

// LimitCause is why a lease may not be extended further.
type LimitCause int

// The causes of a limit.
const (
	NotLimited    LimitCause = iota
	CallerUnheard            // a run's job is in progress, and its caller is known to wait only until a time
	StopAwaited              // a run's job was dropped, and the run is not known to be over
	RunUnknown               // the target lists a run that was not started here
)

var limitCauseNames = [...]string{"none", "caller_unheard", "stop_awaited", "run_unknown"}

// String returns the cause's name.
func (c LimitCause) String() string { return limitCauseNames[c] }

// LeaseLimit is the latest end of a lease on a target, and the run that sets it.
type LeaseLimit struct {
	Cause LimitCause
	Until time.Time // zero if no lease may be given
	Run   Run
	Since time.Time // when the caller of the run's job was last known to wait; zero if that is not known
}

const (
	// defaultResubmitDelay is that of the users' platform.
	defaultResubmitDelay = 1300 * time.Millisecond
	// resubmitMargin is how long before its caller comes again a run has ended: a closed connection
	// is noticed, and a message of another host read, a little later.
	resubmitMargin = 150 * time.Millisecond
	// minStartLease is the shortest lease with which a task is started, so that it is renewed in
	// time although a renewal is lost.
	minStartLease = 500 * time.Millisecond
)

// KeptFor returns how long after its caller was last known to wait a run may go on, and a job that
// was handed over is kept until its caller's host submits it again.
func (c Config) KeptFor() time.Duration {
	delay := cmp.Or(c.ResubmitDelay, defaultResubmitDelay)
	return max(delay-resubmitMargin, delay/2)
}

// allowsStart reports whether the lease of a task that is started now would last.
func (l LeaseLimit) allowsStart(now time.Time) bool {
	return l.Cause == NotLimited || l.Until.Sub(now) >= minStartLease
}

// isAwaited reports whether the caller of a job was known to wait so lately that the lease of a
// task that is started now would last.
func (c *Core) isAwaited(s *jobState, now time.Time) bool {
	return !c.config.LimitLeases || s.awaitedAt.Add(c.config.KeptFor()).Sub(now) >= minStartLease
}

// LeaseLimit returns the limit of leases on a target.
func (c *Core) LeaseLimit(id string) LeaseLimit {
	if t, ok := c.targets[id]; ok {
		return t.leaseLimit
	}
	return LeaseLimit{}
}

// addRun adds a run to a target, whose leases must not outlast it.
func (c *Core) addRun(t *target, r *run) {
	t.addRun(r)
	c.limitLease(t, r)
}

// limitLease lowers the limit of a target to that of a run there.
func (c *Core) limitLease(t *target, r *run) {
	if !c.config.LimitLeases {
		return
	}
	limit := LeaseLimit{Cause: CallerUnheard, Until: r.job.awaitedAt.Add(c.config.KeptFor()), Run: r.id, Since: r.job.awaitedAt}
	if r.job.dropped {
		limit.Cause = StopAwaited
	}
	former := t.leaseLimit
	if former.Cause == NotLimited || cmp.Or(limit.Until.Compare(former.Until), limit.Run.compare(former.Run)) < 0 {
		t.leaseLimit = limit
	}
}

// limitLeases determines the limits of all targets.
func (c *Core) limitLeases(now time.Time) {
	if !c.config.LimitLeases {
		return
	}
	for _, t := range c.targets {
		t.leaseLimit = LeaseLimit{}
		for _, r := range t.runs {
			c.limitLease(t, r)
		}
	}
	for _, runs := range c.unknownRuns {
		for _, u := range runs {
			if now.Before(u.endsBy) {
				c.withholdLease(u)
			}
		}
	}
}

// withholdLease gives no lease to the target of an unknown run. Nobody here knows until when that
// run may go on.
func (c *Core) withholdLease(u unknownRun) {
	if t, ok := c.targets[u.target]; ok && c.config.LimitLeases {
		t.leaseLimit = LeaseLimit{Cause: RunUnknown, Run: u.id}
	}
}

// KeptFor returns how long after its caller was last known to wait a run may go on.
func (c *Core) KeptFor() time.Duration { return c.config.KeptFor() }
