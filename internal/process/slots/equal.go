package slots

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EqualPolicy holds a fixed equal part of each target's slots.
type EqualPolicy struct {
	pool  pool
	self  string
	hosts []string // this host and its peers, sorted
	pause time.Duration
}

// NewEqualPolicy returns an Equal for the host self, which leaves a target alone
// for pause after it refused a start.
func NewEqualPolicy(self string, pause time.Duration) *EqualPolicy {
	return &EqualPolicy{pool: newPool(), self: self, hosts: []string{self}, pause: pause}
}

// equalPart returns the part of n slots of target that falls to self among
// hosts, which are sorted. The remainder goes round by the target's hash, so
// that no host gets it everywhere.
func equalPart(target string, n int, self string, hosts []string) int {
	i := slices.Index(hosts, self)
	if i < 0 {
		return 0
	}
	turn := int(xxhash.Sum64String(target) % uint64(len(hosts)))
	rank := (i + turn) % len(hosts)
	part := n / len(hosts)
	if rank < n%len(hosts) {
		part++
	}
	return part
}

// SetTargets implements Policy.
func (e *EqualPolicy) SetTargets(_ time.Time, targets []Target) {
	e.pool.setTargets(targets, func(t Target) int { return equalPart(t.Name, t.Slots, e.self, e.hosts) })
}

// SetPeers implements Policy.
func (e *EqualPolicy) SetPeers(_ time.Time, peers []string) {
	e.hosts = append([]string{e.self}, peers...)
	slices.Sort(e.hosts)
	for _, t := range e.pool.sorted() {
		e.pool.hold(t, equalPart(t.name, t.slots, e.self, e.hosts))
	}
}

// Acquire implements Policy.
func (e *EqualPolicy) Acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	return e.pool.acquire(now, rng, usable)
}

// Release implements Policy.
func (e *EqualPolicy) Release(target string) { e.pool.finish(target) }

// Refused implements Policy.
func (e *EqualPolicy) ReleaseRefused(now time.Time, target string) {
	e.pool.refuse(now, target, e.pause)
}

// Messages implements Policy. Equal sends none.
func (e *EqualPolicy) DueMessages(time.Time, int) []OutgoingMessage { return nil }

// Report implements Policy.
func (e *EqualPolicy) Report(time.Time, string, int) Message { return Message{} }

// Capacity implements Policy.
func (e *EqualPolicy) Capacity(time.Time) int { return e.pool.held }

// Receive implements Policy.
func (e *EqualPolicy) Receive(time.Time, string, Message) {}
