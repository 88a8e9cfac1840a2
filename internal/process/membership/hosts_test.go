package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
)

const exchangeInterval = 250 * time.Millisecond

// fleet is a simulated set of hosts that send each other requests over links
// that can be cut. Time advances in steps of exchangeInterval.
type fleet struct {
	now      time.Time
	hosts    []*Hosts
	index    map[string]int
	frozen   map[string]bool
	isCut    func(sender, responder HostIdentity) bool
	messages int
	bytes    int
}

func hostIdentities(domains, perDomain int) []HostIdentity {
	var list []HostIdentity
	for d := range domains {
		for i := range perDomain {
			list = append(list, HostIdentity{fmt.Sprintf("d%02d-%d", d, i), fmt.Sprintf("d%02d", d)})
		}
	}
	return list
}

func newFleet(domains, perDomain int) *fleet {
	f := &fleet{
		now:    epoch,
		index:  make(map[string]int),
		frozen: make(map[string]bool),
		isCut:  func(HostIdentity, HostIdentity) bool { return false },
	}
	all := hostIdentities(domains, perDomain)
	for i, self := range all {
		f.index[self.Host] = i
		f.hosts = append(f.hosts, f.start(self, all, uint64(1000+i)))
	}
	return f
}

func (f *fleet) start(self HostIdentity, all []HostIdentity, incarnation uint64) *Hosts {
	var peers []HostIdentity
	for _, p := range all {
		if p != self {
			peers = append(peers, p)
		}
	}
	return NewHosts(HostsConfig{
		Self:             self,
		Incarnation:      incarnation,
		Peers:            peers,
		ExchangeInterval: exchangeInterval,
		ProbeInterval:    4 * exchangeInterval,
		SuspectTimeout:   time.Second,
		SilentTimeout:    30 * time.Second,
	}, rand.New(rand.NewPCG(1, incarnation)))
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(exchangeInterval) {
		for _, sender := range f.hosts {
			if f.frozen[sender.config.Self.Host] {
				continue
			}
			for _, name := range sender.DueHosts(f.now) {
				f.exchange(sender, f.hosts[f.index[name]])
			}
		}
	}
}

func (f *fleet) exchange(sender, responder *Hosts) {
	senderID, responderID := sender.config.Self, responder.config.Self
	if f.frozen[responderID.Host] || f.isCut(senderID, responderID) {
		return
	}
	known := responder.RecordRequest(f.now, senderID.Host, sender.Incarnation())
	reports := responder.IndirectReports(f.now, senderID.Domain)
	sender.RecordResponse(f.now, responderID.Host, responder.Incarnation(), known, reports)
	f.messages += 2
	for _, r := range reports {
		f.bytes += proto.Size(r) + 2
	}
}

// countStates counts the states of host as seen by the other hosts for which
// keep returns true.
func (f *fleet) countStates(host string, keep func(HostIdentity) bool) map[HostState]int {
	counts := make(map[HostState]int)
	for _, viewer := range f.hosts {
		if self := viewer.config.Self; self.Host == host || !keep(self) {
			continue
		}
		for _, v := range viewer.Views(f.now) {
			if v.Host == host {
				counts[v.State]++
			}
		}
	}
	return counts
}

func inDomain(domain string) func(HostIdentity) bool {
	return func(n HostIdentity) bool { return n.Domain == domain }
}

func outsideDomain(domain string) func(HostIdentity) bool {
	return func(n HostIdentity) bool { return n.Domain != domain }
}

func TestFrozenHostIsSuspectThenSilentThenAlive(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 3)
	f.run(20 * time.Second)
	g.Expect(f.countStates("d00-0", outsideDomain(""))).To(Equal(map[HostState]int{HostAlive: 8}))
	f.frozen["d00-0"] = true
	f.run(2 * time.Second)
	g.Expect(f.countStates("d00-0", inDomain("d00"))).To(Equal(map[HostState]int{HostSuspect: 2}))
	f.run(40 * time.Second)
	g.Expect(f.countStates("d00-0", outsideDomain(""))).To(Equal(map[HostState]int{HostSilent: 8}))
	f.frozen["d00-0"] = false
	f.run(time.Second)
	g.Expect(f.countStates("d00-0", inDomain("d00"))).To(Equal(map[HostState]int{HostAlive: 2}))
	f.run(10 * time.Second)
	g.Expect(f.countStates("d00-0", outsideDomain(""))).To(Equal(map[HostState]int{HostAlive: 8}))
}

