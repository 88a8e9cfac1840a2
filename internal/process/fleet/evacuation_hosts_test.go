package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/standin/relay"
)

// evacuateMS is evacuate_ms of the users' requirements.
const evacuateMS = 5000

// evacuationFixture is a system of two domains. The host a of the domain north has the
// disk; b is in the domain south.
type evacuationFixture struct {
	*fixture
	startsInSouth atomic.Int64
	lastInSouth   atomic.Int64 // Unix nanoseconds of the last start in south
}

func newEvacuationFixture(t *testing.T, runDuration time.Duration, relayed bool) *evacuationFixture {
	f := &evacuationFixture{fixture: newFixture(t, runDuration)}
	f.relayed, f.evacuateWithin = relayed, evacuateMS*time.Millisecond
	f.targets.onStart = func(target string) {
		if strings.HasPrefix(target, "south") {
			f.startsInSouth.Add(1)
			f.lastInSouth.Store(time.Now().UnixNano())
		}
	}
	a, b := f.start("a", "north"), f.start("b", "south")
	f.activateCatalog("a", "b")
	f.announce(a, "north", 4)
	f.announce(b, "south", 4)
	f.awaitService("b", "south")
	f.awaitService("a", "north")
	return f
}

// awaitService waits until a host's jobs run in a domain.
func (f *evacuationFixture) awaitService(host, domain string) {
	f.t.Helper()
	n := 0
	f.g.Eventually(func() bool {
		before := f.startsInSouth.Load()
		n++
		a := f.nodes[host].Submit(f.t.Context(), job(fmt.Sprintf("%s-%s-%d-%d", host, domain, time.Now().UnixNano(), n), 1))
		return a.Outcome == scheduler.Completed && (f.startsInSouth.Load() > before) == (domain == "south")
	}, testTimeout, "10ms").Should(BeTrue(), "%s is not served in %s", host, domain)
}

func (f *evacuationFixture) isInForce(host, domain string) func() bool {
	return func() bool {
		_, ok := f.nodes[host].Evacuations().Find(domain)
		return ok
	}
}

// A host is cut off from the others while its domain is evacuated, and restarts later.
// From when it is connected again, none of its targets may start a task.
func TestAHostThatWasCutOffDuringTheRequestObeysTheEvacuation(t *testing.T) {
	t.Parallel()
	f := newEvacuationFixture(t, 30*time.Millisecond, true)
	for _, r := range f.relays {
		r.Cut(relay.Both)
	}
	f.g.Expect(f.nodes["a"].StartEvacuation(t.Context(), "south")).To(Succeed())
	f.g.Consistently(f.isInForce("b", "south"), "300ms", "20ms").Should(BeFalse())
	for _, r := range f.relays {
		r.Heal()
	}
	f.g.Eventually(f.isInForce("b", "south"), testTimeout, "10ms").Should(BeTrue())
	f.awaitService("b", "north")
	before := f.startsInSouth.Load()
	for i := range 10 {
		f.nodes["b"].Submit(t.Context(), job(fmt.Sprint("evacuated", i), 2))
	}
	f.g.Expect(f.startsInSouth.Load()).To(Equal(before), "tasks started in the evacuated domain")

	f.nodes["b"].stop()
	f.start("b", "south")
	f.g.Eventually(func() bool { ok, _ := f.nodes["b"].Ready(); return ok }, testTimeout, "1ms").Should(BeTrue())
	f.g.Expect(f.isInForce("b", "south")()).To(BeTrue(), "the restarted host is ready before it knows the evacuation")
	f.announce(f.nodes["b"], "south", 4)
	f.awaitService("b", "north")
	f.g.Expect(f.startsInSouth.Load()).To(Equal(before), "tasks started after the restart")

	f.g.Expect(f.nodes["a"].WithdrawEvacuation(t.Context(), "south")).To(Succeed())
	f.awaitService("b", "south")
}

