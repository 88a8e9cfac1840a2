package scheduler

import (
	"maps"
	"slices"
	"time"
)

// A detached run is a run on a target that this pool does not have: the target belongs to
// another shard since the domain was split, has not announced itself here since a
// hand-over, or is said to be gone. This host sends no requests to that target, so the
// run's task waits until the leases that were sent to it have expired. If the target
// becomes known here, it takes its runs over.

// detach records a run on an unknown target, whose lease has expired at leaseEnd.
func (c *Core) detach(r *run, leaseEnd time.Time) { c.detachedRuns[r] = leaseEnd }

// attachRuns moves the detached runs on a target to the target, which has become known.
func (c *Core) attachRuns(t *target, now time.Time) {
	for _, r := range slices.SortedFunc(maps.Keys(c.detachedRuns), compareRuns) {
		if r.targetID == t.ID {
			delete(c.detachedRuns, r)
			c.adopt(t, r, now)
		}
	}
}

// adopt adds a run of a former holder to its target. If the target has restarted since the
// run was started, the run is lost, and is stopped there because its start request may
// have reached the new incarnation.
func (c *Core) adopt(t *target, r *run, now time.Time) {
	if r.incarnation == 0 || r.incarnation >= t.Incarnation {
		c.addRun(t, r)
		r.lost = false
		c.resume(r)
		return
	}
	former := newTarget(t.Target)
	former.Incarnation = r.incarnation
	former.addRun(r)
	c.loseRuns(former, TargetRestarted, now)
	c.stopRestarted(t, r)
}

// expireDetachedRuns loses the detached runs whose leases have expired. Their tasks wait
// again.
func (c *Core) expireDetachedRuns(now time.Time) {
	expired := slices.SortedFunc(maps.Keys(c.detachedRuns), compareRuns)
	for _, r := range expired {
		if now.Before(c.detachedRuns[r]) {
			continue
		}
		delete(c.detachedRuns, r)
		if !r.lost { // otherwise the loss was reported when the target was removed
			c.emit(RunLost{Target: r.targetID, Run: r.id, Cause: TargetMoved, Age: now.Sub(r.requestedAt)})
		}
		c.releaseRun(r, EvidenceLease, now)
	}
}

// leaseRemaining returns how long the lease of a run may still be in force. ofTarget
// returns it for the targets that are known here.
func (c *Core) leaseRemaining(r *run, ofTarget func(targetID string) time.Duration, now time.Time) time.Duration {
	if leaseEnd, ok := c.detachedRuns[r]; ok {
		return max(0, leaseEnd.Sub(now))
	}
	return max(0, ofTarget(r.targetID))
}

// ResumeRuns prepares the runs for new sessions with their targets.
func (c *Core) ResumeRuns() []Effect {
	for _, id := range c.targetIDs {
		for _, r := range c.targets[id].sortedRuns() {
			c.resume(r)
		}
	}
	return c.drainEffects()
}

// resume prepares a run for a new session with its target, in which the answers to former
// requests are lost. A run whose start was not answered is expected in the target's reports
// from now on, and a stop is requested again.
func (c *Core) resume(r *run) {
	switch r.state {
	case starting:
		r.state = running
	case stopping:
		c.emit(Stop{Target: r.targetID, Run: r.id, Reason: "the answer to the stop request was lost"})
	}
}
