package scheduler

import "time"

// DroppedRunEnded reports that a run is over whose job was dropped while it was in progress.
type DroppedRunEnded struct {
	Target    string
	Run       Run
	Evidence  Evidence
	AwaitedAt time.Time // when the caller of the job was last known to wait for the answer
}

func (DroppedRunEnded) effect() {}

// RecordAwaited records until when the callers of the jobs in progress are known to wait.
// awaitedAt returns when the caller of a waiter was last known to.
func (c *Core) RecordAwaited(awaitedAt func(waiter uint64) time.Time) {
	for _, s := range c.jobs {
		for _, w := range s.waiters {
			if at := awaitedAt(w); at.After(s.awaitedAt) {
				s.awaitedAt = at
			}
		}
	}
}
