package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
)

// sharedDomain simulates a failure domain: several Cores start tasks on the same
// targets, which refuse starts when full. Messages between hosts arrive after 1 ms,
// or not at all while partitioned is set.
type sharedDomain struct {
	hosts         map[string]*simulator
	names         []string
	busySlots     map[string]int
	slotReleases  map[time.Time][]string
	refusedStarts int
	messages      int
	partitioned   bool
}

const slotsPerTarget = 8

func newSharedDomain(config dispatch.Config, hosts, targets int) *sharedDomain {
	s := &sharedDomain{hosts: map[string]*simulator{}, busySlots: map[string]int{}, slotReleases: map[time.Time][]string{}}
	for i := range hosts {
		s.names = append(s.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range s.names {
		config.Host = name
		sim := newSimulator(config, 0, 0)
		sim.core.SetPeers(sim.now, slices.DeleteFunc(slices.Clone(s.names), func(n string) bool { return n == name }))
		sim.announceTargets(targets, slotsPerTarget)
		sim.serve = func(start dispatch.Start) (dispatch.Outcome, time.Duration) { return s.serve(sim, start) }
		s.hosts[name] = sim
	}
	return s
}

func (s *sharedDomain) serve(sim *simulator, start dispatch.Start) (dispatch.Outcome, time.Duration) {
	if s.busySlots[start.Target] == slotsPerTarget {
		s.refusedStarts++
		return dispatch.NotStarted, 2 * time.Millisecond
	}
	s.busySlots[start.Target]++
	end := sim.now.Add(100 * time.Millisecond)
	s.slotReleases[end] = append(s.slotReleases[end], start.Target)
	return dispatch.Done, 101 * time.Millisecond
}

// advance moves the clocks of all hosts forward by d, with reports every 250 ms.
func (s *sharedDomain) advance(d time.Duration) {
	for range d / time.Millisecond {
		var messages []dispatch.OutgoingMessage
		from := map[int]string{}
		for _, name := range s.names {
			sim := s.hosts[name]
			for _, t := range sim.peerMessages {
				from[len(messages)] = name
				messages = append(messages, t)
			}
			sim.peerMessages = nil
			sim.advance(time.Millisecond)
			for _, target := range s.slotReleases[sim.now] {
				s.busySlots[target]--
			}
			delete(s.slotReleases, sim.now)
			if sim.now.UnixMilli()%250 == 0 {
				s.sendReports(name)
			}
		}
		for i, t := range messages {
			s.messages++
			s.deliver(from[i], t.To, t.Message)
		}
	}
}

func (s *sharedDomain) sendReports(name string) {
	for _, to := range s.names {
		if to != name {
			s.deliver(name, to, s.hosts[name].core.PeerReport(s.hosts[name].now, to))
		}
	}
}

func (s *sharedDomain) deliver(from, to string, m dispatch.PeerMessage) {
	if s.partitioned {
		return
	}
	sim := s.hosts[to]
	sim.core.Receive(sim.now, from, m)
	sim.applyEffects()
}

func (s *sharedDomain) starts() int {
	sum := 0
	for _, sim := range s.hosts {
		sum += sim.totalStarts()
	}
	return sum - s.refusedStarts
}

// TestHostsShareSlotsWithoutRefusals loads one of three hosts beyond its slot share,
// then all three: almost no start is refused and no slot stays idle.
func TestHostsShareSlotsWithoutRefusals(t *testing.T) {
	g := NewWithT(t)
	s := newSharedDomain(dispatch.DefaultConfig(), 3, 10)
	s.advance(time.Second)
	for range 4 {
		_, err := s.hosts["h0"].submit("a", "", 200, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.advance(500 * time.Millisecond)
	g.Expect(s.starts()).To(BeNumerically(">", 300), "a central queue would start 400")
	for _, name := range s.names {
		_, err := s.hosts[name].submit("a", "", 210, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.advance(4 * time.Second)
	g.Expect(s.starts()).To(Equal(800 + 630))
	g.Expect(s.refusedStarts).To(BeNumerically("<", 15))
	g.Expect(s.messages).To(BeNumerically("<", 50))
}

// TestQuotaHoldsAcrossHostsAndDuringPartition floods the hosts with jobs of one team:
// the tasks that run on all hosts together stay within its quota, also without
// messages between the hosts.
func TestQuotaHoldsAcrossHostsAndDuringPartition(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"a": {Quota: 12}}
	s := newSharedDomain(config, 3, 10)
	s.advance(time.Second)
	most := func(d time.Duration) int {
		most := 0
		for range d / time.Millisecond {
			s.advance(time.Millisecond)
			running := 0
			for _, b := range s.hosts {
				running += b.running["a"]
			}
			most = max(most, running)
		}
		return most
	}
	for range 5 {
		_, err := s.hosts["h0"].submit("a", "", 200, time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.advance(time.Second)
	g.Expect(most(time.Second)).To(Equal(8), "each of the other hosts keeps half of an equal share")
	for _, name := range []string{"h1", "h2"} {
		_, err := s.hosts[name].submit("a", "", 200, time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.advance(time.Second)
	g.Expect(most(time.Second)).To(And(BeNumerically(">=", 10), BeNumerically("<=", 12)))
	s.partitioned = true
	s.advance(2500 * time.Millisecond)
	g.Expect(most(time.Second)).To(Equal(12))
}
