package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const leaseDuration = 4 * time.Second

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func newTable(id uint64) *Targets {
	return NewTargets(TargetsConfig{TableID: id, Domain: "north", LeaseDuration: leaseDuration})
}

func announcement(name string, incarnation uint64, leaving bool) wire.Announcement {
	return wire.Announcement{
		Target:      name,
		Incarnation: incarnation,
		Address:     fmt.Sprintf("127.0.0.1:%d", 1000+incarnation),
		Domain:      "north",
		Slots:       8,
		Connections: 64,
		Leaving:     leaving,
	}
}

// request lets sender request a delta from responder. The request is sent at
// sentAt and the response is created at respondedAt.
func request(sender, responder *Targets, peer string, sentAt, respondedAt time.Time) *membershippb.TargetDelta {
	delta := responder.Delta(respondedAt, sender.Cursor(peer))
	sender.Merge(peer, sentAt, delta)
	return delta
}

func names(targets []Target) []string {
	list := []string{}
	for _, t := range targets {
		list = append(list, fmt.Sprintf("%s.%d", t.Target, t.Incarnation))
	}
	return list
}

func TestLeaseExpiresWithoutRenewal(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	g.Expect(table.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	g.Expect(names(table.Alive(at(3.9)))).To(ConsistOf("t1.1"))
	g.Expect(table.Alive(at(4))).To(BeEmpty())
	g.Expect(table.Announce(at(5), announcement("t1", 1, false))).To(Succeed())
	g.Expect(names(table.Alive(at(8.9)))).To(ConsistOf("t1.1"))
}

func TestLeavingHoldsForItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	g.Expect(table.Announce(at(0), announcement("t1", 1, true))).To(Succeed())
	g.Expect(table.Announce(at(1), announcement("t1", 1, false))).To(Succeed())
	g.Expect(table.Alive(at(1))).To(BeEmpty())
	g.Expect(table.Announce(at(2), announcement("t1", 2, false))).To(Succeed())
	g.Expect(names(table.Alive(at(2)))).To(ConsistOf("t1.2"))
}

func TestStaleAnnouncementErrorNamesTheIncarnationToExceed(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	g.Expect(table.Announce(at(0), announcement("t1", 7, false))).To(Succeed())
	err := table.Announce(at(1), announcement("t1", 6, false))
	g.Expect(failure.KindOf(err)).To(Equal(failure.StaleVersion))
	g.Expect(err).To(MatchError(ContainSubstring("greater than 7")))

	duplicate := announcement("t1", 7, false)
	duplicate.Address = "127.0.0.1:9"
	g.Expect(failure.KindOf(table.Announce(at(1), duplicate))).To(Equal(failure.StaleVersion))
}

func TestInvalidAnnouncementNamesTheField(t *testing.T) {
	cases := map[string]func(*wire.Announcement){
		"target":      func(a *wire.Announcement) { a.Target = "" },
		"worker":      func(a *wire.Announcement) { a.Rack = string(make([]byte, 129)) },
		"incarnation": func(a *wire.Announcement) { a.Incarnation = 0 },
		"address":     func(a *wire.Announcement) { a.Address = "localhost:1" },
		"domain":      func(a *wire.Announcement) { a.Domain = "south" },
		"slots":       func(a *wire.Announcement) { a.Slots = 0 },
		"connections": func(a *wire.Announcement) { a.Connections = 5000 },
	}
	for field, invalidate := range cases {
		g := NewWithT(t)
		a := announcement("t1", 1, false)
		invalidate(&a)
		g.Expect(newTable(1).Announce(at(0), a)).To(MatchError(ContainSubstring(field)))
	}
}

