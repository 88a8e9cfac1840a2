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

// policyGroup connects the policies of a domain's hosts without delay. A disconnected host
// receives and sends nothing.
type policyGroup struct {
	now            time.Time
	rng            *rand.Rand
	hosts          map[string]*slots.DemandPolicy
	names          []string
	disconnected   map[string]bool
	usedTargets    map[string][]string // by host; a target is listed once for each slot in use
	messagesToLose int                 // the number of next messages that are lost
}

func newPolicyGroup(seed uint64, hosts, targets int) *policyGroup {
	d := &policyGroup{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 2)), disconnected: map[string]bool{},
		hosts: map[string]*slots.DemandPolicy{}, usedTargets: map[string][]string{}}
	for i := range hosts {
		d.names = append(d.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range d.names {
		d.restart(name, targets)
	}
	return d
}

// restart starts a host without state.
func (d *policyGroup) restart(name string, targets int) {
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Name: fmt.Sprintf("t%d", i), Slots: slotsPerTarget})
	}
	p := slots.NewDemandPolicy(demandConfig(name, true, 1))
	p.SetPeers(d.now, slices.DeleteFunc(slices.Clone(d.names), func(n string) bool { return n == name }))
	p.SetTargets(d.now, list)
	d.hosts[name], d.usedTargets[name] = p, nil
}

func (d *policyGroup) deliver(from, to string, m slots.Message) {
	if d.messagesToLose > 0 {
		d.messagesToLose--
		return
	}
	if !d.disconnected[from] && !d.disconnected[to] {
		d.hosts[to].Receive(d.now, from, m)
	}
}

// exchangeMessages exchanges the due messages for 50 ms, with queued tasks waiting at name.
func (d *policyGroup) exchangeMessages(name string, queued int) {
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

// exchangeReports exchanges reports for the given number of periods.
func (d *policyGroup) exchangeReports(periods int) {
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

// acquireAll acquires slots at name until none is left and returns their number.
func (d *policyGroup) acquireAll(name string) int {
	for n := 0; ; n++ {
		target, ok := d.hosts[name].Acquire(d.now, d.rng, nil)
		if !ok {
			return n
		}
		d.usedTargets[name] = append(d.usedTargets[name], target)
	}
}

// heldSlots returns the number of slots of each target that the named hosts hold together.
func (d *policyGroup) heldSlots(names ...string) map[string]int {
	sum := map[string]int{}
	for _, name := range names {
		for target, n := range d.hosts[name].HeldByTarget() {
			sum[target] += n
		}
	}
	return sum
}

func everySlotHeldOnce(targets int) map[string]int {
	m := map[string]int{}
	for i := range targets {
		m[fmt.Sprintf("t%d", i)] = slotsPerTarget
	}
	return m
}

func TestIdleSlotsMoveToTheHostThatNeedsThem(t *testing.T) {
	g := NewWithT(t)
	d := newPolicyGroup(1, 4, 6)
	d.exchangeReports(1)
	g.Expect(d.acquireAll("h0")).To(Equal(12))
	d.exchangeMessages("h0", 100)
	g.Expect(d.acquireAll("h0")).To(Equal(36))
	g.Expect(d.heldSlots("h0")).To(Equal(everySlotHeldOnce(6)))
}

func TestSlotsOfADeadPeerAreRedistributedAfterItsLease(t *testing.T) {
	g := NewWithT(t)
	d := newPolicyGroup(1, 3, 6)
	d.exchangeReports(1)
	d.disconnected["h2"] = true
	d.exchangeReports(4)
	g.Expect(d.heldSlots("h0", "h1")).NotTo(Equal(everySlotHeldOnce(6)))
	d.exchangeReports(6)
	g.Expect(d.heldSlots("h0", "h1")).To(Equal(everySlotHeldOnce(6)))
}

func TestAReconnectedPeerGivesUpSlotsThatOthersTookOver(t *testing.T) {
	g := NewWithT(t)
	d := newPolicyGroup(1, 3, 6)
	d.exchangeReports(1)
	d.disconnected["h2"] = true
	d.exchangeReports(24)
	d.disconnected["h2"] = false
	d.exchangeReports(60)
	g.Expect(d.heldSlots(d.names...)).To(Equal(everySlotHeldOnce(6)))
}

func TestATargetIsPausedAfterARefusal(t *testing.T) {
	g := NewWithT(t)
	d := newPolicyGroup(1, 1, 1)
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

// Random tasks, loans, message losses, disconnections and restarts are followed by a time
// without faults, after which every slot is held exactly once.
func TestEverySlotIsHeldOnceAfterFaults(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		d := newPolicyGroup(seed, 4, 5)
		for range 40 {
			name := d.names[d.rng.IntN(4)]
			switch d.rng.IntN(6) {
			case 0:
				d.messagesToLose = d.rng.IntN(3)
			case 1:
				d.disconnected[name] = !d.disconnected[name]
			case 2:
				d.restart(name, 5)
			case 3:
				d.exchangeReports(d.rng.IntN(12))
			default:
				d.acquireAll(name)
				d.exchangeMessages(name, d.rng.IntN(50))
			}
			for _, target := range d.usedTargets[name] {
				d.hosts[name].Release(target)
			}
			d.usedTargets[name] = nil
		}
		clear(d.disconnected)
		d.messagesToLose = 0
		d.exchangeReports(60)
		g.Expect(d.heldSlots(d.names...)).To(Equal(everySlotHeldOnce(5)), "seed %d", seed)
	}
}
