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
	start = time.UnixMilli(1_700_000_000_000)
	quote = runtimes.Key{Team: "huts", Kind: "quote"}
)

// observe adds n run times spread evenly from low to 2*low, over one second.
func observe(t *runtimes.Table, from time.Time, n int, low time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	for range n {
		from = from.Add(time.Second / time.Duration(n))
		t.Observe(from, quote, low+time.Duration(rng.Int64N(int64(low))))
	}
	return from
}

func TestDeclaredTimesAreAFirstGuessOnly(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	guess := table.Estimate(start, quote, 8*time.Second)
	g.Expect(guess.Mean).To(Equal(8 * time.Second))
	g.Expect(guess.Learned).To(BeFalse())
	now := observe(table, start, 100, 100*time.Millisecond)
	e := table.Estimate(now, quote, 8*time.Second)
	g.Expect(e.Learned).To(BeTrue())
	g.Expect(e.Mean).To(BeNumerically("~", 150*time.Millisecond, 15*time.Millisecond))
	g.Expect(e.P50).To(BeNumerically("~", 150*time.Millisecond, 50*time.Millisecond))
	g.Expect(e.P99).To(BeNumerically("~", 200*time.Millisecond, 60*time.Millisecond))
}

func TestAnEstimateFollowsAChange(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observe(table, start, 1000, time.Second)
	now = now.Add(3 * time.Minute)
	now = observe(table, now, 200, 50*time.Millisecond)
	g.Expect(table.Estimate(now, quote, 0).P50).To(BeNumerically("<", 150*time.Millisecond))
}

func TestAKindThatIsNotSeenIsForgotten(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observe(table, start, 100, 5*time.Second)
	g.Expect(table.Estimate(now.Add(10*time.Minute), quote, 0).Learned).To(BeFalse())
}

func TestTheNumberOfKeysIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	now := observe(table, start, 100, 100*time.Millisecond)
	for i := range 1000 {
		table.Observe(now, runtimes.Key{Team: "other", Kind: fmt.Sprint(i)}, time.Second)
		table.Observe(now, quote, 100*time.Millisecond)
	}
	g.Expect(table.Len()).To(Equal(10))
	g.Expect(table.Estimate(now, quote, 0).Learned).To(BeTrue())
}

func TestTheLongestRunTimeIsRememberedForAWhile(t *testing.T) {
	g := NewWithT(t)
	table := runtimes.NewTable(10)
	table.Observe(start, quote, 8*time.Second)
	now := observe(table, start, 1000, 100*time.Millisecond)
	g.Expect(table.Estimate(now, quote, 0).Longest).To(BeNumerically(">=", 8*time.Second))
	for range 3 {
		now = observe(table, now.Add(time.Minute), 1000, 100*time.Millisecond)
	}
	g.Expect(table.Estimate(now, quote, 0).Longest).To(BeNumerically("<", time.Second))
}
