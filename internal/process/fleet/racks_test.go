package fleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// A job with a data rack must go to a pool that has the rack, or it finds no local place; but
// not to one without free capacity, and without the setting it goes as before.
func TestAJobIsSentToAPoolThatHasItsDataRack(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
		RemoteFactor: 2,
	})
	g.Expect(err).NotTo(HaveOccurred())
	n.shardCounts["north"] = 4
	now := time.Now()
	announce := func(id, domain, rack string, draining bool) {
		n.announcements.record(Announcement{Target: scheduler.Target{ID: id, Domain: domain, Labels: []string{"ssd", rack}, Draining: draining}, ReceivedAt: now})
	}
	pool := func(shard int) string { return shards.Pool{Domain: "north", Shard: shard}.String() }
	for i := range 40 {
		id := fmt.Sprintf("i-%03d", i)
		rack := fmt.Sprintf("rack-%d", shards.ShardOf(id, 4)/2) // rack-0 in the shards 0 and 1, rack-1 in 2 and 3
		announce(id, "north", rack, false)
		if shards.ShardOf("d"+id, 4) == 0 {
			announce("d"+id, "north", "rack-2", true)
		}
		announce("s"+id, "south", "rack-3", false)
	}
	loads := []shards.Load{{Pool: pool(0), FreeTasks: 9, HeldHere: true}, {Pool: pool(1), FreeTasks: 5}, {Pool: pool(2), FreeTasks: 7}, {Pool: pool(3), FreeTasks: 3, QueuedTasks: 1}}
	preferred := func(rack string, tasks int) []string {
		j := scheduler.Job{Steps: []scheduler.Step{{Count: 1}, {Count: tasks - 1, DataRack: rack}}}
		var names []string
		for _, l := range n.preferRack(loads, j, now) {
			names = append(names, l.Pool)
		}
		return names
	}
	all := []string{pool(0), pool(1), pool(2), pool(3)}
	g.Expect(preferred("rack-1", 2)).To(Equal([]string{pool(2), pool(3)}))
	g.Expect(preferred("rack-1", 3)).To(Equal([]string{pool(2)}), "the other has room for two tasks")
	g.Expect(preferred("rack-1", 8)).To(Equal(all), "no pool with the rack has room")
	g.Expect(preferred("rack-2", 2)).To(Equal(all), "its targets drain")
	g.Expect(preferred("rack-3", 2)).To(Equal(all), "the rack of another domain")
	g.Expect(preferred("", 2)).To(Equal(all))

	n.mu.Lock()
	n.raiseShardCount("north", 8)
	n.mu.Unlock()
	g.Expect(n.poolsWithRack("rack-0", now)).NotTo(HaveKey(pool(2)), "shard 2 of 8 has targets of the former shard 2 only")
	g.Expect(n.poolsWithRack("rack-0", now)).To(HaveKey(pool(4)), "the index follows the shards")
	n.config.RemoteFactor = 1
	g.Expect(preferred("rack-1", 2)).To(Equal(all))
}
