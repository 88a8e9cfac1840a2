package measure

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestFitOfALineIsExact(t *testing.T) {
	g := NewWithT(t)
	f := NewFit([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	g.Expect(f.Base).To(BeNumerically("~", 3, 1e-9))
	g.Expect(f.Slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(f.Error).To(BeNumerically("~", 0, 1e-9))
	g.Expect(f.At(13)).To(BeNumerically("~", 29, 1e-9))
}

func TestFitStatesItsError(t *testing.T) {
	g := NewWithT(t)
	f := NewFit([]float64{0, 1, 2}, []float64{0, 2, 1})
	g.Expect(f.Slope).To(BeNumerically("~", 0.5, 1e-9))
	g.Expect(f.Error).To(BeNumerically("~", math.Sqrt(1.5/2), 1e-9))
	g.Expect(f.Worst).To(BeNumerically("~", 0.5, 1e-9))
}

func TestSamplesAreReadAndSummed(t *testing.T) {
	g := NewWithT(t)
	s, err := parseSamples(strings.NewReader("# TYPE a counter\na{x=\"1\",y=\"2\"} 3\na{x=\"1\"} 4\nab 5\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Sum("a")).To(Equal(7.0))
	g.Expect(s.Sum("a", `y="2"`)).To(Equal(3.0))
}

// Two slots; the job of two tasks arrives while one is taken.
func TestIdealQueueStartsInOrderOfArrival(t *testing.T) {
	g := NewWithT(t)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	took := IdealTimes([]Arrival{
		{At: 0, Run: []time.Duration{ms(100)}},
		{At: ms(10), Run: []time.Duration{ms(20), ms(50)}},
		{At: ms(200), Run: []time.Duration{ms(5)}},
	}, 2)
	g.Expect(took).To(Equal([]time.Duration{ms(100), ms(70), ms(5)}))
}

func TestArrivalsOfOneSeedAreTheSame(t *testing.T) {
	g := NewWithT(t)
	plan := LoadPlan{Seed: 1, Duration: time.Second, Starts: 400, Tasks: 4, RunHigh: time.Millisecond}
	g.Expect(plan.Arrivals()).To(Equal(plan.Arrivals()))
	g.Expect(len(plan.Arrivals())).To(BeNumerically("~", 100, 40))
}
