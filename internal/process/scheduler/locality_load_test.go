package scheduler

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rackLoad is a load on one pool of three racks.
type rackLoad struct {
	targets            int // in each rack
	load, remoteFactor float64
	hot                bool    // one rack is named by 0.6 of the jobs; otherwise 0.6 of the jobs name any rack
	tail               float64 // share of the jobs whose tasks take seven times as long
}

// The ways to treat a task whose rack is full.
const (
	noWait     = "no wait"
	decided    = "decided"
	alwaysWait = "always wait"
)

// newRackSimulation returns a simulation of a load in a way.
func newRackSimulation(l rackLoad, way string, seed uint64, length time.Duration) *simulation {
	s := newSimulation(func(*Config) {}, seed, 0)
	s.racks, s.remoteFactor = map[string]string{}, l.remoteFactor
	config := DefaultConfig()
	config.RemoteFactor = l.remoteFactor
	if way == decided {
		config.MaxLocalWait = time.Second
	}
	core := NewCore(config)
	s.pools = append(s.pools, core)
	for i := range 3 * l.targets {
		id, rack, capacity := fmt.Sprintf("t%02d", i), fmt.Sprintf("r%d", i/l.targets), int64(16000)
		s.speeds[id], s.racks[id] = 1, rack
		if i%3 == 2 {
			capacity, s.speeds[id] = 24000, 1/1.3
		}
		core.UpdateTarget(Target{ID: id, Service: "desk", Labels: []string{rack}, Capacity: Resources{CPUMilli: capacity, MemoryMB: 32768}}, false, s.now)
	}
	s.prepare = func(j *simulatedJob) {
		wants, rack := s.rng.Float64(), "r0"
		if wants >= 0.6 {
			return
		}
		if !l.hot {
			rack = fmt.Sprintf("r%d", int(wants/0.2))
		}
		j.job.Steps[0].DataRack = rack
		if way == alwaysWait {
			j.job.Steps[0].Label = rack
		}
	}
	for _, c := range hutopsClasses {
		share := float64(3*l.targets) / 48 // of the sheet, which is for 48 targets
		if l.tail > 0 {
			slow := c
			slow.meanTaskTime, slow.maxTaskTime = 7*c.meanTaskTime, 7*c.maxTaskTime
			s.scheduleArrivals(0, slow, share*l.tail, length, constantLoad(l.load))
		}
		s.scheduleArrivals(0, c, share*(1-l.tail), length, constantLoad(l.load))
	}
	return s
}

func meanAndP99(times []time.Duration) (mean, p99 time.Duration) {
	sorted := slices.Sorted(slices.Values(times))
	for _, d := range sorted {
		mean += d
	}
	return mean / time.Duration(len(sorted)), sorted[len(sorted)*99/100]
}

// TestDecidedWaitsPayUnderLoad logs the table of docs/design/locality.md. It guards against
// waits that cost more than they gain: a load is served no worse than without waits.
func TestDecidedWaitsPayUnderLoad(t *testing.T) {
	const length = 10 * time.Second
	for _, l := range []rackLoad{
		{12, 0.5, 2, false, 0}, {12, 0.9, 2, false, 0}, {12, 0.5, 3, false, 0}, {12, 0.9, 3, false, 0},
		{12, 0.5, 2, true, 0}, {12, 0.7, 2, true, 0}, {12, 0.5, 3, true, 0}, {12, 0.7, 3, true, 0}, {12, 0.5, 3, true, 0.03},
	} {
		shares := map[string]float64{}
		for _, way := range []string{noWait, decided, alwaysWait} {
			waits := map[string]int{}
			s := newRackSimulation(l, way, 1, length)
			s.observe = func(e Effect) {
				if w, ok := e.(LocalWaitEnded); ok {
					waits[w.Outcome.String()]++
				}
			}
			s.run(length)
			sum := s.total()
			shares[way] = sum.valueShare()
			mean, p99 := meanAndP99(s.jobTimes)
			t.Logf("%+v %s: mean %v, p99 %v, refused or too late %d of %d, value %.3f, waits %v", l, way,
				mean.Round(time.Millisecond), p99.Round(time.Millisecond), sum.refused, sum.submitted, sum.valueShare(), waits)
		}
		NewWithT(t).Expect(shares[decided]).To(BeNumerically(">=", shares[noWait]), "%+v", l)
	}
}

