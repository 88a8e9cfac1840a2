package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/health"
)

var start = time.UnixMilli(1_700_000_000_000)

// fleet is a Tracker with n targets and the time.
type fleet struct {
	*health.Tracker
	now   time.Time
	names []string
	rng   *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{Tracker: health.NewTracker(health.DefaultConfig()), now: start, rng: rand.New(rand.NewPCG(3, 3))}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("t%d", i))
	}
	f.SetTargets(f.now, f.names)
	return f
}

// run ends n tasks of a group at random usable targets; fails says which fail.
// It returns the number of tasks that failed.
func (f *fleet) run(n int, group string, fails func(target string) bool) int {
	failed := 0
	for range n {
		f.now = f.now.Add(10 * time.Millisecond)
		target := f.names[f.rng.IntN(len(f.names))]
		if !f.Usable(f.now, target, 0) {
			continue
		}
		bad := fails(target)
		f.Observe(f.now, target, group, bad)
		if bad {
			failed++
		}
	}
	return failed
}

func (f *fleet) in(state health.State) int {
	n := 0
	for _, name := range f.names {
		if f.State(f.now, name) == state {
			n++
		}
	}
	return n
}

func never(string) bool { return false }

func only(names ...string) func(string) bool {
	return func(target string) bool {
		for _, name := range names {
			if name == target {
				return true
			}
		}
		return false
	}
}

func TestATargetThatFailsEverythingIsEjectedSoon(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	spoiled := f.run(400, "quote", only("t3"))
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
	g.Expect(spoiled).To(BeNumerically("<=", 5))
	g.Expect(f.in(health.Healthy)).To(Equal(9))
}

func TestATargetThatFailsSomeIsEjected(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	ejected := false
	f.run(1000, "quote", func(target string) bool {
		ejected = ejected || f.State(f.now, "t3") == health.Ejected
		return target == "t3" && f.rng.IntN(5) < 2
	})
	g.Expect(ejected).To(BeTrue())
}

func TestATaskThatFailsEverywhereEjectsNobody(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	always := func(string) bool { return true }
	f.run(200, "broken", always)
	g.Expect(f.in(health.Healthy)).To(Equal(10))
}

func TestABadTargetIsFoundAmongBrokenTasks(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	for range 200 {
		f.run(1, "broken", func(string) bool { return true })
		f.run(1, "quote", only("t3"))
	}
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
	g.Expect(f.in(health.Healthy)).To(Equal(9))
}

func TestEvidenceIsTakenBack(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	for range 8 { // a broken job lands on one target first
		f.Observe(f.now, "t0", "broken", true)
	}
	g.Expect(f.State(f.now, "t0")).To(Equal(health.Ejected))
	for i := 1; i < 10; i++ {
		f.Observe(f.now, fmt.Sprintf("t%d", i), "broken", true)
	}
	g.Expect(f.in(health.Healthy)).To(Equal(10))
}

func TestNoMoreThanAThirdIsEjected(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 10: 3, 50: 16} {
		g := NewWithT(t)
		f := newFleet(n)
		f.run(100*n, "quote", never)
		most := 0
		f.run(100*n, "quote", func(string) bool {
			most = max(most, n-f.in(health.Healthy))
			return f.rng.IntN(10) < 8
		})
		g.Expect(most).To(BeNumerically("<=", want), "%d targets", n)
	}
}

func TestATargetReturnsThroughTrials(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	f.run(300, "quote", only("t3"))
	g.Expect(f.Usable(f.now, "t3", 0)).To(BeFalse())
	f.now = f.now.Add(5 * time.Second)
	g.Expect(f.Usable(f.now, "t3", 0)).To(BeTrue())
	g.Expect(f.Usable(f.now, "t3", 1)).To(BeFalse())
	for range 3 {
		g.Expect(f.State(f.now, "t3")).To(Equal(health.OnTrial))
		f.Observe(f.now, "t3", "quote", false)
	}
	g.Expect(f.Usable(f.now, "t3", 7)).To(BeTrue())
}

func TestATargetThatStaysBadSpoilsLessAndLess(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	spoiled := f.run(360_000, "quote", only("t3")) // one hour
	g.Expect(spoiled).To(BeNumerically("<=", 24))
}

func TestARestartDoesNotClearATargetsName(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	f.run(200, "quote", never)
	f.run(300, "quote", only("t3"))
	f.SetTargets(f.now, f.names[4:])
	f.SetTargets(f.now, f.names)
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
}