// Callers of a domain that is evacuated again and again lose no job. The time from the
// acknowledgement to the last start in the domain is printed.
func TestAnEvacuatedDomainDrainsWithoutLosingAJob(t *testing.T) {
	t.Parallel()
	f := newEvacuationFixture(t, 30*time.Millisecond, false)
	ctx, stop := context.WithCancel(t.Context())
	answers := make(chan scheduler.Answer, 10_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			go func() {
				j := job(fmt.Sprint("j", i), 3)
				j.TargetLatency = time.Second
				answers <- f.nodes["b"].Submit(t.Context(), j)
			}()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	var last []time.Duration
	for round := range 8 {
		f.g.Expect(f.nodes["a"].StartEvacuation(t.Context(), "south")).To(Succeed())
		acknowledgedAt := time.Now()
		time.Sleep(400 * time.Millisecond)
		if round == 0 { // long enough to see a start after the bound
			time.Sleep(evacuateMS * time.Millisecond)
		}
		last = append(last, max(0, time.Unix(0, f.lastInSouth.Load()).Sub(acknowledgedAt)))
		f.g.Expect(f.nodes["b"].WithdrawEvacuation(t.Context(), "south")).To(Succeed())
		time.Sleep(200 * time.Millisecond)
	}
	f.awaitService("b", "south")
	stop()
	<-done
	time.Sleep(2 * time.Second) // the objective of the last job
	slices.Sort(last)
	t.Logf("from the acknowledgement to the last start: p50 %v, maximum %v", last[len(last)/2], last[len(last)-1])
	f.g.Expect(last[len(last)-1]).To(BeNumerically("<=", evacuateMS*time.Millisecond))
	outcomes := map[scheduler.Outcome]int{}
	for len(answers) > 0 {
		a := <-answers
		outcomes[a.Outcome]++
		f.g.Expect(a.Outcome).To(BeElementOf(scheduler.Completed, scheduler.Refused), "%+v", a)
	}
	t.Logf("outcomes: %v", outcomes)
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.g.Expect(f.targets.overlapping).To(BeEmpty())
}

// The other domain is full for a moment. A job of the evacuated domain must wait there, by
// the rules of that domain, and not be refused by its own.
func TestAJobOfAnEvacuatedDomainWaitsWhereItMayRun(t *testing.T) {
	t.Parallel()
	f := newEvacuationFixture(t, 500*time.Millisecond, false)
	f.g.Expect(f.nodes["a"].StartEvacuation(t.Context(), "south")).To(Succeed())
	f.g.Eventually(f.isInForce("b", "south"), testTimeout, "10ms").Should(BeTrue())
	full := make(chan scheduler.Answer, 1)
	go func() { full <- f.nodes["a"].Submit(t.Context(), job("full", 16)) }() // all cores of north
	f.g.Eventually(func() int { return f.nodes["b"].FreeTasksOf("north") }, testTimeout, "5ms").Should(BeZero())
	a := f.nodes["b"].Submit(t.Context(), job("waits", 2))
	f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), "%+v", a)
	f.g.Expect((<-full).Outcome).To(Equal(scheduler.Completed))
}

// When no other domain takes work, a job is refused at once and has not run.
func TestAJobIsRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	f := newEvacuationFixture(t, 30*time.Millisecond, false)
	f.g.Expect(f.nodes["a"].StartEvacuation(t.Context(), "south")).To(Succeed())
	f.g.Expect(f.nodes["b"].StartEvacuation(t.Context(), "north")).To(Succeed())
	for _, host := range []string{"a", "b"} {
		for _, domain := range []string{"north", "south"} {
			f.g.Eventually(f.isInForce(host, domain), testTimeout, "10ms").Should(BeTrue())
		}
	}
	a := f.nodes["b"].Submit(t.Context(), job("refused", 2))
	f.g.Expect(a.Outcome).To(Equal(scheduler.Refused))
	f.g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.g.Expect(f.targets.starts).NotTo(HaveKey("refused.0.0"))
}

// A mistyped name must not appear to have succeeded; a withdrawal of what was never
// requested looks like a repeated one.
func TestOnlyKnownDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	f := newEvacuationFixture(t, 30*time.Millisecond, false)
	for _, request := range []func(context.Context, string) error{f.nodes["a"].StartEvacuation, f.nodes["a"].WithdrawEvacuation} {
		f.g.Expect(failure.KindOf(request(t.Context(), "nroth"))).To(Equal(failure.InvalidRequest))
	}
	f.g.Expect(f.nodes["b"].WithdrawEvacuation(t.Context(), "north")).To(Succeed())
	f.g.Expect(f.nodes["b"].Evacuations()).To(BeEmpty())
}