// TestATaskThatWaitsStartsByItsBound guards the promise of a wait: its task starts, on any
// target, by the time that the decision promised, beyond the error of the estimates that the
// forecast rests on. Other tasks may take any place in the meantime.
func TestATaskThatWaitsStartsByItsBound(t *testing.T) {
	for _, relativeError := range []float64{0, 0.4} {
		t.Run(fmt.Sprintf("estimates off by %v", relativeError), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				l := rackLoad{
					targets: rapid.IntRange(1, 4).Draw(rt, "targets"),
					load:    rapid.Float64Range(0.4, 1.5).Draw(rt, "load"), remoteFactor: rapid.Float64Range(1.2, 4).Draw(rt, "factor"),
					hot: rapid.Bool().Draw(rt, "hot"),
				}
				const length = 3 * time.Second
				s := newRackSimulation(l, decided, rapid.Uint64().Draw(rt, "seed"), length)
				s.pools[0].config.LearnedRunTimeWeight = 0
				for id := range s.speeds {
					s.speeds[id] = 1
				}
				var longest time.Duration
				withRack := s.prepare
				s.prepare = func(j *simulatedJob) {
					withRack(j)
					estimate := j.taskTimes[0]
					for i := range j.taskTimes {
						j.taskTimes[i] = time.Duration(float64(estimate) * (1 + relativeError*(2*s.rng.Float64()-1)))
					}
					j.job.Steps[0].Estimate = estimate
					longest = max(longest, estimate)
				}
				// A run's end is expected after its estimate times the target's slowdown, which
				// is off by the same error.
				lateness := func() time.Duration {
					return time.Duration(2*relativeError*l.remoteFactor*float64(longest)) + 2*networkDelay + 20*time.Millisecond
				}
				startBy := map[string]time.Time{}
				s.observe = func(e Effect) {
					switch e := e.(type) {
					case LocalWaitEnded:
						if e.Outcome != LocalWaitAbandoned {
							startBy[e.Run.TaskID()] = s.now.Add(e.Longest - e.Waited)
						}
					case Start:
						if bound, ok := startBy[e.Run.TaskID()]; ok && s.now.After(bound.Add(lateness())) {
							rt.Fatalf("task %s starts %v after its bound", e.Run.TaskID(), s.now.Sub(bound))
						}
						delete(startBy, e.Run.TaskID())
					case Reply:
						for task, bound := range startBy {
							if strings.HasPrefix(task, e.Job+".") && s.now.After(bound.Add(lateness())) {
								rt.Fatalf("job %s is answered (%v) %v after the bound of a task that was not started", e.Job, e.Answer.Outcome, s.now.Sub(bound))
							}
						}
					}
				}
				s.run(length)
			})
		})
	}
}

// TestADecidedWaitIsBounded checks the decision alone.
func TestADecidedWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(rt, name)) * time.Millisecond
		}
		o := localityOption{
			LocalIn: ms("localIn", 1, 500), LocalTime: ms("localTime", 0, 500), RemoteTime: ms("remoteTime", 0, 1500), Slack: ms("slack", -200, 1000),
			Backlog: rapid.IntRange(0, 50).Draw(rt, "backlog"), NeedShare: rapid.Float64Range(0, 0.1).Draw(rt, "share"),
			SuccessRate: rapid.Float64Range(0, 1).Draw(rt, "success"), MaxWait: ms("max", 0, 500),
		}
		g := NewWithT(rt)
		wait := decideLocalWait(o)
		g.Expect(wait).To(BeNumerically(">=", 0))
		g.Expect(wait).To(BeNumerically("<=", o.MaxWait))
		if wait > 0 {
			g.Expect(wait).To(BeNumerically(">=", o.LocalIn))
			g.Expect(wait).To(BeNumerically("<=", o.remoteCost()))
			g.Expect(wait).To(BeNumerically("<=", o.Slack), "the objective can still be met locally")
			expected := o.SuccessRate*float64(o.remoteCost()-o.LocalIn) - (1-o.SuccessRate)*float64(wait)
			g.Expect(expected).To(BeNumerically(">=", -math.Nextafter(1, 2)))
		}
		if remoteSlack := o.Slack - (o.RemoteTime - o.LocalTime); remoteSlack >= 0 {
			g.Expect(wait).To(BeNumerically("<=", remoteSlack), "a start now on the remote target would meet the objective")
		}
		o.SuccessRate *= rapid.Float64Range(0, 1).Draw(rt, "less")
		g.Expect(decideLocalWait(o)).To(BeNumerically("<=", wait), "waits grow shorter as fewer succeed")
	})
}
