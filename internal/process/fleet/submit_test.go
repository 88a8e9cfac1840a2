package fleet

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// A frozen holder counts as alive for 0.9 s, and its connections stay open, so jobs sent
// to it would wait until they are lost. It is known to be silent after two missed hello
// messages.
func TestThePoolOfASilentHolderIsNotResponsive(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	for address, age := range map[string]time.Duration{"frozen": 3 * helloEntryInterval, "busy": helloEntryInterval, "gone": 2 * aliveTimeout} {
		n.hostTable.Record(discovery.Host{Address: address, Domain: "north", Entry: true}, age, now)
	}
	n.shardCounts["north"] = 4
	for shard, holder := range []string{"frozen", "busy", "gone"} {
		pool := shards.Pool{Domain: "north", Shard: shard}.String()
		n.recordClaim(&fleetpb.Claim{Pool: pool, Holder: holder, FencingToken: 1, Parts: 4})
	}
	loads := n.domainLoads("north")
	g.Expect(loads).To(HaveLen(2), "the pool of a host that is not alive: %v", loads)
	responsive := shards.Responsive(loads)
	g.Expect(responsive).To(HaveLen(1))
	g.Expect(responsive[0].Pool).To(Equal("north#1"))
}