func TestOneWayPartitionShowsOnlyAtTheHostWithoutResponses(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 3)
	f.isCut = func(sender, responder HostIdentity) bool { return sender.Host == "d00-0" && responder.Host == "d00-1" }
	f.run(40 * time.Second)
	g.Expect(f.countStates("d00-1", outsideDomain(""))).To(Equal(map[HostState]int{HostIndirect: 1, HostAlive: 1}))
	g.Expect(f.countStates("d00-0", outsideDomain(""))).To(Equal(map[HostState]int{HostAlive: 2}))
}

func TestPartitionedDomainIsSilentUntilThePartitionHeals(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(13, 3)
	f.run(30 * time.Second)
	f.isCut = func(a, b HostIdentity) bool { return (a.Domain == "d05") != (b.Domain == "d05") }
	f.run(45 * time.Second)
	for i := range 3 {
		host := fmt.Sprintf("d05-%d", i)
		g.Expect(f.countStates(host, outsideDomain("d05"))).To(Equal(map[HostState]int{HostSilent: 36}))
		g.Expect(f.countStates(host, inDomain("d05"))).To(Equal(map[HostState]int{HostAlive: 2}))
	}
	f.isCut = func(HostIdentity, HostIdentity) bool { return false }
	f.run(20 * time.Second)
	g.Expect(f.countStates("d05-0", outsideDomain("d05"))).To(Equal(map[HostState]int{HostAlive: 36}))
}

func TestHostSilentForADayBecomesAliveAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 3)
	f.frozen["d01-0"] = true
	f.run(10 * time.Second)
	f.now = f.now.Add(24 * time.Hour)
	f.frozen["d01-0"] = false
	f.run(20 * time.Second)
	g.Expect(f.countStates("d01-0", outsideDomain(""))).To(Equal(map[HostState]int{HostAlive: 5}))
}

func TestRestartAfterClockWentBackRaisesTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2)
	f.run(time.Second)
	restarted := f.start(HostIdentity{"d00-0", "d00"}, hostIdentities(1, 2), 500)
	peer := f.hosts[1]
	known := peer.RecordRequest(f.now, "d00-0", restarted.Incarnation())
	raised := restarted.RecordResponse(f.now, "d00-1", peer.Incarnation(), known, nil)
	g.Expect(raised).To(Equal(uint64(1001)))
	g.Expect(peer.RecordRequest(f.now, "d00-0", raised)).To(Equal(raised))
}

func TestIndirectReportOfAnEarlierStartRaisesTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2)
	reports := []*membershippb.HostRumour{{Host: "d00-0", Incarnation: 5000, AgeMs: 1}}
	g.Expect(f.hosts[0].RecordResponse(f.now, "d00-1", 1001, 0, reports)).To(Equal(uint64(5001)))
}

func TestStaleIndirectReportNeverLowersAnIncarnation(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 3)
	f.hosts[0].RecordRequest(f.now, "d00-2", 2000)
	reports := []*membershippb.HostRumour{{Host: "d00-2", Incarnation: 1002, AgeMs: 0}, {Host: "stranger", Incarnation: 1}}
	f.hosts[0].RecordResponse(f.now.Add(time.Minute), "d00-1", 1001, 0, reports)
	view := f.hosts[0].Views(f.now)
	g.Expect(view).To(HaveLen(2))
	g.Expect(view[1].Incarnation).To(Equal(uint64(2000)))
	g.Expect(view[1].HeardAt).To(Equal(f.now), "a report of an older incarnation must be ignored")
}

func TestIncarnationsOfOneMillisecondDiffer(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	g.Expect(NewIncarnation(epoch, random)).NotTo(Equal(NewIncarnation(epoch, random)))
	g.Expect(NewIncarnation(epoch.Add(time.Millisecond), random)).To(BeNumerically(">", NewIncarnation(epoch, random)))
}

// TestMessagesPerHostAreBounded measures the exchange at the intended size of the
// system: 13 domains of 6 hosts.
func TestMessagesPerHostAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(13, 6)
	const seconds = 20
	f.run(seconds * time.Second)
	perHost := float64(f.messages) / float64(len(f.hosts)) / seconds
	bytes := float64(f.bytes) / float64(len(f.hosts)) / seconds
	t.Logf("%.1f messages and %.0f bytes of indirect reports per second and host", perHost, bytes)
	g.Expect(perHost).To(BeNumerically("<=", 42.1)) // 2 x (5 peers x 4 + 1 probe)
	g.Expect(bytes).To(BeNumerically("<=", 2500))
}
