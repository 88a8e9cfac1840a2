package slots

import (
	"math/rand/v2"
	"time"
)

// LocalPolicy holds every slot of every target and learns of the use by other hosts only
// from refusals. It chooses the less used of two random targets, by this host's own tasks.
type LocalPolicy struct {
	pool         pool
	refusalPause time.Duration
}

// NewLocalPolicy returns a LocalPolicy that starts nothing on a target for refusalPause
// after the target refused a start.
func NewLocalPolicy(refusalPause time.Duration) *LocalPolicy {
	return &LocalPolicy{pool: newPool(), refusalPause: refusalPause}
}

// SetTargets implements Policy.
func (l *LocalPolicy) SetTargets(_ time.Time, targets []Target) {
	l.pool.setTargets(targets, func(t Target) int { return t.Slots })
}

// SetPeers implements Policy. LocalPolicy does not use the peers.
func (l *LocalPolicy) SetPeers(time.Time, []string) {}

// Acquire implements Policy.
func (l *LocalPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return l.pool.acquire(now, rng, usable)
}

// Release implements Policy.
func (l *LocalPolicy) Release(target string) { l.pool.releaseFinished(target) }

// ReleaseRefused implements Policy.
func (l *LocalPolicy) ReleaseRefused(now time.Time, target string) {
	l.pool.releaseRefused(now, target, l.refusalPause)
}

// DueMessages implements Policy. LocalPolicy sends no messages.
func (l *LocalPolicy) DueMessages(time.Time, int) []OutgoingMessage { return nil }

// Report implements Policy.
func (l *LocalPolicy) Report(time.Time, string, int) Message { return Message{} }

// Capacity implements Policy.
func (l *LocalPolicy) Capacity(time.Time) int { return l.pool.heldSlots }

// Receive implements Policy.
func (l *LocalPolicy) Receive(time.Time, string, Message) {}
