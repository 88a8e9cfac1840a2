package slots

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EqualPolicy holds a fixed and equal share of each target's slots.
type EqualPolicy struct {
	pool         pool
	self         string
	hosts        []string // this host and its peers, sorted
	refusalPause time.Duration
}

// NewEqualPolicy returns an EqualPolicy of the host self that starts nothing on a target
// for refusalPause after the target refused a start.
func NewEqualPolicy(self string, refusalPause time.Duration) *EqualPolicy {
	return &EqualPolicy{pool: newPool(), self: self, hosts: []string{self}, refusalPause: refusalPause}
}

// equalShare returns how many of the n slots of a target belong to self, one of the sorted
// hosts. Which hosts get a slot of the remainder depends on the target's hash, so that no
// host gets one of every target.
func equalShare(target string, n int, self string, hosts []string) int {
	i := slices.Index(hosts, self)
	if i < 0 {
		return 0
	}
	rotation := int(xxhash.Sum64String(target) % uint64(len(hosts)))
	rank := (i + rotation) % len(hosts)
	share := n / len(hosts)
	if rank < n%len(hosts) {
		share++
	}
	return share
}

// SetTargets implements Policy.
func (e *EqualPolicy) SetTargets(_ time.Time, targets []Target) {
	e.pool.setTargets(targets, func(t Target) int { return equalShare(t.Name, t.Slots, e.self, e.hosts) })
}

// SetPeers implements Policy.
func (e *EqualPolicy) SetPeers(_ time.Time, peers []string) {
	e.hosts = append([]string{e.self}, peers...)
	slices.Sort(e.hosts)
	for _, t := range e.pool.sortedTargets() {
		e.pool.setHeldSlots(t, equalShare(t.name, t.slots, e.self, e.hosts))
	}
}

// Acquire implements Policy.
func (e *EqualPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return e.pool.acquire(now, rng, usable)
}

// Release implements Policy.
func (e *EqualPolicy) Release(target string) { e.pool.releaseFinished(target) }

// ReleaseRefused implements Policy.
func (e *EqualPolicy) ReleaseRefused(now time.Time, target string) {
	e.pool.releaseRefused(now, target, e.refusalPause)
}

// DueMessages implements Policy. EqualPolicy sends no messages.
func (e *EqualPolicy) DueMessages(time.Time, int) []OutgoingMessage { return nil }

// Report implements Policy.
func (e *EqualPolicy) Report(time.Time, string, int) Message { return Message{} }

// Capacity implements Policy.
func (e *EqualPolicy) Capacity(time.Time) int { return e.pool.heldSlots }

// Receive implements Policy.
func (e *EqualPolicy) Receive(time.Time, string, Message) {}
