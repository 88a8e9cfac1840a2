package fleet

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
)

// hellosPerSecond returns how many hello messages an entry host that holds no pool
// sends after its start phase in a system of 4 domains with one pool each and 8 disks.
func hellosPerSecond(t *testing.T, entryHosts int) float64 {
	t.Helper()
	n, hosts := newSizedTestNode(t, entryHosts)
	sum := 0.0
	for _, h := range hosts {
		sum += 1 / n.helloInterval(h.Address).Seconds()
	}
	return sum
}

// newLargeTestNode returns an entry host of the domain d0 that holds no pool, in a system
// of 80 entry hosts.
func newLargeTestNode(t *testing.T) (*Node, time.Time) {
	t.Helper()
	n, _ := newSizedTestNode(t, 80)
	return n, time.Now()
}

// newSizedTestNode returns an entry host that holds no pool, after its start phase, in a
// system of 4 domains with one pool each and 8 disks, and the other hosts.
func newSizedTestNode(t *testing.T, entryHosts int) (*Node, []discovery.Host) {
	t.Helper()
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "d0", Entry: true}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	n.startedAt = now.Add(-startPhase)
	var hosts []discovery.Host
	for i := range entryHosts {
		hosts = append(hosts, discovery.Host{Address: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%4), Entry: true})
	}
	for i := range 8 {
		hosts = append(hosts, discovery.Host{Address: fmt.Sprint("c", i), HasDisk: true})
	}
	for i, h := range hosts {
		n.hostTable.Record(h, 0, now)
		if i < 4 {
			n.recordClaim(&fleetpb.Claim{Pool: h.Domain, Holder: h.Address, FencingToken: 1})
		}
	}
	return n, hosts
}

// The number of hello messages in the system must not grow with the square of the
// number of hosts: apart from rare messages, each host sends about as many whatever
// the number of hosts.
func TestHelloRateOfAHostGrowsSlowlyWithTheNumberOfHosts(t *testing.T) {
	g := NewWithT(t)
	small, large := hellosPerSecond(t, 20), hellosPerSecond(t, 80)
	t.Logf("hello messages a second: %.1f with 20 entry hosts, %.1f with 80", small, large)
	g.Expect(large).To(BeNumerically("<", 2*small))
	g.Expect(hellosPerSecond(t, 8)).To(BeNumerically("<=", 8/helloEntryInterval.Seconds()+8))
}

// All hello messages report a new catalog at once. It must be fetched from one host at
// a time, or the fetches fill the link.
func TestOneCatalogIsFetchedAtATime(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	n, err := New(Config{Self: discovery.Host{Address: "self"}, Log: slog.New(slog.NewTextHandler(&lines, nil)), Metrics: metrics.NewMetrics(nil)})
	g.Expect(err).NotTo(HaveOccurred())
	n.catalogFetchMu.Lock()
	n.fetchCatalog(t.Context(), "other", 5)
	g.Expect(lines.String()).To(BeEmpty(), "a second fetch was attempted")
	n.catalogFetchMu.Unlock()
	n.fetchCatalog(t.Context(), "other", 5)
	g.Expect(lines.String()).To(ContainSubstring("was not fetched"))
}

// helloOfLargeSystem returns the hello message, to a host that knows other hosts than
// the sender, of a sender in a system of 6 domains with a number of entry hosts and a
// host with a disk in each.
func helloOfLargeSystem(t *testing.T, sender discovery.Host, to *fleetpb.Host, entryHosts int) *fleetpb.Greeting {
	t.Helper()
	n, err := New(Config{Self: sender, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil)})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for i := range entryHosts {
		n.hostTable.Record(discovery.Host{Address: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%6), Entry: true}, 0, now)
	}
	for i := range 6 {
		n.hostTable.Record(discovery.Host{Address: fmt.Sprint("c", i), Domain: fmt.Sprint("d", i), HasDisk: true}, 0, now)
	}
	return n.helloMessage(to, 1)
}

// When many hosts start at once, their digests differ for a while. The lists that a
// pair of entry hosts exchange then must not grow with the size of the whole system.
func TestListsBetweenEntryHostsOfALargeSystemAreShort(t *testing.T) {
	g := NewWithT(t)
	entry := discovery.Host{Address: "self", Domain: "d0", Entry: true}
	disk := discovery.Host{Address: "self", Domain: "d0", HasDisk: true}
	far, near, toDisk := &fleetpb.Host{Domain: "d1", Entry: true}, &fleetpb.Host{Domain: "d0", Entry: true}, &fleetpb.Host{Domain: "d1", Disk: true}
	g.Expect(helloOfLargeSystem(t, entry, far, 144).GetHosts()).To(HaveLen(6))
	g.Expect(helloOfLargeSystem(t, entry, near, 144).GetHosts()).To(HaveLen(6 + 24))
	for _, complete := range []*fleetpb.Greeting{
		helloOfLargeSystem(t, disk, far, 144), helloOfLargeSystem(t, entry, toDisk, 144), // through hosts with a disk
	} {
		g.Expect(complete.GetHosts()).To(HaveLen(150))
	}
	g.Expect(helloOfLargeSystem(t, entry, far, 12).GetHosts()).To(HaveLen(18), "a small system")
}
