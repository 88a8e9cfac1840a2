package fleet

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

const (
	// evacuationGraceDivisor is the part of Config.EvacuateWithin for which tasks of
	// started jobs may still start after a host has received an evacuation: the rest is
	// left for the value to reach all hosts.
	evacuationGraceDivisor = 3
	// evacuationHelloSettle is the time after which holders of other domains have
	// answered a hello message that was sent when the evacuation was received.
	evacuationHelloSettle = 2 * helloTimeout
)

// evacuations holds the evacuations in force at this host: those of the newest value of
// the register that it has received.
type evacuations struct {
	log   *slog.Logger
	scope tally.Scope

	mu          sync.Mutex
	received    bool // a value has been received since the start
	set         evacuation.Set
	receivedAt  map[string]time.Time // when this host received each evacuation in force, by domain
	everInForce map[string]bool      // domains that have been evacuated since the start
	changed     chan struct{}        // closed and replaced when the set has changed
}

func newEvacuations(log *slog.Logger, m *metrics.Metrics) *evacuations {
	return &evacuations{log: log, scope: m.Scope(), receivedAt: map[string]time.Time{}, everInForce: map[string]bool{}, changed: make(chan struct{})}
}

// apply puts the set of a newly received value in force.
func (e *evacuations) apply(set evacuation.Set, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = true
	changed := false
	for _, each := range set {
		if _, ok := e.receivedAt[each.Domain]; !ok {
			e.receivedAt[each.Domain], e.everInForce[each.Domain], changed = now, true, true
			e.log.Warn("An evacuation is in force.", "domain", each.Domain, "since", each.Since)
			e.count("in_force", each.Domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(e.receivedAt)) {
		if _, ok := set.Find(domain); !ok {
			changed = true
			e.log.Warn("An evacuation is withdrawn.", "domain", domain, "was_in_force", now.Sub(e.receivedAt[domain]))
			e.count("withdrawn", domain)
			delete(e.receivedAt, domain)
		}
	}
	e.set = set
	e.scope.Gauge("evacuations").Update(float64(len(set)))
	if changed {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// count counts an event of an evacuation: acknowledged_start, acknowledged_withdraw,
// refused, in_force, withdrawn or withheld.
func (e *evacuations) count(event, domain string) {
	e.scope.Tagged(map[string]string{"event": event, "evacuated": domain}).Counter("evacuation_events").Inc(1)
}

// find returns whether a domain is evacuated and when this host received the evacuation.
func (e *evacuations) find(domain string) (receivedAt time.Time, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	receivedAt, evacuated = e.receivedAt[domain]
	return receivedAt, evacuated
}

// wasInForce reports whether a domain has been evacuated since the start of this host.
func (e *evacuations) wasInForce(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.everInForce[domain]
}

// current returns the set in force and whether a value has been received.
func (e *evacuations) current() (evacuation.Set, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set, e.received
}

// change returns the channel that is closed when the set changes.
func (e *evacuations) change() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Evacuations returns the evacuations in force at this host.
func (n *Node) Evacuations() evacuation.Set {
	set, _ := n.evacuations.current()
	return set
}

// StartEvacuation requests that the targets of a domain get no more work. It returns nil
// once the request is stored by a quorum. The error is InvalidRequest for an unknown
// domain; after any other error the request may be sent again.
func (n *Node) StartEvacuation(ctx context.Context, domain string) error {
	now := time.Now().UTC().Truncate(time.Millisecond)
	return n.requestEvacuation(ctx, "start", domain, func(s evacuation.Set) evacuation.Set { return s.Start(domain, now) })
}

// WithdrawEvacuation withdraws a request of StartEvacuation. A domain that is not
// evacuated stays so. The errors are those of StartEvacuation.
func (n *Node) WithdrawEvacuation(ctx context.Context, domain string) error {
	return n.requestEvacuation(ctx, "withdraw", domain, func(s evacuation.Set) evacuation.Set { return s.Withdraw(domain) })
}

func (n *Node) requestEvacuation(ctx context.Context, request, domain string, change func(evacuation.Set) evacuation.Set) error {
	requestedAt := n.now()
	if !n.knownDomains()[domain] && !n.evacuations.wasInForce(domain) {
		n.evacuations.count("refused", "unknown")
		return failure.Invalid("domain", "is not known: neither the settings name it nor has a target or host announced it")
	}
	if n.pauses.justResumed(requestedAt) {
		n.evacuations.count("refused", domain)
		return failure.New(failure.NoQuorum, "this host was suspended and cannot tell whether the operator still waits; nothing was changed")
	}
	stored, err := changeEvacuations(ctx, n.controller, change)
	if err != nil {
		n.evacuations.count("refused", domain)
		n.log.Warn("An evacuation request was not acknowledged.", "request", request, "domain", domain, "took", n.since(requestedAt), "error", err)
		return err
	}
	n.evacuations.count("acknowledged_"+request, domain)
	n.log.Info("An evacuation request is acknowledged.", "request", request, "domain", domain, "took", n.since(requestedAt),
		"catalog", stored.Version, "evacuations", len(stored.Evacuations))
	if request == "start" && n.evacuatesAllDomains(stored.Evacuations) {
		n.log.Warn("All known domains are evacuated; no target gets work.", "domain", domain)
	}
	return nil
}

// changeEvacuations changes the replicated evacuations and returns the resulting value.
// The operator sends a request again to another host once this one has not answered in
// time, and may then send the opposite request there. The register does not carry out a
// change whose context has ended, so a delayed request cannot undo a later one.
func changeEvacuations(ctx context.Context, c *controller.Controller, change func(evacuation.Set) evacuation.Set) (catalog.Stored, error) {
	content, err := c.ChangeUrgently(ctx, func(current []byte) ([]byte, error) {
		return catalog.ChangeEvacuations(current, change)
	})
	if err != nil {
		return catalog.Stored{}, err
	}
	stored, err := catalog.DecodeStored(content)
	if err != nil {
		return stored, failure.Wrap(failure.Internal, "fleet", err)
	}
	return stored, nil
}

// knownDomains returns the domains that the settings name or that a host or target has
// announced.
func (n *Node) knownDomains() map[string]bool {
	out := map[string]bool{n.config.Self.Domain: true}
	for _, d := range n.config.Domains {
		out[d] = true
	}
	now := n.now()
	for _, a := range n.announcements.recent(now) {
		out[a.Target.Domain] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hostTable.All(now) {
		out[h.Domain] = true
	}
	delete(out, "")
	return out
}

func (n *Node) evacuatesAllDomains(set evacuation.Set) bool {
	for domain := range n.knownDomains() {
		if _, ok := set.Find(domain); !ok {
			return false
		}
	}
	return true
}

// isEvacuated reports whether a domain is evacuated, as far as this host knows.
func (n *Node) isEvacuated(domain string) bool {
	_, ok := n.evacuations.find(domain)
	return ok
}

// awaitsEvacuations reports whether this host must not start tasks yet because it has
// received no value since its start, so it does not know which domains are evacuated. It
// is false in a deployment without evacuations.
func (n *Node) awaitsEvacuations() bool {
	_, received := n.evacuations.current()
	return n.config.EvacuateWithin > 0 && !received
}

// applyEvacuations puts the evacuations of a received value in force in the pools.
func (n *Node) applyEvacuations(set evacuation.Set) {
	n.evacuations.apply(set, n.now())
	for _, p := range n.listPools() {
		p.post(evacuationsEvent{})
	}
}

// evacuationsEvent reports that the evacuations in force may have changed.
type evacuationsEvent struct{}

func (evacuationsEvent) apply(p *pool, now time.Time) { p.followEvacuations(now) }

// followEvacuations informs the scheduler whether the pool's domain is evacuated. While the
// jobs are handed over, the other host decides on them.
func (p *pool) followEvacuations(now time.Time) {
	receivedAt, evacuated := p.node.evacuations.find(p.id.Domain)
	if !p.heldHere.Load() || p.handingOver || evacuated == p.core.Evacuated() {
		return
	}
	if !evacuated {
		receivedAt = now
	}
	p.core.SetPoolCapacities(p.node.freeCapacityExcept(p.id))
	p.applyEffects(p.core.SetEvacuated(evacuated, receivedAt), now)
}

// logWithheld logs and counts that a job is not started because of an evacuation.
func (p *pool) logWithheld(e scheduler.Withheld, now time.Time) {
	receivedAt, _ := p.node.evacuations.find(p.id.Domain)
	p.node.evacuations.count("withheld", p.id.Domain)
	p.log.Info("A start is withheld for an evacuation.", "job", e.Job, "pool", p.name, "started", e.Started,
		"outcome", e.Answer.Outcome.String(), "pools", e.Answer.Pools, "in_force", now.Sub(receivedAt))
}

// submitEvacuated runs a job of this host's evacuated domain in a pool of another domain,
// by the usual rules of that pool: it starts, waits, goes on to a pool that the holder
// names, or is refused.
func (n *Node) submitEvacuated(ctx context.Context, j scheduler.Job) scheduler.Answer {
	pool, ok := n.chooseForEvacuated(j)
	if !ok {
		return refusalAnswer(failure.New(failure.NotReady, "the domain is evacuated and no pool of another domain has a known holder"))
	}
	n.log.Info("A job is sent to another domain.", "job", j.ID, "pool", pool, "reason", "the domain is evacuated", "age", n.since(j.ArrivedAt))
	a := n.submitToPool(ctx, pool, j)
	switch {
	case a.Outcome == scheduler.Refused && a.Kind == failure.NotReady:
		return n.submitToOtherDomain(ctx, j, a)
	case a.Outcome != scheduler.Spill:
		return a
	}
	j.Spilled = true
	if a, done := n.tryPools(ctx, j, a); done {
		return a
	}
	j.Returned = true
	return n.submitToPool(ctx, pool, j)
}

// chooseForEvacuated returns the pool of another domain for a job: one with enough free
// capacity or, if none has, the one that can queue or refuse it.
func (n *Node) chooseForEvacuated(j scheduler.Job) (string, bool) {
	loads := n.loadsOfOtherDomains()
	if !shards.AllSilent(loads) {
		loads = shards.Responsive(loads)
	}
	if pool, ok := shards.ChooseFreePool(loads, j.TaskCount(), rand.IntN); ok {
		return pool, true
	}
	pool := shards.ChoosePool(loads, j.TaskCount(), rand.IntN)
	return pool, pool != ""
}

// watchesHolder reports whether this host sends frequent hello messages to another one
// because its own domain is evacuated and the other holds a pool of another domain: loads
// that are seconds old would overload one pool. The caller holds the lock.
func (n *Node) watchesHolder(address string) bool {
	_, evacuated := n.evacuations.find(n.config.Self.Domain)
	return evacuated && n.config.Self.Entry && n.holdsAnyPool(address)
}

// hearsFromWatched reports whether watchesHolder has held for long enough that the other
// host would have been heard from. The caller holds the lock.
func (n *Node) hearsFromWatched(address string) bool {
	receivedAt, _ := n.evacuations.find(n.config.Self.Domain)
	return n.watchesHolder(address) && n.since(receivedAt) > evacuationHelloSettle
}
