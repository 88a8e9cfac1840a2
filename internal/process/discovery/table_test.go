package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
)

var now = time.Unix(1000, 0)

func host(address string, incarnation uint64) discovery.Host {
	return discovery.Host{Address: address, Entry: true, Incarnation: incarnation}
}

func TestAHostIsAliveWhileItIsHeard(t *testing.T) {
	g := NewWithT(t)
	table := discovery.NewTable("self")
	g.Expect(table.Record(host("b", 1), 0, now)).To(BeTrue())
	g.Expect(table.Record(host("a", 1), time.Second, now)).To(BeTrue())
	g.Expect(table.Record(host("self", 1), 0, now)).To(BeFalse())
	g.Expect(table.Alive(500*time.Millisecond, now)).To(Equal([]discovery.Host{host("b", 1)}))
	g.Expect(table.Alive(time.Second, now)).To(Equal([]discovery.Host{host("a", 1), host("b", 1)}))
}

func TestAnOlderReportOfAHostChangesNothing(t *testing.T) {
	g := NewWithT(t)
	table := discovery.NewTable("self")
	table.Record(host("a", 2), 0, now)
	g.Expect(table.Record(host("a", 1), 0, now.Add(time.Second))).To(BeFalse(), "an earlier incarnation")
	g.Expect(table.Record(host("a", 2), 3*time.Second, now.Add(time.Second))).To(BeFalse(), "heard from earlier")
	_, age, ok := table.Get("a", now.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(age).To(Equal(time.Second))
	g.Expect(table.Record(host("a", 3), 0, now.Add(time.Second))).To(BeTrue(), "it restarted")
}

func TestASilentHostIsForgotten(t *testing.T) {
	g := NewWithT(t)
	table := discovery.NewTable("self")
	table.Record(host("a", 1), 0, now)
	g.Expect(table.All(now.Add(discovery.ForgetAfter + time.Second))).To(BeEmpty())
	g.Expect(table.Record(host("a", 1), discovery.ForgetAfter+time.Second, now)).To(BeFalse())
}

func TestEqualTablesHaveEqualDigests(t *testing.T) {
	g := NewWithT(t)
	a, b := discovery.NewTable("a"), discovery.NewTable("b")
	a.Record(host("b", 1), 0, now)
	b.Record(host("a", 1), time.Second, now)
	g.Expect(a.Digest(host("a", 1))).To(Equal(b.Digest(host("b", 1))))
	b.Record(host("c", 1), 0, now)
	g.Expect(a.Digest(host("a", 1))).NotTo(Equal(b.Digest(host("b", 1))))
}

// A host of a former release passes a host on without its capacity. The capacity must stay
// known, or the order of the candidates for a pool would change.
func TestAListWithoutCapacitiesLeavesThemKnown(t *testing.T) {
	g := NewWithT(t)
	table := discovery.NewTable("self")
	known := host("a", 1)
	known.CPUMilli, known.LinkKbps, known.BusyPercent = 480, 62_000, 30
	table.Record(known, 0, now)
	table.Record(host("a", 1), 0, now.Add(time.Second))
	g.Expect(table.All(now)).To(Equal([]discovery.Host{known}))
	table.Record(host("a", 2), 0, now.Add(2*time.Second))
	g.Expect(table.All(now)).To(Equal([]discovery.Host{host("a", 2)}), "it restarted with other settings")
}
