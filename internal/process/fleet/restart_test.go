package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
)

// diskHost is a host with a disk that lists the entry hosts of another domain.
var diskHost = &fleetpb.Host{Address: "127.0.0.1:3", Domain: "south", Disk: true, Incarnation: 1}

// A holder is killed and restarts. A hello message of its former process is processed
// after the first one of the new process. The claim in it must not come back: as the
// holder is alive and does not know of its claim, nobody would ever hold the pool.
func TestTheClaimOfAFormerProcessDoesNotComeBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newTestPool(t, "127.0.0.1:1").node
	former := &fleetpb.Greeting{
		From:   &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 5},
		Claims: []*fleetpb.Claim{{Pool: "north", Holder: "127.0.0.1:2", FencingToken: 9}},
	}
	restarted := &fleetpb.Greeting{From: &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 6}}
	n.receiveHello(former)
	g.Expect(n.claims).To(HaveKey("north"))
	n.receiveHello(restarted)
	g.Expect(n.claims).NotTo(HaveKey("north"))
	n.receiveHello(former)
	g.Expect(n.claims).NotTo(HaveKey("north"), "the claim of the former process came back")
}

// A host that starts learns from a list that another host of its domain is alive. It must
// not claim the domain's pool before it has heard from that host, which may hold it, even
// if that takes longer than it usually listens.
func TestAStartedHostHearsFromTheHostsOfItsDomainBeforeItClaims(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	n := p.node
	holder := &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 1}
	n.receiveHello(&fleetpb.Greeting{From: diskHost, Hosts: []*fleetpb.Host{holder}})
	p.decideClaim(n.startedAt) // contact with another host starts the time to listen
	listened := n.startedAt.Add(2 * claimListenTime)
	p.decideClaim(listened)
	g.Expect(p.heldHere.Load()).To(BeFalse(), "claimed without hearing from a host of the domain")
	n.receiveHello(&fleetpb.Greeting{From: holder})
	p.decideClaim(listened.Add(time.Millisecond))
	g.Expect(p.heldHere.Load()).To(BeTrue())
}

// A leaving host has handed its pool over to a host of another domain. A host of its domain
// that starts meanwhile receives messages from the leaving one first.
func TestALeavingHostTellsWhoHoldsItsPoolNow(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, now := newHeldTestPool(t)
	former.node.pools[former.name] = former
	former.node.leaving.Store(true)
	successor := &fleetpb.Claim{Pool: former.name, Holder: "127.0.0.1:3", FencingToken: 9}
	handedOverEvent{to: successor.GetHolder(), claim: successor, outcome: handoverAccepted, done: make(chan struct{})}.apply(former, now)
	hello := former.node.helloMessage(nil, 0)
	g.Expect(hello.GetClaims()).To(HaveLen(1))

	p := newTestPool(t, "127.0.0.1:2")
	p.node.receiveHello(&fleetpb.Greeting{From: diskHost})
	p.decideClaim(p.node.startedAt)
	p.node.receiveHello(hello)
	p.decideClaim(p.node.startedAt.Add(2 * claimListenTime))
	g.Expect(p.heldHere.Load()).To(BeFalse(), "took the pool from its new holder")
	g.Expect(p.node.claims[former.name].claim.Holder).To(Equal(successor.GetHolder()))

	itself := newTestPool(t, successor.GetHolder()).node
	itself.receiveHello(hello)
	g.Expect(itself.claims).To(BeEmpty(), "the successor took its own claim for another host's")
}

// A host that has started a little later than another one did not wait for its hello
// message, and took the pools that the other one had claimed in between.
func TestAStartedHostHearsFromAHostThatStartedShortlyBefore(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	n := p.node
	holder := &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: n.config.Self.Incarnation - 1500}
	n.receiveHello(&fleetpb.Greeting{From: diskHost, Hosts: []*fleetpb.Host{holder}})
	p.decideClaim(n.startedAt)
	p.decideClaim(n.startedAt.Add(2 * claimListenTime))
	g.Expect(p.heldHere.Load()).To(BeFalse(), "claimed a pool that the other host may hold")
}

// The hello message of a holder ends the wait of a started host for it. The host claimed the
// pool if it looked before its pool had processed the claim in that message.
func TestAStartedHostKnowsTheClaimAsSoonAsItHasHeardFromItsHolder(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	n := p.node
	holder := &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 1}
	n.receiveHello(&fleetpb.Greeting{From: diskHost, Hosts: []*fleetpb.Host{holder}})
	p.decideClaim(n.startedAt)
	n.receiveHello(&fleetpb.Greeting{From: holder, Claims: []*fleetpb.Claim{{Pool: "north", Holder: holder.GetAddress(), FencingToken: 9}}})
	p.decideClaim(n.startedAt.Add(2 * claimListenTime))
	g.Expect(p.heldHere.Load()).To(BeFalse(), "took the pool from its holder")
}

// The holder of a pool is leaving while another host of its domain starts, and does not
// know that host yet. It hands the pool over to another domain, and the started host, which
// had not heard from either, took the pool from there with its jobs.
func TestAStartedHostHearsFromALeavingHostBeforeItClaims(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	n := p.node
	leaving := &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 1, Leaving: true}
	n.receiveHello(&fleetpb.Greeting{From: diskHost, Hosts: []*fleetpb.Host{leaving}})
	p.decideClaim(n.startedAt)
	listened := n.startedAt.Add(2 * claimListenTime)
	p.decideClaim(listened)
	g.Expect(p.heldHere.Load()).To(BeFalse(), "claimed a pool that the leaving host may be handing over")
	n.receiveHello(&fleetpb.Greeting{From: leaving})
	p.decideClaim(listened.Add(time.Millisecond))
	g.Expect(p.heldHere.Load()).To(BeTrue())
}

// After a loss of power, the hosts of a domain start together. None holds a pool, so none
// waits for another that is slow to say hello.
func TestHostsThatStartTogetherDoNotWaitForEachOther(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	n := p.node
	other := &fleetpb.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: n.config.Self.Incarnation - 500}
	n.receiveHello(&fleetpb.Greeting{From: diskHost, Hosts: []*fleetpb.Host{other}})
	p.decideClaim(n.startedAt)
	p.decideClaim(n.startedAt.Add(2 * claimListenTime))
	g.Expect(p.heldHere.Load()).To(BeTrue())
}
