package scenario_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/scenario"
)

var (
	combinedSteps = flag.Int("combined.steps", 40, "failures in TestCombinedFailures")
	combinedSeed  = flag.Uint64("combined.seed", 1, "seed of TestCombinedFailures")
)

// TestCombinedFailures checks every invariant after kills, freezes, cuts,
// silent connections, bad targets, bursts and waves of cancellations that
// overlap. A longer run: go test ./internal/standin/scenario
// -run TestCombinedFailures -combined.steps 500 -combined.seed 2
func TestCombinedFailures(t *testing.T) {
	g := NewWithT(t)
	folder, err := os.MkdirTemp("", "wasabifield-combined-")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { keepIfFailed(t, folder) })
	w, err := newWorld(folder)
	g.Expect(err).NotTo(HaveOccurred())
	defer w.Close()
	err = scenario.Combined(w, scenario.CombinedConfig{
		Seed:    *combinedSeed,
		Steps:   *combinedSteps,
		Pause:   400 * time.Millisecond,
		Callers: 6,
	}, t.Logf)
	g.Expect(err).NotTo(HaveOccurred())
	account, err := w.Account()
	g.Expect(err).NotTo(HaveOccurred())
	account.Print(os.Stderr)
	for _, rule := range history.Rules() {
		g.Expect(account.ViolationCount(rule)).To(BeZero(), string(rule))
	}
	g.Expect(account.Complete).To(BeNumerically(">", 0))
}

// keepIfFailed removes the logs and histories of a run that passed.
func keepIfFailed(t *testing.T, folder string) {
	if t.Failed() {
		t.Logf("logs and histories are kept in %s", folder)
		return
	}
	_ = os.RemoveAll(folder)
}
