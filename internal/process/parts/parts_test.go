package parts_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/parts"
	"wasabifield.example/wasabifield/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func TestSmallDomainsStayWhole(t *testing.T) {
	g := NewWithT(t)
	g.Expect(parts.GrowShardCount(0, 0)).To(Equal(1))
	g.Expect(parts.GrowShardCount(1, 16)).To(Equal(1), "the domains of 48 targets in three or four")
	g.Expect(parts.GrowShardCount(1, 30)).To(Equal(1))
	g.Expect(parts.GrowShardCount(1, 31)).To(Equal(2))
	g.Expect(parts.GrowShardCount(1, 88)).To(Equal(4), "the domains of 350 targets in four")
	g.Expect(parts.GrowShardCount(4, 10)).To(Equal(4), "it never shrinks")
	g.Expect(parts.GrowShardCount(1, 1_000_000)).To(Equal(parts.MaxShards))
}

// A target stays where it is or goes to a new part, whatever the growth.
func TestGrowthMovesTargetsOnlyToNewParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "target")
		before := 1 << rapid.IntRange(0, 3).Draw(t, "before")
		after := before << rapid.IntRange(0, 2).Draw(t, "doublings")
		was, is := parts.ShardOf(id, before), parts.ShardOf(id, after)
		if is != was && is < before {
			t.Fatalf("of %d parts %d, of %d parts %d", before, was, after, is)
		}
		if is%before != was {
			t.Fatalf("part %d of %d is not within part %d of %d", is, after, was, before)
		}
	})
}

func TestPartsHaveLikeSizes(t *testing.T) {
	g := NewWithT(t)
	sizes := make([]int, 4)
	for i := range 88 {
		sizes[parts.ShardOf(fmt.Sprintf("i-%08x", i*2654435761), 4)]++
	}
	g.Expect(sizes).To(HaveEach(BeNumerically("~", 22, 12)))
}

func TestNamesOfPools(t *testing.T) {
	g := NewWithT(t)
	for name, want := range map[string]parts.Pool{
		"north": {Domain: "north"}, "north#1": {Domain: "north", Shard: 1}, "north#15": {Domain: "north", Shard: 15},
	} {
		p, err := parts.ParsePool(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p).To(Equal(want))
		g.Expect(p.String()).To(Equal(name))
	}
	for _, name := range []string{"north#", "north#x", "north#0", "north#-1", "north#16"} {
		_, err := parts.ParsePool(name)
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// The load that Choose answers: hosts see the pools' room as it was a greeting
// ago, and send many jobs until they see it again. None of the pools may be
// flooded while others have room.
func TestJobsSpreadOverPoolsThoughTheLoadsAreOld(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	const pools, room, round, done = 4, 40, 46, 12 // tasks; jobs between two greetings; tasks done by each pool meanwhile
	queued := make([]int, pools)
	longest := 0
	for range 200 {
		loads := make([]parts.Load, pools)
		for i, q := range queued {
			loads[i] = parts.Load{Pool: fmt.Sprint(i), FreeTasks: max(0, room-q), QueuedTasks: max(0, q-room)}
		}
		for range round {
			var to int
			_, _ = fmt.Sscan(parts.ChoosePool(loads, 1, random.IntN), &to)
			queued[to]++
		}
		for i := range queued {
			longest = max(longest, queued[i])
			queued[i] = max(0, queued[i]-done)
		}
	}
	g.Expect(longest).To(BeNumerically("<=", room), "some pool was flooded")
}

func TestChooseTakesTheRoomierOfTwo(t *testing.T) {
	g := NewWithT(t)
	g.Expect(parts.ChoosePool(nil, 1, nil)).To(BeEmpty())
	g.Expect(parts.ChoosePool([]parts.Load{{Pool: "a"}}, 1, nil)).To(Equal("a"))
	zero := func(int) int { return 0 }
	g.Expect(parts.ChoosePool([]parts.Load{{Pool: "a", FreeTasks: 1}, {Pool: "b", FreeTasks: 2}}, 1, zero)).To(Equal("b"))
	g.Expect(parts.ChoosePool([]parts.Load{{Pool: "a", QueuedTasks: 1}, {Pool: "b", QueuedTasks: 2}}, 1, zero)).To(Equal("a"))
}

func TestTheHostsOwnPoolComesFirstWhileItIsRoomy(t *testing.T) {
	g := NewWithT(t)
	second := func(below int) int { return below - 1 }
	loads := []parts.Load{{Pool: "own", FreeTasks: 16, HeldHere: true}, {Pool: "far", FreeTasks: 40}, {Pool: "near", FreeTasks: 30}}
	g.Expect(parts.ChoosePool(loads, 4, second)).To(Equal("own"))
	g.Expect(parts.ChoosePool(loads, 5, second)).To(Equal("far"))
	loads[0].QueuedTasks = 1
	g.Expect(parts.ChoosePool(loads, 4, second)).To(Equal("far"))
}
