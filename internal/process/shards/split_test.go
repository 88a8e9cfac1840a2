package shards_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/shards"
)

// A target that has been replaced at its address, or is leaving, must not count for the
// size of its domain.
func TestOnlyTargetsThatRemainAreCounted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shards.CountTargets([]shards.CountedTarget{
		{Address: "a", Incarnation: 1}, {Address: "a", Incarnation: 2}, {Address: "b", Incarnation: 1, Leaving: true}, {Address: "c", Incarnation: 1},
	})).To(Equal(2))
	g.Expect(shards.CountTargets([]shards.CountedTarget{
		{Address: "a", Incarnation: 2, Leaving: true}, {Address: "a", Incarnation: 1},
	})).To(Equal(0))
}

// The delay of a split begins again when the domain was small enough in between, and when
// the host has not counted for a while. The number then follows from the lowest count.
func TestASplitWaitsUntilTheCountStaysAboveTheBound(t *testing.T) {
	g := NewWithT(t)
	var timer shards.SplitTimer
	now := time.Unix(1000, 0)
	g.Expect(timer.ShardCount(1, 4, true, now)).To(Equal(4), "a host that has just started")
	play := func(seconds float64, wanted int) int {
		count := 4
		for end := now.Add(time.Duration(seconds * float64(time.Second))); now.Before(end) && count == 4; now = now.Add(250 * time.Millisecond) {
			count = timer.ShardCount(4, wanted, false, now)
		}
		return count
	}
	g.Expect(play(5.75, 8)).To(Equal(4))
	g.Expect(play(0.25, 4)).To(Equal(4))
	g.Expect(play(5.75, 8)).To(Equal(4))
	now = now.Add(2 * time.Second)
	g.Expect(play(5.75, 16)).To(Equal(4))
	g.Expect(play(1, 8)).To(Equal(8))
}
