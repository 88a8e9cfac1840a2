package shards_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/shards"
)

const (
	balanceStep = 250 * time.Millisecond // between decisions, and the age of the loads of others
	busyWindow  = 8                      // steps over which a host measures how busy it is
)

// balanceDomain is a domain under a demand that swings by 0.55 in 15 s.
type balanceDomain struct {
	hosts     []shards.Candidate
	ownWork   []float64           // thousandths of a core that each host uses at the mean demand beside its pools
	poolWork  []float64           // the same of the holder of each pool
	holder    []int               // host of each pool
	balancers [][]shards.Balancer // by pool and host
	moves     []balanceMove
}

type balanceMove struct {
	at             time.Duration
	pool, from, to int
	busy           bool
}

// play moves the demand on for some time, and hands over what the balancers decide.
func (d *balanceDomain) play(duration time.Duration) {
	d.balancers = make([][]shards.Balancer, len(d.holder))
	for pool := range d.balancers {
		d.balancers[pool] = make([]shards.Balancer, len(d.hosts))
	}
	used := make([][]float64, len(d.hosts)) // of each step of the window
	busyHandOverAt := make([]time.Time, len(d.hosts))
	start := time.Unix(1000, 0)
	order := make([][]int, len(d.holder)) // of the candidates for each pool
	for pool := range order {
		for _, address := range shards.OrderCandidates(d.hosts, pool) {
			order[pool] = append(order[pool], d.indexOf(address))
		}
	}
	var known []shards.HostLoad // as of the last step
	for now := start; now.Before(start.Add(duration)); now = now.Add(balanceStep) {
		demand := 1 + 0.55*math.Sin(2*math.Pi*now.Sub(start).Seconds()/15)
		loads := make([]shards.HostLoad, len(d.hosts))
		for i, h := range d.hosts {
			work := d.ownWork[i]
			loads[i].Candidate = h
			for pool, holder := range d.holder {
				if holder == i {
					work += d.poolWork[pool]
					loads[i].Pools++
				}
			}
			used[i] = append(used[i], min(work*demand, float64(h.Capacity.CPUMilli)))
			used[i] = used[i][max(0, len(used[i])-busyWindow):]
			sum := 0.0
			for _, u := range used[i] {
				sum += u
			}
			loads[i].BusyPercent = max(1, int(100*sum/float64(len(used[i]))/float64(h.Capacity.CPUMilli)))
		}
		if known == nil {
			known = loads
		}
		decided := map[int]bool{} // a host hands over only the last of its pools
		for pool := len(d.holder) - 1; pool >= 0; pool-- {
			from := d.holder[pool]
			for i := range d.hosts {
				d.balancers[pool][i].Observe(shards.Process{Address: d.hosts[from].Address}, func(string) bool { return true }, now)
			}
			if decided[from] {
				continue
			}
			decided[from] = true
			var others []shards.HostLoad
			for _, i := range order[pool] {
				if i != from {
					others = append(others, known[i])
				}
			}
			h, ok := d.balancers[pool][from].Decide(loads[from], others, busyHandOverAt[from], now)
			if !ok {
				continue
			}
			if h.Busy {
				busyHandOverAt[from] = now
			}
			to := d.indexOf(h.To)
			d.moves = append(d.moves, balanceMove{at: now.Sub(start), pool: pool, from: from, to: to, busy: h.Busy})
			d.holder[pool] = to
			d.balancers[pool][to].Received(now)
			decided[to] = true
		}
		known = loads
	}
}

func (d *balanceDomain) indexOf(address string) int {
	for i, h := range d.hosts {
		if h.Address == address {
			return i
		}
	}
	panic("unknown host " + address)
}

// checkNoPingPong returns what is wrong with the hand-overs of a domain, or "".
func (d *balanceDomain) checkNoPingPong() string {
	for i, m := range d.moves {
		for _, former := range d.moves[:i] {
			if former.pool == m.pool && m.at-former.at < 10*time.Second {
				return fmt.Sprintf("a pool is handed over twice in 10 s: %+v", d.moves)
			}
			if former.pool == m.pool && former.from == m.to {
				return fmt.Sprintf("a pool returns to a host that gave it away: %+v", d.moves)
			}
			if former.busy && m.busy && former.from == m.from && m.at-former.at < 10*time.Second {
				return fmt.Sprintf("a host gives two pools away in 10 s: %+v", d.moves)
			}
		}
	}
	return ""
}

