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
	sim := &simulation{Tracker: health.NewTracker(health.DefaultConfig()), now: startTime, rng: rand.New(rand.NewPCG(3, 3))}
	for i := range n {
		sim.names = append(sim.names, fmt.Sprintf("t%d", i))
	}
	sim.SetTargets(sim.now, sim.names)
	return sim
}

// run ends n tasks of a group at random targets, 10 ms apart; a task whose target is
// not usable is skipped. The function fails states whether a target fails its task. The
// result is the number of failed tasks.
func (sim *simulation) run(n int, group string, fails func(target string) bool) int {
	failed := 0
	for range n {
		sim.now = sim.now.Add(10 * time.Millisecond)
		target := sim.names[sim.rng.IntN(len(sim.names))]
		if !sim.Usable(sim.now, target, 0) {
			continue
		}
		taskFailed := fails(target)
		sim.Observe(sim.now, target, group, taskFailed)
		if taskFailed {
			failed++
		}
	}
	return failed
}

func (sim *simulation) countInState(state health.State) int {
	n := 0
	for _, name := range sim.names {
		if sim.State(sim.now, name) == state {
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
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	failedTasks := sim.run(400, "quote", failsAt("t3"))
	g.Expect(sim.State(sim.now, "t3")).To(Equal(health.Ejected))
	g.Expect(failedTasks).To(BeNumerically("<=", 5))
	g.Expect(sim.countInState(health.Healthy)).To(Equal(9))
}

func TestATargetThatFailsTwoFifthsOfItsTasksIsEjected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	ejected := false
	sim.run(1000, "quote", func(target string) bool {
		ejected = ejected || sim.State(sim.now, "t3") == health.Ejected
		return target == "t3" && sim.rng.IntN(5) < 2
	})
	g.Expect(ejected).To(BeTrue())
}

func TestATaskThatFailsEverywhereEjectsNoTarget(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	alwaysFails := func(string) bool { return true }
	sim.run(200, "broken", alwaysFails)
	g.Expect(sim.countInState(health.Healthy)).To(Equal(10))
}

func TestABadTargetIsEjectedWhileOtherTasksFailEverywhere(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	for range 200 {
		sim.run(1, "broken", func(string) bool { return true })
		sim.run(1, "quote", failsAt("t3"))
	}
	g.Expect(sim.State(sim.now, "t3")).To(Equal(health.Ejected))
	g.Expect(sim.countInState(health.Healthy)).To(Equal(9))
}

func TestATargetIsReinstatedOnceItsFailedTaskFailsElsewhereToo(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	for range 8 { // one target runs all tasks of a broken job first
		sim.Observe(sim.now, "t0", "broken", true)
	}
	g.Expect(sim.State(sim.now, "t0")).To(Equal(health.Ejected))
	for i := 1; i < 10; i++ {
		sim.Observe(sim.now, fmt.Sprintf("t%d", i), "broken", true)
	}
	g.Expect(sim.countInState(health.Healthy)).To(Equal(10))
}

func TestAtMostAThirdOfTheTargetsIsEjected(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 10: 3, 50: 16} {
		g := NewWithT(t)
		sim := newSimulation(n)
		sim.run(100*n, "quote", neverFails)
		maxUnhealthy := 0
		sim.run(100*n, "quote", func(string) bool {
			maxUnhealthy = max(maxUnhealthy, n-sim.countInState(health.Healthy))
			return sim.rng.IntN(10) < 8
		})
		g.Expect(maxUnhealthy).To(BeNumerically("<=", want), "%d targets", n)
	}
}

func TestAnEjectedTargetReturnsAfterThreeSuccessfulTrials(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	sim.run(300, "quote", failsAt("t3"))
	g.Expect(sim.Usable(sim.now, "t3", 0)).To(BeFalse())
	sim.now = sim.now.Add(5 * time.Second)
	g.Expect(sim.Usable(sim.now, "t3", 0)).To(BeTrue())
	g.Expect(sim.Usable(sim.now, "t3", 1)).To(BeFalse())
	for range 3 {
		g.Expect(sim.State(sim.now, "t3")).To(Equal(health.OnTrial))
		sim.Observe(sim.now, "t3", "quote", false)
	}
	g.Expect(sim.Usable(sim.now, "t3", 7)).To(BeTrue())
}

func TestATargetThatKeepsFailingFailsAtMost24TasksInAnHour(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	failedTasks := sim.run(360_000, "quote", failsAt("t3")) // one hour
	g.Expect(failedTasks).To(BeNumerically("<=", 24))
}

func TestARestartedTargetStaysEjected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	sim.run(200, "quote", neverFails)
	sim.run(300, "quote", failsAt("t3"))
	sim.SetTargets(sim.now, sim.names[4:])
	sim.SetTargets(sim.now, sim.names)
	g.Expect(sim.State(sim.now, "t3")).To(Equal(health.Ejected))
}
