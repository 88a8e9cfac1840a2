package runtimes_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/runtimes"
)

var (
	epoch    = time.UnixMilli(1_700_000_000_000)
	quoteKey = runtimes.Key{Team: "huts", Kind: "quote"}
)

// observeSpread records n run times drawn uniformly from shortest to 2*shortest over
// one second, and returns the time of the last one.
func observeSpread(t *runtimes.Table, now time.Time, n int, shortest time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	for range n {
		now = now.Add(time.Second / time.Duration(n))
		t.Observe(now, quoteKey, shortest+time.Duration(rng.Int64N(int64(shortest))))
	}
	return now
}

func TestDeclaredTimesAreUsedOnlyUntilRunTimesAreLearned(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	guess := table.Estimate(epoch, quoteKey, 8*time.Second)
	g.Expect(guess.Mean).To(Equal(8 * time.Second))
	g.Expect(guess.Learned).To(BeFalse())
	now := observeSpread(table, epoch, 100, 100*time.Millisecond)
	e := table.Estimate(now, quoteKey, 8*time.Second)
	g.Expect(e.Learned).To(BeTrue())
	g.Expect(e.Mean).To(BeNumerically("~", 150*time.Millisecond, 15*time.Millisecond))
	g.Expect(e.P50).To(BeNumerically("~", 150*time.Millisecond, 50*time.Millisecond))
	g.Expect(e.P99).To(BeNumerically("~", 200*time.Millisecond, 60*time.Millisecond))
}

func TestAnEstimateFollowsAChangeOfRunTimes(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observeSpread(table, epoch, 1000, time.Second)
	now = now.Add(3 * time.Minute)
	now = observeSpread(table, now, 200, 50*time.Millisecond)
	g.Expect(table.Estimate(now, quoteKey, 0).P50).To(BeNumerically("<", 150*time.Millisecond))
}

func TestAnIdleKeyIsForgotten(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observeSpread(table, epoch, 100, 5*time.Second)
	g.Expect(table.Estimate(now.Add(10*time.Minute), quoteKey, 0).Learned).To(BeFalse())
}

func TestTheNumberOfKeysIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observeSpread(table, epoch, 100, 100*time.Millisecond)
	for i := range 1000 {
		table.Observe(now, runtimes.Key{Team: "other", Kind: fmt.Sprint(i)}, time.Second)
		table.Observe(now, quoteKey, 100*time.Millisecond)
	}
	g.Expect(table.Len()).To(Equal(10))
	g.Expect(table.Estimate(now, quoteKey, 0).Learned).To(BeTrue())
}

func TestTheLongestRunTimeIsKeptThenForgotten(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	table.Observe(epoch, quoteKey, 8*time.Second)
	now := observeSpread(table, epoch, 1000, 100*time.Millisecond)
	g.Expect(table.Estimate(now, quoteKey, 0).Longest).To(BeNumerically(">=", 8*time.Second))
	for range 3 {
		now = observeSpread(table, now.Add(time.Minute), 1000, 100*time.Millisecond)
	}
	g.Expect(table.Estimate(now, quoteKey, 0).Longest).To(BeNumerically("<", time.Second))
}
