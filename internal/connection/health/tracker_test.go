package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/health"
)

var startTime = time.UnixMilli(1_700_000_000_000)

// simulation is a Tracker with n targets, a clock and a seeded random source.
type simulation struct {
	*health.Tracker
	now   time.Time
	names []string
	rng   *rand.Rand
}

func newSimulation(n int) *simulation {
	f := &simulation{Tracker: health.NewTracker(health.DefaultConfig()), now: startTime, rng: rand.New(rand.NewPCG(3, 3))}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("t%d", i))
	}
	f.SetTargets(f.now, f.names)
	return f
}

// run ends n tasks of a group at random targets, 10 ms apart; a task whose target is
// not usable is skipped. The function fails says whether a target fails its task. The
// result is the number of failed tasks.
func (f *simulation) run(n int, group string, fails func(target string) bool) int {
	failed := 0
	for range n {
		f.now = f.now.Add(10 * time.Millisecond)
		target := f.names[f.rng.IntN(len(f.names))]
		if !f.Usable(f.now, target, 0) {
			continue
		}
		taskFailed := fails(target)
		f.Observe(f.now, target, group, taskFailed)
		if taskFailed {
			failed++
		}
	}
	return failed
}

func (f *simulation) countInState(state health.State) int {
	n := 0
	for _, name := range f.names {
		if f.State(f.now, name) == state {
			n++
		}
	}
	return n
}

func neverFails(string) bool { return false }

func failsAt(names ...string) func(string) bool {
	return func(target string) bool {
		for _, name := range names {
			if name == target {
				return true
			}
		}
		return false
	}
}

func TestATargetThatFailsEveryTaskIsEjectedAfterAtMostFiveFailures(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	failedTasks := f.run(400, "quote", failsAt("t3"))
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
	g.Expect(failedTasks).To(BeNumerically("<=", 5))
	g.Expect(f.countInState(health.Healthy)).To(Equal(9))
}

func TestATargetThatFailsTwoFifthsOfItsTasksIsEjected(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	ejected := false
	f.run(1000, "quote", func(target string) bool {
		ejected = ejected || f.State(f.now, "t3") == health.Ejected
		return target == "t3" && f.rng.IntN(5) < 2
	})
	g.Expect(ejected).To(BeTrue())
}

func TestATaskThatFailsEverywhereEjectsNoTarget(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	alwaysFails := func(string) bool { return true }
	f.run(200, "broken", alwaysFails)
	g.Expect(f.countInState(health.Healthy)).To(Equal(10))
}

func TestABadTargetIsEjectedWhileOtherTasksFailEverywhere(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	for range 200 {
		f.run(1, "broken", func(string) bool { return true })
		f.run(1, "quote", failsAt("t3"))
	}
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
	g.Expect(f.countInState(health.Healthy)).To(Equal(9))
}

func TestATargetIsReinstatedOnceItsFailedTaskFailsElsewhereToo(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	for range 8 { // one target runs all tasks of a broken job first
		f.Observe(f.now, "t0", "broken", true)
	}
	g.Expect(f.State(f.now, "t0")).To(Equal(health.Ejected))
	for i := 1; i < 10; i++ {
		f.Observe(f.now, fmt.Sprintf("t%d", i), "broken", true)
	}
	g.Expect(f.countInState(health.Healthy)).To(Equal(10))
}

func TestAtMostAThirdOfTheTargetsIsEjected(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 10: 3, 50: 16} {
		g := NewWithT(t)
		f := newSimulation(n)
		f.run(100*n, "quote", neverFails)
		maxUnhealthy := 0
		f.run(100*n, "quote", func(string) bool {
			maxUnhealthy = max(maxUnhealthy, n-f.countInState(health.Healthy))
			return f.rng.IntN(10) < 8
		})
		g.Expect(maxUnhealthy).To(BeNumerically("<=", want), "%d targets", n)
	}
}

func TestAnEjectedTargetReturnsAfterThreeSuccessfulTrials(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	f.run(300, "quote", failsAt("t3"))
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

func TestATargetThatKeepsFailingFailsAtMost24TasksInAnHour(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	failedTasks := f.run(360_000, "quote", failsAt("t3")) // one hour
	g.Expect(failedTasks).To(BeNumerically("<=", 24))
}

func TestARestartedTargetStaysEjected(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(10)
	f.run(200, "quote", neverFails)
	f.run(300, "quote", failsAt("t3"))
	f.SetTargets(f.now, f.names[4:])
	f.SetTargets(f.now, f.names)
	g.Expect(f.State(f.now, "t3")).To(Equal(health.Ejected))
}
