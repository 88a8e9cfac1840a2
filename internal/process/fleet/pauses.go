package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	pauseBeat = 50 * time.Millisecond // between the beats of a pauseWatch
	// pauseThreshold is the length of a pause that is noticed. An operator waits a second
	// for an answer, so a request that waited through a shorter pause is still awaited.
	pauseThreshold = 800 * time.Millisecond
	// resumePhase is how long after a pause requests may still arrive that were sent
	// before or during it: those that wait in the buffers of this machine.
	resumePhase = 300 * time.Millisecond
	// resumeReadTime is how long after a pause this host has read what had arrived in it.
	resumeReadTime = 100 * time.Millisecond
	// deafGap is the length of a pause in which this host misses hello messages. A shorter
	// one only delays them.
	deafGap = helloEntryInterval
	// maxDeafGaps bounds the pauses that are remembered: those of more than the longest
	// time that a host counts as alive.
	maxDeafGaps = 64
	// suspensionCheckInterval is how often a pauseWatch reads the time in which the machine
	// was suspended although no beat was late: the clock may not show it.
	suspensionCheckInterval = time.Second
)

// pauseWatch notices that the process did not run, as it was frozen or its machine was
// suspended: its beats are late.
type pauseWatch struct {
	readSuspended func() time.Duration // how long the machine was suspended since the start
	noticed       func(pause)          // called for each pause of deafGap or more, and for each suspension

	mu          sync.Mutex
	beatAt      time.Time
	pausedAt    time.Time     // begin of the last pause of pauseThreshold or more
	resumedAt   time.Time     // its end; zero if there was none
	deafGaps    []gap         // pauses of deafGap or more, the oldest first
	suspended   time.Duration // as read last
	suspendedAt time.Time     // when it was read
}

// gap is a time in which the process did not run.
type gap struct{ from, to time.Time }

// pause is what a pauseWatch notices.
type pause struct {
	length    time.Duration // by the clock that counts suspensions
	suspended time.Duration // the part that the monotonic clock did not count
}

func newPauseWatch(now time.Time) *pauseWatch {
	return &pauseWatch{beatAt: now, suspendedAt: now, readSuspended: func() time.Duration { return 0 }, noticed: func(pause) {}}
}

// run records beats until ctx is cancelled.
func (w *pauseWatch) run(ctx context.Context, now func() time.Time) error {
	w.beat(now())
	ticker := time.NewTicker(pauseBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.beat(now())
		}
	}
}

func (w *pauseWatch) beat(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	if now.Sub(w.suspendedAt) > suspensionCheckInterval {
		if suspended := w.readSuspension(now); suspended > deafGap {
			w.noticed(pause{length: suspended, suspended: suspended})
		}
	}
}

func (w *pauseWatch) recordBeat(now time.Time) {
	length := now.Sub(w.beatAt)
	if length > pauseThreshold {
		w.pausedAt, w.resumedAt = w.beatAt, now
	}
	if length > deafGap {
		w.deafGaps = append(w.deafGaps[max(0, len(w.deafGaps)-maxDeafGaps+1):], gap{w.beatAt, now})
		w.noticed(pause{length: length, suspended: w.readSuspension(now)})
	}
	if now.After(w.beatAt) { // a caller may have read the time before another one
		w.beatAt = now
	}
}

// readSuspension returns how long the machine was suspended since this was last read. The
// caller holds the lock.
func (w *pauseWatch) readSuspension(now time.Time) time.Duration {
	total := w.readSuspended()
	since := total - w.suspended
	w.suspended, w.suspendedAt = total, now
	return since
}

// totalSuspended returns how long the machine was suspended since the start, as read last.
func (w *pauseWatch) totalSuspended() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspended
}

// justResumed reports whether the process did not run until less than resumePhase ago.
func (w *pauseWatch) justResumed(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	return !w.resumedAt.IsZero() && now.Sub(w.resumedAt) < resumePhase
}

// earliestArrival returns since when a request that is read now may have waited in the buffers
// of this machine.
func (w *pauseWatch) earliestArrival(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	if w.resumedAt.IsZero() || now.Sub(w.resumedAt) >= resumePhase {
		return now
	}
	return w.pausedAt
}

// resumedWithin reports whether a pause of deafGap or more ended less than d ago.
func (w *pauseWatch) resumedWithin(d time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	last := len(w.deafGaps) - 1
	return last >= 0 && now.Sub(w.deafGaps[last].to) < d
}

// lastGap returns the last pause of deafGap or more, the zero gap if there was none.
func (w *pauseWatch) lastGap(now time.Time) gap {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	if len(w.deafGaps) == 0 {
		return gap{}
	}
	return w.deafGaps[len(w.deafGaps)-1]
}

// listened returns for how long of the last age this host could hear from others. Another
// host that was silent while this one did not run is not lost: on a busy machine, a host
// that had waited for the processor claimed pools whose holders were alive.
func (w *pauseWatch) listened(age time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	since, deaf := now.Add(-age), time.Duration(0)
	for _, g := range w.deafGaps {
		if g.to.After(since) {
			deaf += min(g.to.Sub(g.from), g.to.Sub(since))
		}
	}
	return age - deaf
}
