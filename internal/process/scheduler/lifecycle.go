package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// UpdateTarget adds a target or updates its description. If clearing is set, runs of
// a former holder may still be there and the target gets no work until SetClearing
// ends that state. Descriptions of a former incarnation are ignored.
func (c *Core) UpdateTarget(t Target, clearing bool, now time.Time) []Effect {
	known, ok := c.targets[t.ID]
	switch {
	case ok && known.Incarnation > t.Incarnation:
		return nil
	case !ok:
		c.targets[t.ID] = newTarget(t)
		c.targetIDs = append(c.targetIDs, t.ID)
		slices.Sort(c.targetIDs)
		c.attachRuns(c.targets[t.ID], now)
	case known.Incarnation < t.Incarnation || known.Address != t.Address:
		c.handleRestart(known, t, now)
	default:
		c.updateDescription(known, t)
	}
	if clearing {
		c.targets[t.ID].clearing = true
	}
	c.placeTasks(now)
	return c.drainEffects()
}

// updateDescription replaces what is known of a target. Its capacity may have shrunk
// below what runs there, which goes on: it gets no work until enough has ended.
func (c *Core) updateDescription(known *target, t Target) {
	if known.Capacity != t.Capacity {
		c.emit(LogEntry{Message: "The capacity of a target changed.", Target: t.ID, Reason: fmt.Sprintf("from %v to %v, %v in use", known.Capacity, t.Capacity, known.used)})
		known.noRoomCount = 0
	}
	known.Target = t
}

// handleRestart replaces a target that restarted under the same id or changed its
// address. The runs of the former incarnation are gone, but a start request in flight
// may have reached the new one. Each run is therefore stopped there before its task
// waits again.
func (c *Core) handleRestart(known *target, t Target, now time.Time) {
	c.emit(LogEntry{Message: "A target restarted.", Target: t.ID, Reason: fmt.Sprintf("%d runs are being stopped there", len(known.runs))})
	restarted := newTarget(t)
	c.targets[t.ID] = restarted
	for _, r := range known.sortedRuns() {
		if r.incarnation == t.Incarnation { // at a new address, or imported from a host that knew of the restart
			known.removeRun(r)
			c.addRun(restarted, r)
			c.resume(r)
		}
	}
	for _, r := range c.loseRuns(known, TargetRestarted, now) {
		c.stopRestarted(restarted, r)
	}
}

// stopRestarted stops a run of a former incarnation of a target that has restarted.
func (c *Core) stopRestarted(t *target, r *run) {
	c.addRun(t, r)
	r.state = starting // an earlier stop request went to the former incarnation
	c.stopRun(r, "the target restarted")
}

// RemoveTarget removes a target that is said to be gone. This does not prove that its runs
// have ended: they are detached until the leases that were sent to it have expired.
func (c *Core) RemoveTarget(id string, cause LossCause, leaseRemaining time.Duration, now time.Time) []Effect {
	t, ok := c.targets[id]
	if !ok {
		return c.drainEffects()
	}
	runs := c.loseRuns(t, cause, now)
	delete(c.targets, id)
	c.targetIDs = slices.DeleteFunc(c.targetIDs, func(other string) bool { return other == id })
	c.emit(LogEntry{Message: "A target was removed.", Target: id, Reason: fmt.Sprintf("%s, %d runs are awaited", cause, len(runs)), Age: max(0, leaseRemaining)})
	for _, r := range runs {
		c.detach(r, now.Add(leaseRemaining))
	}
	c.expireDetachedRuns(now)
	c.placeTasks(now)
	return c.drainEffects()
}

// SetClearing sets whether runs of a former holder may still be on a target. The
// target gets no work until these runs are gone.
func (c *Core) SetClearing(id string, clearing bool, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.clearing != clearing {
		t.clearing = clearing
		if !clearing {
			c.placeTasks(now)
		}
	}
	return c.drainEffects()
}

// MarkUnresponsive records that a target did not answer. The target gets no work
// until it answers or a time has passed that grows with each unanswered request.
func (c *Core) MarkUnresponsive(id string, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.usable(now) {
		t.markUnresponsive(now)
		c.emit(LogEntry{Message: "A target was excluded from placement.", Target: id, Reason: "it does not answer"})
	}
	return c.drainEffects()
}

// MarkResponsive records that a target answered and may get work again.
func (c *Core) MarkResponsive(id string, now time.Time) []Effect {
	if t, ok := c.targets[id]; ok && t.unansweredCount > 0 {
		c.emit(LogEntry{Message: "A target answers again.", Target: id})
		t.markResponsive()
		c.placeTasks(now)
	}
	return c.drainEffects()
}

// ExpireLeasesSentBy records that all leases that had been sent to a target by a time have
// expired before a later one was sent, so the runs requested by then have ended. Their tasks
// wait again.
func (c *Core) ExpireLeasesSentBy(id string, sentAt, now time.Time) []Effect {
	t, ok := c.targets[id]
	if !ok {
		return nil
	}
	runs := slices.DeleteFunc(t.sortedRuns(), func(r *run) bool { return r.requestedAt.After(sentAt) })
	if len(runs) == 0 {
		return nil
	}
	c.recordLostRuns(t, runs, LeasesExpired, now)
	c.releaseRuns(runs, EvidenceLease, now)
	c.emit(LogEntry{Message: "The leases of a target expired.", Target: id})
	c.placeTasks(now)
	return c.drainEffects()
}
