package slots

import (
	"math/rand/v2"
	"time"
)

// LocalPolicy holds every slot of every target and learns from refusals only: the
// less used of two random targets by this host's own tasks.
type LocalPolicy struct {
	pool  pool
	pause time.Duration
}

// NewLocalPolicy returns a Local that leaves a target alone for pause after it
// refused a start.
func NewLocalPolicy(pause time.Duration) *LocalPolicy {
	return &LocalPolicy{pool: newPool(), pause: pause}
}

// SetTargets implements Policy.
func (l *LocalPolicy) SetTargets(_ time.Time, targets []Target) {
	l.pool.setTargets(targets, func(t Target) int { return t.Slots })
}

// SetPeers implements Policy. Local has no use for peers.
func (l *LocalPolicy) SetPeers(time.Time, []string) {}

// Acquire implements Policy.
func (l *LocalPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return l.pool.acquire(now, rng, usable)
}

// Release implements Policy.
func (l *LocalPolicy) Release(target string) { l.pool.finish(target) }

// Refused implements Policy.
func (l *LocalPolicy) ReleaseRefused(now time.Time, target string) {
	l.pool.refuse(now, target, l.pause)
}

// Messages implements Policy. Local sends none.
func (l *LocalPolicy) DueMessages(time.Time, int) []OutgoingMessage { return nil }

// Report implements Policy.
func (l *LocalPolicy) Report(time.Time, string, int) Message { return Message{} }

// Capacity implements Policy.
func (l *LocalPolicy) Capacity(time.Time) int { return l.pool.held }

// Receive implements Policy.
func (l *LocalPolicy) Receive(time.Time, string, Message) {}
