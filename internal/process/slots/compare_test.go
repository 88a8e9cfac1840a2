package slots_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/slots"
)

// The simulation: jobs arrive at random hosts, each host has a FIFO queue and a policy,
// targets refuse a start when their slots are full, and every message takes the same
// delay.

const (
	messageDelay   = time.Millisecond
	tickInterval   = 5 * time.Millisecond
	reportPeriod   = 250 * time.Millisecond
	slotsPerTarget = 8
	timeStep       = 100 * time.Microsecond
)

type job struct {
	arrivesAt    time.Duration
	serviceTimes []time.Duration
	hostFraction float64 // 0 to 1, selects the entry host
}

// generateJobs returns jobs of 1 to 210 tasks whose total load is the given multiple of the
// targets' capacity.
func generateJobs(seed uint64, targets int, load float64, length time.Duration) []job {
	rng := rand.New(rand.NewPCG(seed, 1))
	mean := 0.0
	for range 100_000 {
		mean += drawServiceTime(rng).Seconds() / 100_000
	}
	const meanSize = 209 / 5.347 // of exp(uniform(0, ln 210))
	perSecond := load * float64(targets*slotsPerTarget) / mean / meanSize
	var jobs []job
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		if at > length.Seconds() {
			return jobs
		}
		j := job{arrivesAt: time.Duration(at * 1e9), hostFraction: rng.Float64()}
		for range int(math.Exp(rng.Float64() * math.Log(210.999))) {
			j.serviceTimes = append(j.serviceTimes, drawServiceTime(rng))
		}
		jobs = append(jobs, j)
	}
}

// drawServiceTime draws a bounded Pareto time of 50 ms to 1 s; 2% take 1 to 5 s.
func drawServiceTime(rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.02 {
		return time.Second + time.Duration(rng.Float64()*4e9)
	}
	const alpha, low, high = 1.2, 0.05, 1.0
	tail := 1 - rng.Float64()*(1-math.Pow(low/high, alpha))
	return time.Duration(low * math.Pow(tail, -1/alpha) * 1e9)
}

type task struct {
	job         int
	serviceTime time.Duration
}

type host struct {
	policy slots.Policy
	queue  []task
}

type simulator struct {
	now            time.Duration
	events         map[time.Duration][]func() // by time, rounded up to timeStep
	delay          time.Duration
	rng            *rand.Rand
	hosts          map[string]*host
	names          []string
	runningTasks   map[string]int
	jobs           []job
	remainingTasks []int
	responseTimes  []time.Duration
	openJobs       int

	startRequests, refusals, messages int
}

func (m *simulator) schedule(d time.Duration, do func()) {
	at := (m.now + d + timeStep - 1).Truncate(timeStep)
	m.events[at] = append(m.events[at], do)
}

func (m *simulator) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// result is one row of the comparison.
type result struct {
	mean, p50, p99    time.Duration
	refused, messages float64 // per task
}

func simulate(jobs []job, targets, hosts int, delay time.Duration, build func(self string) slots.Policy) result {
	m := &simulator{delay: delay, rng: rand.New(rand.NewPCG(7, 7)), jobs: jobs, openJobs: len(jobs),
		hosts: map[string]*host{}, runningTasks: map[string]int{}, events: map[time.Duration][]func(){}}
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Name: fmt.Sprintf("t%03d", i), Slots: slotsPerTarget})
	}
	for i := range hosts {
		m.names = append(m.names, fmt.Sprintf("h%d", i))
	}
	for i, name := range m.names {
		h := &host{policy: build(name)}
		m.hosts[name] = h
		h.policy.SetPeers(m.clock(), slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return n == name }))
		h.policy.SetTargets(m.clock(), list)
		m.schedule(time.Duration(i)*reportPeriod/time.Duration(hosts), func() { m.report(name) })
		m.schedule(tickInterval, func() { m.tick(name) })
	}
	for i, j := range jobs {
		m.remainingTasks, m.responseTimes = append(m.remainingTasks, len(j.serviceTimes)), append(m.responseTimes, 0)
		m.schedule(j.arrivesAt, func() { m.arrive(i) })
	}
	for ; m.openJobs > 0; m.now += timeStep {
		for i := 0; i < len(m.events[m.now]); i++ { // an event may add to its own moment
			m.events[m.now][i]()
		}
		delete(m.events, m.now)
	}
	return m.result()
}

func (m *simulator) arrive(i int) {
	name := m.names[int(m.jobs[i].hostFraction*float64(len(m.names)))]
	for _, s := range m.jobs[i].serviceTimes {
		m.hosts[name].queue = append(m.hosts[name].queue, task{i, s})
	}
	m.serve(name)
}

func (m *simulator) tick(name string) {
	m.serve(name)
	m.schedule(tickInterval, func() { m.tick(name) })
}

