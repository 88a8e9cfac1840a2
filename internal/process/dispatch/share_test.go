package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
)

// shared is a failure domain: several Cores on the same targets, which refuse
// when full. Messages between hosts arrive after 1 ms unless cut.
type shared struct {
	hosts    map[string]*bench
	names    []string
	busy     map[string]int
	frees    map[time.Time][]string
	refused  int
	messages int
	cut      bool
}

const sharedSlots = 8

func newShared(config dispatch.Config, hosts, targets int) *shared {
	s := &shared{hosts: map[string]*bench{}, busy: map[string]int{}, frees: map[time.Time][]string{}}
	for i := range hosts {
		s.names = append(s.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range s.names {
		config.Host = name
		b := newBench(config, 0, 0)
		b.core.SetPeers(b.now, slices.DeleteFunc(slices.Clone(s.names), func(n string) bool { return n == name }))
		b.announce(targets, sharedSlots)
		b.serve = func(start dispatch.Start) (dispatch.Outcome, time.Duration) { return s.serve(b, start) }
		s.hosts[name] = b
	}
	return s
}

func (s *shared) serve(b *bench, start dispatch.Start) (dispatch.Outcome, time.Duration) {
	if s.busy[start.Target] == sharedSlots {
		s.refused++
		return dispatch.NotStarted, 2 * time.Millisecond
	}
	s.busy[start.Target]++
	end := b.now.Add(100 * time.Millisecond)
	s.frees[end] = append(s.frees[end], start.Target)
	return dispatch.Done, 101 * time.Millisecond
}

// pass lets time go by, with reports every 250 ms.
func (s *shared) pass(d time.Duration) {
	for range d / time.Millisecond {
		var tells []dispatch.OutgoingMessage
		from := map[int]string{}
		for _, name := range s.names {
			b := s.hosts[name]
			for _, t := range b.tells {
				from[len(tells)] = name
				tells = append(tells, t)
			}
			b.tells = nil
			b.pass(time.Millisecond)
			for _, target := range s.frees[b.now] {
				s.busy[target]--
			}
			delete(s.frees, b.now)
			if b.now.UnixMilli()%250 == 0 {
				s.report(name)
			}
		}
		for i, t := range tells {
			s.messages++
			s.deliver(from[i], t.To, t.Message)
		}
	}
}

func (s *shared) report(name string) {
	for _, to := range s.names {
		if to != name {
			s.deliver(name, to, s.hosts[name].core.PeerReport(s.hosts[name].now, to))
		}
	}
}

func (s *shared) deliver(from, to string, m dispatch.PeerMessage) {
	if s.cut {
		return
	}
	b := s.hosts[to]
	b.core.Receive(b.now, from, m)
	b.take()
}

func (s *shared) starts() int {
	sum := 0
	for _, b := range s.hosts {
		sum += b.totalStarts()
	}
	return sum - s.refused
}

// TestHostsShareSlotsWithoutRefusals loads one of three hosts with more than
// its part, then all of them: nearly no start is refused and no slot idles.
func TestHostsShareSlotsWithoutRefusals(t *testing.T) {
	g := NewWithT(t)
	s := newShared(dispatch.DefaultConfig(), 3, 10)
	s.pass(time.Second)
	for range 4 {
		_, err := s.hosts["h0"].submit("a", "", 200, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.pass(500 * time.Millisecond)
	g.Expect(s.starts()).To(BeNumerically(">", 300), "of 400 that a central queue would start")
	for _, name := range s.names {
		_, err := s.hosts[name].submit("a", "", 210, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.pass(4 * time.Second)
	g.Expect(s.starts()).To(Equal(800 + 630))
	g.Expect(s.refused).To(BeNumerically("<", 15))
	g.Expect(s.messages).To(BeNumerically("<", 50))
}

// TestAQuotaHoldsAcrossHostsAndThroughACut floods all hosts with one team.
func TestAQuotaHoldsAcrossHostsAndThroughACut(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"a": {Quota: 12}}
	s := newShared(config, 3, 10)
	s.pass(time.Second)
	most := func(d time.Duration) int {
		most := 0
		for range d / time.Millisecond {
			s.pass(time.Millisecond)
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
	s.pass(time.Second)
	g.Expect(most(time.Second)).To(Equal(8), "half of an equal part stays with each of the others")
	for _, name := range []string{"h1", "h2"} {
		_, err := s.hosts[name].submit("a", "", 200, time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.pass(time.Second)
	g.Expect(most(time.Second)).To(And(BeNumerically(">=", 10), BeNumerically("<=", 12)))
	s.cut = true
	s.pass(2500 * time.Millisecond)
	g.Expect(most(time.Second)).To(Equal(12))
}
