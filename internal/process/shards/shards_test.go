package shards_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func TestASmallDomainIsNotSplit(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shards.GrowShardCount(0, 0)).To(Equal(1))
	g.Expect(shards.GrowShardCount(1, 16)).To(Equal(1), "a domain of a system with 48 targets in three or four domains")
	g.Expect(shards.GrowShardCount(1, 30)).To(Equal(1))
	g.Expect(shards.GrowShardCount(1, 31)).To(Equal(2))
	g.Expect(shards.GrowShardCount(1, 88)).To(Equal(4), "a domain of a system with 350 targets in four domains")
	g.Expect(shards.GrowShardCount(4, 10)).To(Equal(4), "the number of shards never shrinks")
	g.Expect(shards.GrowShardCount(1, 1_000_000)).To(Equal(shards.MaxShards))
}

// When the number of shards grows, by any number of doublings, a target stays in its shard
// or moves to a new one.
func TestGrowthMovesTargetsOnlyToNewShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "target")
		before := 1 << rapid.IntRange(0, 3).Draw(t, "before")
		after := before << rapid.IntRange(0, 2).Draw(t, "doublings")
		oldShard, newShard := shards.ShardOf(id, before), shards.ShardOf(id, after)
		if newShard != oldShard && newShard < before {
			t.Fatalf("shard of %d: %d, shard of %d: %d", before, oldShard, after, newShard)
		}
		if newShard%before != oldShard {
			t.Fatalf("shard %d of %d is not within shard %d of %d", newShard, after, oldShard, before)
		}
	})
}

func TestShardsHaveSimilarSizes(t *testing.T) {
	g := NewWithT(t)
	sizes := make([]int, 4)
	for i := range 88 {
		sizes[shards.ShardOf(fmt.Sprintf("i-%08x", i*2654435761), 4)]++
	}
	g.Expect(sizes).To(HaveEach(BeNumerically("~", 22, 12)))
}

func TestPoolNamesAreParsed(t *testing.T) {
	g := NewWithT(t)
	for name, want := range map[string]shards.Pool{
		"north": {Domain: "north"}, "north#1": {Domain: "north", Shard: 1}, "north#15": {Domain: "north", Shard: 15},
	} {
		p, err := shards.ParsePool(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p).To(Equal(want))
		g.Expect(p.String()).To(Equal(name))
	}
	for _, name := range []string{"north#", "north#x", "north#0", "north#-1", "north#16"} {
		_, err := shards.ParsePool(name)
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// Hosts see the free capacity of the pools as of the last hello message and send many jobs
// until the next one. No pool may get more tasks than it has slots while others have free
// slots.
func TestJobsSpreadOverPoolsDespiteOldLoads(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	const pools, slotsPerPool, jobsPerRound, endedPerRound = 4, 40, 46, 12 // a round is the time between two hello messages; endedPerRound is the tasks that each pool ends in it
	queued := make([]int, pools)
	mostQueued := 0
	for range 200 {
		loads := make([]shards.Load, pools)
		for i, q := range queued {
			loads[i] = shards.Load{Pool: fmt.Sprint(i), FreeTasks: max(0, slotsPerPool-q), QueuedTasks: max(0, q-slotsPerPool)}
		}
		for range jobsPerRound {
			var chosen int
			_, _ = fmt.Sscan(shards.ChoosePool(loads, 1, random.IntN), &chosen)
			queued[chosen]++
		}
		for i := range queued {
			mostQueued = max(mostQueued, queued[i])
			queued[i] = max(0, queued[i]-endedPerRound)
		}
	}
	g.Expect(mostQueued).To(BeNumerically("<=", slotsPerPool), "a pool got more tasks than it has slots")
}

func TestChoosePoolPrefersMoreFreeCapacity(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shards.ChoosePool(nil, 1, nil)).To(BeEmpty())
	g.Expect(shards.ChoosePool([]shards.Load{{Pool: "a"}}, 1, nil)).To(Equal("a"))
	zero := func(int) int { return 0 }
	g.Expect(shards.ChoosePool([]shards.Load{{Pool: "a", FreeTasks: 1}, {Pool: "b", FreeTasks: 2}}, 1, zero)).To(Equal("b"))
	g.Expect(shards.ChoosePool([]shards.Load{{Pool: "a", QueuedTasks: 1}, {Pool: "b", QueuedTasks: 2}}, 1, zero)).To(Equal("a"))
}

func TestTheHostsOwnPoolIsChosenWhileItHasAmpleCapacity(t *testing.T) {
	g := NewWithT(t)
	second := func(below int) int { return below - 1 }
	loads := []shards.Load{{Pool: "own", FreeTasks: 16, HeldHere: true}, {Pool: "far", FreeTasks: 40}, {Pool: "near", FreeTasks: 30}}
	g.Expect(shards.ChoosePool(loads, 4, second)).To(Equal("own"))
	g.Expect(shards.ChoosePool(loads, 5, second)).To(Equal("far"))
	loads[0].QueuedTasks = 1
	g.Expect(shards.ChoosePool(loads, 4, second)).To(Equal("far"))
}

func TestOnlyAPoolWithEnoughFreeCapacityIsChosenAsFree(t *testing.T) {
	g := NewWithT(t)
	loads := []shards.Load{{Pool: "full", FreeTasks: 9, QueuedTasks: 8}, {Pool: "free", FreeTasks: 8}, {Pool: "small", FreeTasks: 2}}
	pool, ok := shards.ChooseFreePool(loads, 4, func(int) int { return 0 })
	g.Expect(ok).To(BeTrue())
	g.Expect(pool).To(Equal("free"))
	_, ok = shards.ChooseFreePool(loads, 9, func(int) int { return 0 })
	g.Expect(ok).To(BeFalse())
}