func (m *simulator) serve(name string) {
	h := m.hosts[name]
	for len(h.queue) > 0 {
		target, ok := h.policy.Acquire(m.clock(), m.rng, nil)
		if !ok {
			break
		}
		t := h.queue[0]
		h.queue = h.queue[1:]
		m.startRequests++
		m.schedule(m.delay, func() { m.start(name, target, t) })
	}
	for _, s := range h.policy.DueMessages(m.clock(), len(h.queue)) {
		m.messages++
		m.schedule(m.delay, func() {
			m.hosts[s.To].policy.Receive(m.clock(), name, s.Message)
			m.serve(s.To)
		})
	}
}

func (m *simulator) start(name, target string, t task) {
	h := m.hosts[name]
	if m.runningTasks[target] == slotsPerTarget {
		m.refusals++
		m.schedule(m.delay, func() {
			h.policy.ReleaseRefused(m.clock(), target)
			h.queue = append([]task{t}, h.queue...)
			m.serve(name)
		})
		return
	}
	m.runningTasks[target]++
	m.schedule(t.serviceTime, func() { m.runningTasks[target]-- })
	m.schedule(t.serviceTime+m.delay, func() {
		h.policy.Release(target)
		if m.remainingTasks[t.job]--; m.remainingTasks[t.job] == 0 {
			m.responseTimes[t.job] = m.now - m.jobs[t.job].arrivesAt
			m.openJobs--
		}
		m.serve(name)
	})
}

func (m *simulator) report(name string) {
	for _, to := range m.names {
		if to != name {
			msg := m.hosts[name].policy.Report(m.clock(), to, len(m.hosts[name].queue))
			m.schedule(m.delay, func() { m.hosts[to].policy.Receive(m.clock(), name, msg) })
		}
	}
	m.schedule(reportPeriod, func() { m.report(name) })
}

func (m *simulator) result() result {
	sum := time.Duration(0)
	for _, d := range m.responseTimes {
		sum += d
	}
	slices.Sort(m.responseTimes)
	n, tasks := len(m.responseTimes), float64(m.startRequests-m.refusals)
	return result{sum / time.Duration(n), m.responseTimes[n/2], m.responseTimes[n*99/100],
		float64(m.refusals) / tasks, float64(m.messages) / tasks}
}

var policies = []struct {
	name  string
	build func(self string) slots.Policy

	refused, messages float64 // bounds, per task
}{
	{"local", func(string) slots.Policy { return slots.NewLocalPolicy(5 * time.Millisecond) }, 15, 0.001},
	{"equal", func(s string) slots.Policy { return slots.NewEqualPolicy(s, 5*time.Millisecond) }, 0.001, 0.001},
	{"demand", func(s string) slots.Policy { return slots.NewDemandPolicy(demandConfig(s, false, 50)) }, 0.002, 0.2},
	{"demand-probe", func(s string) slots.Policy { return slots.NewDemandPolicy(demandConfig(s, true, 10)) }, 0.002, 1},
}

func demandConfig(self string, probe bool, retryMS int) slots.DemandConfig {
	return slots.DemandConfig{Self: self, RetryInterval: time.Duration(retryMS) * time.Millisecond, ProbeBusyPeers: probe,
		BatchDelay: 2 * time.Millisecond, PeerLease: 2 * time.Second, RefusalPause: 5 * time.Millisecond, FullReportInterval: time.Second}
}

// TestPoliciesAgainstAnIdealQueue logs, for each deployment and load, the result of every
// policy and of an ideal central queue on the same arrivals (all of them with -v), and
// checks the numbers of refusals and messages of each policy.
func TestPoliciesAgainstAnIdealQueue(t *testing.T) {
	domains := []struct {
		name           string
		targets, hosts int
	}{{"truot domain", 13, 2}, {"vatuwaqa domain", 17, 3}, {"50 targets", 50, 4}, {"design domain", 154, 4}}
	loads, length := []float64{0.8, 0.5, 0.95, 1.2}, 40*time.Second
	if !testing.Verbose() {
		domains, loads, length = domains[1:2], loads[:1], 15*time.Second
	}
	for _, d := range domains {
		for _, load := range loads {
			jobs := generateJobs(11, d.targets, load, length)
			ideal := simulate(jobs, d.targets, 1, 0, policies[0].build)
			t.Logf("%-15s %3.0f%% %-12s mean %5d p50 %5d p99 %5d ms", d.name, 100*load, "ideal",
				ideal.mean.Milliseconds()+2, ideal.p50.Milliseconds()+2, ideal.p99.Milliseconds()+2)
			for _, p := range policies {
				r := simulate(jobs, d.targets, d.hosts, messageDelay, p.build)
				t.Logf("%-15s %3.0f%% %-12s mean %5d p50 %5d p99 %5d ms, per task %.3f refused %.3f messages", d.name,
					100*load, p.name, r.mean.Milliseconds(), r.p50.Milliseconds(), r.p99.Milliseconds(), r.refused, r.messages)
				NewWithT(t).Expect(r.refused).To(BeNumerically("<", p.refused), p.name)
				NewWithT(t).Expect(r.messages).To(BeNumerically("<", p.messages), p.name)
			}
		}
	}
}
