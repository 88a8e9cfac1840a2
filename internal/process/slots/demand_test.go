package slots_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/slots"
)

// domain joins policies without delay; a host in cut hears and sends nothing.
type domain struct {
	now   time.Time
	rng   *rand.Rand
	hosts map[string]*slots.DemandPolicy
	names []string
	cut   map[string]bool
	used  map[string][]string // targets in use by host
	lose  int                 // the number of coming messages that are lost
}

func newDomain(seed uint64, hosts, targets int) *domain {
	d := &domain{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 2)), cut: map[string]bool{},
		hosts: map[string]*slots.DemandPolicy{}, used: map[string][]string{}}
	for i := range hosts {
		d.names = append(d.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range d.names {
		d.boot(name, targets)
	}
	return d
}

// boot starts a host with empty memory.
func (d *domain) boot(name string, targets int) {
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Name: fmt.Sprintf("t%d", i), Slots: slotsEach})
	}
	p := slots.NewDemandPolicy(demandConfig(name, true, 1))
	p.SetPeers(d.now, slices.DeleteFunc(slices.Clone(d.names), func(n string) bool { return n == name }))
	p.SetTargets(d.now, list)
	d.hosts[name], d.used[name] = p, nil
}

func (d *domain) deliver(from, to string, m slots.Message) {
	if d.lose > 0 {
		d.lose--
		return
	}
	if !d.cut[from] && !d.cut[to] {
		d.hosts[to].Receive(d.now, from, m)
	}
}

// flush exchanges messages, with queued tasks waiting at name, for 50 ms.
func (d *domain) flush(name string, queued int) {
	for range 10 {
		d.now = d.now.Add(5 * time.Millisecond)
		for _, from := range d.names {
			q := 0
			if from == name {
				q = queued
			}
			for _, s := range d.hosts[from].DueMessages(d.now, q) {
				d.deliver(from, s.To, s.Message)
			}
		}
	}
}

// pass lets periods of reports go by.
func (d *domain) pass(periods int) {
	for range periods {
		d.now = d.now.Add(reportPeriod)
		for _, from := range d.names {
			for _, to := range d.names {
				if to != from {
					d.deliver(from, to, d.hosts[from].Report(d.now, to, 0))
				}
			}
		}
	}
}

// fill starts tasks at name until it has to wait and returns their number.
func (d *domain) fill(name string) int {
	for n := 0; ; n++ {
		target, ok := d.hosts[name].Acquire(d.now, d.rng, nil)
		if !ok {
			return n
		}
		d.used[name] = append(d.used[name], target)
	}
}

// held returns the slots held of each target by the hosts named.
func (d *domain) held(names ...string) map[string]int {
	sum := map[string]int{}
	for _, name := range names {
		for target, n := range d.hosts[name].HeldByTarget() {
			sum[target] += n
		}
	}
	return sum
}

func everySlotOnce(targets int) map[string]int {
	m := map[string]int{}
	for i := range targets {
		m[fmt.Sprintf("t%d", i)] = slotsEach
	}
	return m
}

func TestIdleSlotsMoveToTheHostThatNeedsThem(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(1, 4, 6)
	d.pass(1)
	g.Expect(d.fill("h0")).To(Equal(12))
	d.flush("h0", 100)
	g.Expect(d.fill("h0")).To(Equal(36))
	g.Expect(d.held("h0")).To(Equal(everySlotOnce(6)))
}

func TestSlotsOfADeadPeerComeBackAfterItsLease(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(1, 3, 6)
	d.pass(1)
	d.cut["h2"] = true
	d.pass(4)
	g.Expect(d.held("h0", "h1")).NotTo(Equal(everySlotOnce(6)))
	d.pass(6)
	g.Expect(d.held("h0", "h1")).To(Equal(everySlotOnce(6)))
}

func TestAPeerThatWakesGivesUpWhatOthersTook(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(1, 3, 6)
	d.pass(1)
	d.cut["h2"] = true
	d.pass(24)
	d.cut["h2"] = false
	d.pass(60)
	g.Expect(d.held(d.names...)).To(Equal(everySlotOnce(6)))
}

func TestARefusedTargetIsLeftAloneForAWhile(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(1, 1, 1)
	tried := 0
	for range 200 { // one second
		if target, ok := d.hosts["h0"].Acquire(d.now, d.rng, nil); ok {
			tried++
			d.hosts["h0"].ReleaseRefused(d.now, target)
		}
		d.now = d.now.Add(5 * time.Millisecond)
	}
	g.Expect(tried).To(BeNumerically("<", 20))
}

// TestPartsAddUpAgain replays random tasks, loans, losses, cuts and restarts,
// then a calm time: every slot is held once.
func TestPartsAddUpAgain(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		d := newDomain(seed, 4, 5)
		for range 40 {
			name := d.names[d.rng.IntN(4)]
			switch d.rng.IntN(6) {
			case 0:
				d.lose = d.rng.IntN(3)
			case 1:
				d.cut[name] = !d.cut[name]
			case 2:
				d.boot(name, 5)
			case 3:
				d.pass(d.rng.IntN(12))
			default:
				d.fill(name)
				d.flush(name, d.rng.IntN(50))
			}
			for _, target := range d.used[name] {
				d.hosts[name].Release(target)
			}
			d.used[name] = nil
		}
		clear(d.cut)
		d.lose = 0
		d.pass(60)
		g.Expect(d.held(d.names...)).To(Equal(everySlotOnce(5)), "seed %d", seed)
	}
}
