package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// recordAwaited tells the scheduler until when the callers of the jobs in progress are known to
// wait. After a pause of this host, nothing is known until what had arrived has been read.
func (p *pool) recordAwaited(now time.Time) {
	if p.resumption.startsHeld {
		return
	}
	p.core.RecordAwaited(func(id uint64) time.Time { return p.lastAwaited(p.waiters[id], now) })
	p.callersSeenAt = now
}

// lastAwaited returns when the caller of a job was last known to wait. A caller of this host
// waits unless its connection is closed, which has been read if it was so before the former look.
// Another host waits for its caller if it was heard from; what is read right after a pause may
// have been sent before it.
//
// One that has left meanwhile is known to wait no longer, although that event waits in the ring.
func (p *pool) lastAwaited(w waiter, now time.Time) time.Time {
	select {
	case <-w.gone:
		return time.Time{}
	default:
	}
	at := p.callersSeenAt
	if w.heard != nil {
		at = now.Add(-w.heard.silence(now))
		if pause := p.resumption.pause; at.After(pause.from) && at.Before(pause.to.Add(resumeReadTime)) {
			at = pause.from
		}
	}
	if !w.deadline.IsZero() && at.After(w.deadline) {
		at = w.deadline
	}
	return at
}

// logDroppedRun reports for how long a run went on after its caller had left, and how long after
// that its target's lease was extended.
func (p *pool) logDroppedRun(e scheduler.DroppedRunEnded, now time.Time) {
	age, extended := now.Sub(e.AwaitedAt), time.Duration(0)
	if s, ok := p.sessions[e.Target]; ok {
		extended = max(0, s.lastLease().Sub(e.AwaitedAt))
	}
	p.metrics.recordDroppedRun(e.Evidence, age)
	p.log.Info("A run of a dropped job is over.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target,
		"over_by", e.Evidence.String(), "age", age, "lease_extended_after", extended)
}
