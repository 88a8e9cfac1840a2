package shards_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/shards"
)

// Each task goes to one pool, and no pool gets more than it reported. A job is split only
// if no pool has capacity for it and at most four cover it.
func TestPlannedPartsCoverTheJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []shards.Load
		free, largest, sum := map[string]int{}, 0, 0
		for i := range rapid.IntRange(0, 8).Draw(t, "pools") {
			l := shards.Load{Pool: shards.Pool{Domain: "d", Shard: i}.String(), FreeTasks: rapid.IntRange(0, 20).Draw(t, "free"), QueuedTasks: rapid.IntRange(0, 3).Draw(t, "queued"), TakesParts: true}
			loads = append(loads, l)
			free[l.Pool] = l.FreeTasks - l.QueuedTasks
			largest = max(largest, free[l.Pool])
			sum += max(0, free[l.Pool])
		}
		tasks := max(1, sum-rapid.IntRange(-1, 10).Draw(t, "left over"))
		plan := shards.PlanParts(loads, tasks)
		if len(plan) == 0 {
			return
		}
		next, used := 0, map[string]bool{}
		for _, p := range plan {
			if p.First != next || p.Count < 1 || p.Count > free[p.Pool] || used[p.Pool] {
				t.Fatalf("%d tasks over %v: %v", tasks, free, plan)
			}
			next, used[p.Pool] = p.First+p.Count, true
		}
		if next != tasks || largest >= tasks || len(plan) > 4 {
			t.Fatalf("%d tasks over %v: %v", tasks, free, plan)
		}
	})
}

func TestAJobIsSplitOverTheFewestPools(t *testing.T) {
	g := NewWithT(t)
	pool := func(name string, free int) shards.Load {
		return shards.Load{Pool: name, FreeTasks: free, TakesParts: true}
	}
	g.Expect(shards.PlanParts([]shards.Load{pool("a", 8), pool("b", 3)}, 8)).To(BeNil(), "one pool has capacity")
	g.Expect(shards.PlanParts([]shards.Load{pool("a", 5), pool("b", 2)}, 8)).To(BeNil(), "too little in all")
	g.Expect(shards.PlanParts([]shards.Load{pool("a", 2), pool("b", 2), pool("c", 2), pool("d", 2), pool("e", 2)}, 10)).To(BeNil(), "more than four")
	g.Expect(shards.PlanParts([]shards.Load{pool("a", 2), pool("b", 6), pool("c", 7)}, 8)).To(Equal([]shards.Part{{Pool: "c", First: 0, Count: 4}, {Pool: "b", First: 4, Count: 4}}))
	former := pool("c", 7)
	former.TakesParts = false // a host of a former release runs the tasks under other indexes
	g.Expect(shards.PlanParts([]shards.Load{pool("a", 2), pool("b", 6), former}, 8)).To(Equal([]shards.Part{{Pool: "b", First: 0, Count: 6}, {Pool: "a", First: 6, Count: 2}}))
}
