package slots

import (
	"math/rand/v2"
	"time"
)

// Local holds every slot of every target and learns from refusals only: the
// less used of two random targets by this host's own tasks.
type Local struct {
	pool  pool
	pause time.Duration
}

// NewLocal returns a Local that leaves a target alone for pause after it
// refused a start.
func NewLocal(pause time.Duration) *Local {
	return &Local{pool: newPool(), pause: pause}
}

// SetTargets implements Policy.
func (l *Local) SetTargets(_ time.Time, targets []Target) {
	l.pool.setTargets(targets, func(t Target) int { return t.Slots })
}

// SetPeers implements Policy. Local has no use for peers.
func (l *Local) SetPeers(time.Time, []string) {}

// Acquire implements Policy.
func (l *Local) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return l.pool.acquire(now, rng, usable)
}

// Release implements Policy.
func (l *Local) Release(target string) { l.pool.finish(target) }

// Refused implements Policy.
func (l *Local) ReleaseRefused(now time.Time, target string) { l.pool.refuse(now, target, l.pause) }

// Messages implements Policy. Local sends none.
func (l *Local) DueMessages(time.Time, int) []Send { return nil }

// Report implements Policy.
func (l *Local) Report(time.Time, string, int) Message { return Message{} }

// Capacity implements Policy.
func (l *Local) Capacity(time.Time) int { return l.pool.held }

// Receive implements Policy.
func (l *Local) Receive(time.Time, string, Message) {}
