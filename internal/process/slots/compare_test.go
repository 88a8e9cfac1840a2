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

// The queue model: jobs arrive at random hosts, each host has a FIFO queue
// and a policy, targets refuse when full, every message takes one delay.

const (
	oneWay       = time.Millisecond
	tick         = 5 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
	slotsEach    = 8
	step         = 100 * time.Microsecond
)

type jobLoad struct {
	at       time.Duration
	services []time.Duration
	host     float64 // 0 to 1, picks the entry host
}

// arrivals draws jobs of 1 to 210 tasks at load times the capacity.
func arrivals(seed uint64, targets int, load float64, length time.Duration) []jobLoad {
	rng := rand.New(rand.NewPCG(seed, 1))
	mean := 0.0
	for range 100_000 {
		mean += service(rng).Seconds() / 100_000
	}
	const meanSize = 209 / 5.347 // of exp(uniform(0, ln 210))
	perSecond := load * float64(targets*slotsEach) / mean / meanSize
	var jobs []jobLoad
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		if at > length.Seconds() {
			return jobs
		}
		j := jobLoad{at: time.Duration(at * 1e9), host: rng.Float64()}
		for range int(math.Exp(rng.Float64() * math.Log(210.999))) {
			j.services = append(j.services, service(rng))
		}
		jobs = append(jobs, j)
	}
}

// service draws a bounded Pareto time of 50 ms to 1 s; 2% take 1 to 5 s.
func service(rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.02 {
		return time.Second + time.Duration(rng.Float64()*4e9)
	}
	const alpha, low, high = 1.2, 0.05, 1.0
	tail := 1 - rng.Float64()*(1-math.Pow(low/high, alpha))
	return time.Duration(low * math.Pow(tail, -1/alpha) * 1e9)
}

type task struct {
	job     int
	service time.Duration
}

type host struct {
	policy slots.Policy
	queue  []task
}

type model struct {
	now     time.Duration
	events  map[time.Duration][]func() // by time, rounded up to step
	delay   time.Duration
	rng     *rand.Rand
	hosts   map[string]*host
	names   []string
	running map[string]int
	jobs    []jobLoad
	left    []int
	done    []time.Duration
	open    int

	starts, refused, messages int
}

func (m *model) after(d time.Duration, do func()) {
	at := (m.now + d + step - 1).Truncate(step)
	m.events[at] = append(m.events[at], do)
}

func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// result is one row of the comparison.
type result struct {
	mean, p50, p99    time.Duration
	refused, messages float64 // per task
}

func run(jobs []jobLoad, targets, hosts int, delay time.Duration, build func(self string) slots.Policy) result {
	m := &model{delay: delay, rng: rand.New(rand.NewPCG(7, 7)), jobs: jobs, open: len(jobs),
		hosts: map[string]*host{}, running: map[string]int{}, events: map[time.Duration][]func(){}}
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Name: fmt.Sprintf("t%03d", i), Slots: slotsEach})
	}
	for i := range hosts {
		m.names = append(m.names, fmt.Sprintf("h%d", i))
	}
	for i, name := range m.names {
		h := &host{policy: build(name)}
		m.hosts[name] = h
		h.policy.SetPeers(m.clock(), slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return n == name }))
		h.policy.SetTargets(m.clock(), list)
		m.after(time.Duration(i)*reportPeriod/time.Duration(hosts), func() { m.report(name) })
		m.after(tick, func() { m.tick(name) })
	}
	for i, j := range jobs {
		m.left, m.done = append(m.left, len(j.services)), append(m.done, 0)
		m.after(j.at, func() { m.arrive(i) })
	}
	for ; m.open > 0; m.now += step {
		for i := 0; i < len(m.events[m.now]); i++ { // an event may add to its own moment
			m.events[m.now][i]()
		}
		delete(m.events, m.now)
	}
	return m.result()
}

func (m *model) arrive(i int) {
	name := m.names[int(m.jobs[i].host*float64(len(m.names)))]
	for _, s := range m.jobs[i].services {
		m.hosts[name].queue = append(m.hosts[name].queue, task{i, s})
	}
	m.serve(name)
}

func (m *model) tick(name string) {
	m.serve(name)
	m.after(tick, func() { m.tick(name) })
}

func (m *model) serve(name string) {
	h := m.hosts[name]
	for len(h.queue) > 0 {
		target, ok := h.policy.Acquire(m.clock(), m.rng, nil)
		if !ok {
			break
		}
		t := h.queue[0]
		h.queue = h.queue[1:]
		m.starts++
		m.after(m.delay, func() { m.start(name, target, t) })
	}
	for _, s := range h.policy.DueMessages(m.clock(), len(h.queue)) {
		m.messages++
		m.after(m.delay, func() {
			m.hosts[s.To].policy.Receive(m.clock(), name, s.Message)
			m.serve(s.To)
		})
	}
}

func (m *model) start(name, target string, t task) {
	h := m.hosts[name]
	if m.running[target] == slotsEach {
		m.refused++
		m.after(m.delay, func() {
			h.policy.ReleaseRefused(m.clock(), target)
			h.queue = append([]task{t}, h.queue...)
			m.serve(name)
		})
		return
	}
	m.running[target]++
	m.after(t.service, func() { m.running[target]-- })
	m.after(t.service+m.delay, func() {
		h.policy.Release(target)
		if m.left[t.job]--; m.left[t.job] == 0 {
			m.done[t.job] = m.now - m.jobs[t.job].at
			m.open--
		}
		m.serve(name)
	})
}

func (m *model) report(name string) {
	for _, to := range m.names {
		if to != name {
			msg := m.hosts[name].policy.Report(m.clock(), to, len(m.hosts[name].queue))
			m.after(m.delay, func() { m.hosts[to].policy.Receive(m.clock(), name, msg) })
		}
	}
	m.after(reportPeriod, func() { m.report(name) })
}

func (m *model) result() result {
	sum := time.Duration(0)
	for _, d := range m.done {
		sum += d
	}
	slices.Sort(m.done)
	n, tasks := len(m.done), float64(m.starts-m.refused)
	return result{sum / time.Duration(n), m.done[n/2], m.done[n*99/100],
		float64(m.refused) / tasks, float64(m.messages) / tasks}
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

// TestCompare prints, for each deployment and load, every policy beside an
// ideal central queue on the same arrivals (all of them with -v), and bounds
// the policies by their counts.
func TestCompare(t *testing.T) {
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
			jobs := arrivals(11, d.targets, load, length)
			ideal := run(jobs, d.targets, 1, 0, policies[0].build)
			t.Logf("%-15s %3.0f%% %-12s mean %5d p50 %5d p99 %5d ms", d.name, 100*load, "ideal",
				ideal.mean.Milliseconds()+2, ideal.p50.Milliseconds()+2, ideal.p99.Milliseconds()+2)
			for _, p := range policies {
				r := run(jobs, d.targets, d.hosts, oneWay, p.build)
				t.Logf("%-15s %3.0f%% %-12s mean %5d p50 %5d p99 %5d ms, per task %.3f refused %.3f messages", d.name,
					100*load, p.name, r.mean.Milliseconds(), r.p50.Milliseconds(), r.p99.Milliseconds(), r.refused, r.messages)
				NewWithT(t).Expect(r.refused).To(BeNumerically("<", p.refused), p.name)
				NewWithT(t).Expect(r.messages).To(BeNumerically("<", p.messages), p.name)
			}
		}
	}
}