// A host that is above 0.85 of its share at each peak of a demand that swings by 0.55 in
// 15 s gives one pool away for good. Judged by the trough, the pool would go back and
// forth with each swing.
func TestASwingingDemandMovesAPoolOnce(t *testing.T) {
	g := NewWithT(t)
	d := balanceDomain{hosts: unevenDomain(), ownWork: make([]float64, 12), poolWork: []float64{140, 40, 90, 140}, holder: []int{9, 10, 11, 9}}
	for i := range d.ownWork {
		d.ownWork[i] = 20
	}
	d.play(10 * time.Minute)
	g.Expect(d.checkNoPingPong()).To(BeEmpty())
	g.Expect(d.moves).To(HaveLen(1))
	g.Expect(d.moves[0].busy).To(BeTrue())
	g.Expect(d.moves[0].from).To(Equal(9))
}

// A weak host that starts first claims all pools. They go to the strong hosts, one after
// the other, and stay there.
func TestPoolsOfAWeakHostGoToStrongOnes(t *testing.T) {
	g := NewWithT(t)
	d := balanceDomain{hosts: unevenDomain(), ownWork: make([]float64, 12), poolWork: []float64{60, 60, 60}, holder: []int{0, 0, 0}}
	d.play(10 * time.Minute)
	g.Expect(d.holder).To(ConsistOf(9, 10, 11))
	g.Expect(d.moves).To(HaveLen(3))
	g.Expect(d.moves[2].at).To(BeNumerically("<", 10*time.Second))
}

// Whatever the hosts and their loads, no pool goes back and forth, and none is handed
// over more than once in 10 s.
func TestNoPoolGoesBackAndForth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.SampledFrom([]shards.Capacity{weak, weak, middle, strong}), 2, 8).Draw(t, "hosts")
		d := balanceDomain{hosts: hostsOf(capacities...)}
		for range capacities {
			d.ownWork = append(d.ownWork, rapid.Float64Range(5, 250).Draw(t, "own work"))
		}
		for range 1 << rapid.IntRange(0, 2).Draw(t, "doublings") {
			d.poolWork = append(d.poolWork, rapid.Float64Range(5, 300).Draw(t, "pool work"))
			d.holder = append(d.holder, rapid.IntRange(0, len(capacities)-1).Draw(t, "holder"))
		}
		d.play(2 * time.Minute)
		if wrong := d.checkNoPingPong(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// A host that does not report how busy it is, as one of a former release, gets no pool
// because another host is busy.
func TestABusyHostGivesNoPoolToAHostOfUnknownLoad(t *testing.T) {
	g := NewWithT(t)
	var b shards.Balancer
	now := time.Unix(1000, 0)
	hosts := hostsOf(strong, strong, weak)
	self := shards.HostLoad{Candidate: hosts[0], BusyPercent: 95, Pools: 1}
	decide := func(otherBusy int) bool {
		moved := false
		for range 20 {
			now = now.Add(balanceStep)
			_, ok := b.Decide(self, []shards.HostLoad{{Candidate: hosts[1], BusyPercent: otherBusy, Pools: 1}}, time.Time{}, now)
			moved = moved || ok
		}
		return moved
	}
	self.Pools = 3
	g.Expect(decide(60)).To(BeFalse())
	self.Pools = 2
	b = shards.Balancer{}
	g.Expect(decide(0)).To(BeFalse())
	b = shards.Balancer{}
	g.Expect(decide(20)).To(BeTrue())
}

// A strong host that is nearly busy at each peak of its load gets no pool in a trough.
func TestAHostIsJudgedByThePeakOfItsLoad(t *testing.T) {
	g := NewWithT(t)
	var b shards.Balancer
	hosts := hostsOf(weak, strong)
	now := time.Unix(1000, 0)
	moves := func(seconds int, busy func(second int) int) bool {
		moved := false
		for second := range seconds {
			now = now.Add(time.Second)
			_, ok := b.Decide(shards.HostLoad{Candidate: hosts[0], BusyPercent: 60, Pools: 1},
				[]shards.HostLoad{{Candidate: hosts[1], BusyPercent: busy(second)}}, time.Time{}, now)
			moved = moved || ok
		}
		return moved
	}
	g.Expect(moves(60, func(second int) int { return 70 - 4*(second%15) })).To(BeFalse())
	g.Expect(moves(60, func(int) int { return 10 })).To(BeTrue())
}
