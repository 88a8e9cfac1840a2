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
)

// pauseWatch notices that the process was suspended: its beats are late.
type pauseWatch struct {
	mu        sync.Mutex
	beatAt    time.Time
	resumedAt time.Time // end of the last pause; zero if there was none
}

func newPauseWatch(now time.Time) *pauseWatch { return &pauseWatch{beatAt: now} }

// run records beats until ctx is cancelled.
func (w *pauseWatch) run(ctx context.Context) error {
	w.beat(time.Now())
	ticker := time.NewTicker(pauseBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.beat(time.Now())
		}
	}
}

func (w *pauseWatch) beat(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
}

func (w *pauseWatch) recordBeat(now time.Time) {
	if now.Sub(w.beatAt) > pauseThreshold {
		w.resumedAt = now
	}
	w.beatAt = now
}

// justResumed reports whether the process was suspended until less than resumePhase ago.
func (w *pauseWatch) justResumed(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBeat(now)
	return !w.resumedAt.IsZero() && now.Sub(w.resumedAt) < resumePhase
}
