package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// A split is never undone, so a host that has just started must not split the domain
// before it knows the strong hosts. Their restart does not raise the number either, their
// loss does.
func TestTheNumberOfShardsFollowsFromWhatIsSure(t *testing.T) {
	g := NewWithT(t)
	s := newSplitTest(t)
	n := s.node
	n.shardCounts, n.config.Self.CPUMilli, n.config.Self.Domain = map[string]int{}, 144, "south" // it adopts the pool
	hear := func(address string, cpuMilli int) {
		n.hostTable.Record(discovery.Host{Address: address, Domain: "north", Entry: true, CPUMilli: cpuMilli}, 0, s.now)
	}
	s.now = n.startedAt.Add(hostsSettleTime / 2)
	s.play(targetCountInterval, nil)
	g.Expect(n.shardCount("north")).To(Equal(1), "the host knows no other one yet")
	hear("strong-1", 480)
	hear("strong-2", 480)
	hear("weak", 144)
	n.domainHostsNewAt = s.now
	s.play(hostsSettleTime/2, nil)
	g.Expect(n.shardCount("north")).To(Equal(1), "another host became known just now")
	s.play(hostsSettleTime, nil)
	g.Expect(n.shardCount("north")).To(Equal(2))
	for second := range 20 {
		hear("weak", 144)
		s.play(time.Second, nil)
		if second == 14 {
			g.Expect(n.shardCount("north")).To(Equal(2), "the strong hosts have been silent for 15 s")
		}
	}
	g.Expect(n.shardCount("north")).To(Equal(4), "the strong hosts are lost")
}

func TestCapacityAndBusynessTravelWithTheHost(t *testing.T) {
	g := NewWithT(t)
	h := discovery.Host{Address: "a", Entry: true, Incarnation: 1, CPUMilli: 480, LinkKbps: 62_000, BusyPercent: 31}
	received, _ := hostFrom(hostMessage(h, 0))
	g.Expect(received).To(Equal(h))
	var m busyMeter
	m.cpuMilli = 200
	now, used := time.Unix(1000, 0), time.Hour
	g.Expect(m.record(used, now)).To(BeZero(), "unknown at first")
	for range 10 {
		now, used = now.Add(busySampleInterval), used+50*time.Millisecond
		g.Expect(m.record(used, now)).To(Equal(50))
	}
	for range busySamples {
		now = now.Add(busySampleInterval)
		_ = m.record(used, now)
	}
	g.Expect(m.record(used, now)).To(Equal(1), "known, and idle")
}

// A host took all pools of its domain over and kept them for good: the former holders, whose
// claims it remembered, seemed to hold them.
func TestAFormerHolderOfThisHostsPoolsHoldsNone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	former := discovery.Host{Address: "127.0.0.1:2", Domain: "north", Entry: true, Incarnation: 1}
	p.node.hostTable.Record(former, 0, now)
	p.node.pools[p.name] = p
	claim := &fleetpb.Claim{Pool: p.name, Holder: former.Address, FencingToken: 5}
	p.node.recordClaim(claim)
	g.Expect(p.node.holdsNoPool(former.Address)).To(BeTrue())
	_, others := p.node.hostLoads("north", []shards.Candidate{{Address: former.Address}}, time.Now())
	g.Expect(others[0].Pools).To(BeZero())

	claim.Pool = "north#1"
	p.node.recordClaim(claim)
	g.Expect(p.node.holdsNoPool(former.Address)).To(BeFalse())
	_, others = p.node.hostLoads("north", []shards.Candidate{{Address: former.Address}}, time.Now())
	g.Expect(others[0].Pools).To(Equal(1))
}