// TestResponseReadAfterAFreezeExtendsNoLease covers a host that freezes after it
// sent a request and reads the response when it resumes. The ages in the response
// count from the request, so the response must not look newer.
func TestResponseReadAfterAFreezeExtendsNoLease(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	g.Expect(a.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	delta := a.Delta(at(1), b.Cursor("a"))
	b.Merge("a", at(1), delta) // merged at 60 s, after the freeze
	g.Expect(b.Alive(at(60))).To(BeEmpty())
}

func TestRenewalsAreRelayedByHandle(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	g.Expect(a.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	g.Expect(request(b, a, "a", at(0.1), at(0.1)).GetRecords()).To(HaveLen(1))
	g.Expect(a.Announce(at(2), announcement("t1", 1, false))).To(Succeed())
	delta := request(b, a, "a", at(2.1), at(2.1))
	g.Expect(delta.GetRecords()).To(BeEmpty())
	g.Expect(delta.GetHandles()).To(HaveLen(1))
	g.Expect(b.Alive(at(5.9))).To(HaveLen(1))
	g.Expect(b.Alive(at(6))).To(BeEmpty())
	idle := request(b, a, "a", at(2.2), at(2.2))
	g.Expect(proto.Size(idle)).To(BeNumerically("<=", 4), "bytes of a delta without changes")
}

func TestMergeReturnsOnlyChangedTargets(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	merged := func(now time.Time) []string {
		return names(b.Merge("a", now, a.Delta(now, b.Cursor("a"))))
	}
	g.Expect(a.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	g.Expect(a.Announce(at(0), announcement("t2", 1, false))).To(Succeed())
	g.Expect(merged(at(0.1))).To(ConsistOf("t1.1", "t2.1"))
	g.Expect(merged(at(0.2))).To(BeEmpty())
	g.Expect(a.Announce(at(1), announcement("t2", 1, false))).To(Succeed())
	g.Expect(merged(at(1.1))).To(ConsistOf("t2.1"))
	g.Expect(b.Announce(at(2), announcement("t1", 1, true))).To(Succeed())
	g.Expect(a.Announce(at(2), announcement("t1", 1, false))).To(Succeed())
	g.Expect(merged(at(2))).To(BeEmpty(), "an announcement without leaving must not undo leaving")
}

func TestRestartedPeerSendsItsWholeTable(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	g.Expect(a.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	request(b, a, "a", at(0.1), at(0.1))
	a = newTable(3)
	g.Expect(a.Announce(at(1), announcement("t2", 1, false))).To(Succeed())
	request(b, a, "a", at(1.1), at(1.1))
	g.Expect(names(b.Alive(at(1.1)))).To(ConsistOf("t1.1", "t2.1"))
}

func TestRenewalOfAnExpiredTargetRequestsTheWholeTable(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	g.Expect(a.Announce(at(0), announcement("t1", 1, false))).To(Succeed())
	request(b, a, "a", at(0.1), at(0.1))
	b.Expire(at(100))
	g.Expect(b.All()).To(BeEmpty())
	g.Expect(a.Announce(at(100), announcement("t1", 1, false))).To(Succeed())
	request(b, a, "a", at(100.1), at(100.1))
	request(b, a, "a", at(100.2), at(100.2))
	g.Expect(b.Alive(at(100.2))).To(HaveLen(1))
}

// TestThirdHostRelaysRenewalsAcrossABrokenLink cuts the link between a and b in
// both directions; b must learn of the renewals at a through c in time.
func TestThirdHostRelaysRenewalsAcrossABrokenLink(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newTable(1), newTable(2), newTable(3)
	for s := 0.0; s < 60; s += 1.3 {
		g.Expect(a.Announce(at(s), announcement("t1", 1, false))).To(Succeed())
		request(c, a, "a", at(s+0.25), at(s+0.25))
		request(b, c, "c", at(s+0.5), at(s+0.5))
		g.Expect(b.Alive(at(s+1.3))).To(HaveLen(1), fmt.Sprint(s))
	}
}

// TestRenewalIsRelayedAtMostOncePerLink guards against hosts that relay the same
// renewal to each other endlessly because delayed responses change its age.
func TestRenewalIsRelayedAtMostOncePerLink(t *testing.T) {
	g := NewWithT(t)
	const hosts, rounds, roundsPerRenewal = 6, 200, 5
	tables := make([]*Targets, hosts)
	for i := range tables {
		tables[i] = newTable(uint64(i + 1))
	}
	renewals, relayed := 0, 0
	for round := range rounds {
		now := at(0.25 * float64(round))
		if round%roundsPerRenewal == 0 {
			g.Expect(tables[renewals%hosts].Announce(now, announcement("t1", 1, false))).To(Succeed())
			renewals++
		}
		for i, sender := range tables {
			for j, responder := range tables {
				if i != j {
					delay := time.Duration((37*i+53*j+11*round)%100) * time.Millisecond
					relayed += len(request(sender, responder, fmt.Sprint(j), now, now.Add(delay)).GetHandles())
				}
			}
		}
	}
	g.Expect(relayed).To(BeNumerically("<=", renewals*hosts*(hosts-1)))
}

// TestSizeOfAWholeTableAndItsRenewalsIsBounded bounds the size of the delta for a
// restarted host, with all 154 targets of a domain, and of the delta that renews
// them all on one link.
func TestSizeOfAWholeTableAndItsRenewalsIsBounded(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(1), newTable(2)
	const targets = 154
	announce := func(now time.Time) {
		for i := range targets {
			one := announcement(fmt.Sprintf("target-%03d", i), 1796353429772314521, false)
			one.Address, one.Rack, one.Worker = "10.12.34.56:17000", "rack-12", "worker-123"
			g.Expect(a.Announce(now, one)).To(Succeed())
		}
	}
	announce(at(0))
	fullSize := proto.Size(request(b, a, "a", at(0.1), at(0.1)))
	announce(at(1.3))
	renewalSize := proto.Size(request(b, a, "a", at(1.5), at(1.5)))
	t.Logf("%d bytes in full, %d bytes of renewals", fullSize, renewalSize)
	g.Expect(fullSize).To(BeNumerically("<=", 100*targets))
	g.Expect(renewalSize).To(BeNumerically("<=", 5*targets))
}
