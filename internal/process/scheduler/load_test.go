package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// hutopsDomainShares are the domains' shares of the traffic on the users' sheet.
var hutopsDomainShares = []float64{29.4 / 140.6, 38.2 / 140.6, 39.3 / 140.6, 33.7 / 140.6}

func runHutops(seed uint64, load func(time.Duration) float64, length time.Duration) *simulation {
	return runHutopsWith(func(*Config) {}, seed, load, length)
}

func runHutopsWith(configure func(*Config), seed uint64, load func(time.Duration) float64, length time.Duration) *simulation {
	s := newHutopsSimulation(configure, seed, load, length)
	s.run(length)
	return s
}

func newHutopsSimulation(configure func(*Config), seed uint64, load func(time.Duration) float64, length time.Duration) *simulation {
	s := newSimulation(configure, seed, len(hutopsDomainShares))
	for domain, share := range hutopsDomainShares {
		for _, c := range hutopsClasses {
			s.scheduleArrivals(domain, c, share, length, load)
		}
	}
	return s
}

func constantLoad(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// The users' own limits. A day with trouble passes if each kind of request earns more
// than a floor, which is at most 0.36 of its value. On the heaviest days after growth
// the users aim at 0.67 of the total value.
const (
	minClassValueShare = 0.36
	minTotalValueShare = 0.67
)

// TestOverloadedPoolsMeetTheMinimumValueShares simulates 1.5 times the load of the
// sheet, which is more than the targets can do.
func TestOverloadedPoolsMeetTheMinimumValueShares(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		s := runHutops(seed, constantLoad(1.5), 20*time.Second)
		g.Expect(s.total().valueShare()).To(BeNumerically(">=", minTotalValueShare))
		for _, c := range hutopsClasses {
			g.Expect(s.resultOfClass(c.name).valueShare()).To(BeNumerically(">=", minClassValueShare), c.name)
		}
	}
}

// TestFairSharesServeABurstBetterThanForecastAlone compares admission by fair shares
// and the forecast with admission by the forecast alone.
func TestFairSharesServeABurstBetterThanForecastAlone(t *testing.T) {
	g := NewWithT(t)
	burst := func(d time.Duration) float64 {
		if d > 5*time.Second && d < 9*time.Second {
			return 2
		}
		return 0.9
	}
	with := runHutops(4, burst, 15*time.Second)
	unlimited := func(c *Config) { c.UsableFraction = 100 }
	without := runHutopsWith(unlimited, 4, burst, 15*time.Second)
	worst := func(p *simulation) float64 {
		least := 1.0
		for _, c := range hutopsClasses {
			least = min(least, p.resultOfClass(c.name).valueShare())
		}
		return least
	}
	t.Logf("value share of the worst class with fair shares %.3f, without %.3f; total %.3f and %.3f", worst(with), worst(without), with.total().valueShare(), without.total().valueShare())
	g.Expect(worst(with)).To(BeNumerically(">", worst(without)))
	g.Expect(with.total().valueShare()).To(BeNumerically(">", without.total().valueShare()))
}

// TestJobsAreTriedElsewhereBeforeTheyAreRefused compares sending a job that its pool
// refuses to several pools, which start it at once or not at all, with sending it to one.
// The free capacity that the pools report is up to 250 ms old.
func TestJobsAreTriedElsewhereBeforeTheyAreRefused(t *testing.T) {
	g := NewWithT(t)
	var several, one classResult
	for seed := range uint64(3) {
		for tries, sum := range map[int]*classResult{DefaultConfig().SpillTries: &several, 1: &one} {
			r := runHutopsWith(func(c *Config) { c.SpillTries = tries }, seed, constantLoad(1.2), 20*time.Second).total()
			sum.earnedValue += r.earnedValue
			sum.offeredValue += r.offeredValue
			sum.refusedWithRoom += r.refusedWithRoom
		}
	}
	t.Logf("value share with several tries %.3f, with one %.3f; refused while a pool had room %.3f and %.3f",
		several.valueShare(), one.valueShare(), several.refusedWithRoom/several.offeredValue, one.refusedWithRoom/one.offeredValue)
	g.Expect(several.valueShare()).To(BeNumerically(">", one.valueShare()))
	g.Expect(several.refusedWithRoom).To(BeNumerically("<", one.refusedWithRoom/2))
}

// TestLowLoadIsServedInFull simulates 0.6 times the load of the sheet.
func TestLowLoadIsServedInFull(t *testing.T) {
	g := NewWithT(t)
	s := runHutops(1, constantLoad(0.6), 20*time.Second)
	sum := s.total()
	g.Expect(sum.refused).To(BeZero())
	g.Expect(sum.valueShare()).To(BeNumerically(">", 0.95))
}

// TestUnresponsiveTargetsCostLittleValue lets a sixth of the targets stop answering.
func TestUnresponsiveTargetsCostLittleValue(t *testing.T) {
	g := NewWithT(t)
	s := newHutopsSimulation(func(*Config) {}, 5, constantLoad(0.6), 15*time.Second)
	s.after(5*time.Second, func() {
		for z := range hutopsDomainShares {
			s.unresponsive[fmt.Sprintf("z%d-t00", z)] = true
			s.unresponsive[fmt.Sprintf("z%d-t01", z)] = true
		}
	})
	s.run(15 * time.Second)
	g.Expect(s.total().valueShare()).To(BeNumerically(">=", minTotalValueShare))
}

// TestValueShareIsLoggedByLoad logs what callers get at several loads. It asserts
// nothing.
func TestValueShareIsLoggedByLoad(t *testing.T) {
	for _, load := range []float64{0.6, 0.9, 1.2, 1.5, 2} {
		s := runHutops(1, constantLoad(load), 20*time.Second)
		line := fmt.Sprintf("load %.1f: value share %.3f", load, s.total().valueShare())
		for _, c := range hutopsClasses {
			r := s.resultOfClass(c.name)
			line += fmt.Sprintf("; %s %.3f (%d on time, %d late, %d refused of %d)", c.name, r.valueShare(), r.onTime, r.late, r.refused, r.submitted)
		}
		t.Log(line)
	}
}
