package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
)

const (
	propertyHosts   = 3
	propertyTargets = 2
)

// delayedResponse is a response in flight to a host.
type delayedResponse struct {
	sender, responder int
	senderTable       uint64 // the sender's table at the request; a restart drops the response
	sentAt            time.Time
	delta             *membershippb.TargetDelta
}

// gossipModel is a few hosts that receive announcements, send requests, lose and
// delay responses, freeze and restart. It records when each announcement was
// really received, to check the tables of the hosts against it.
type gossipModel struct {
	now              time.Time
	lastTable        uint64
	hosts            [propertyHosts]*Targets
	inFlight         []delayedResponse
	lastReceivedAt   map[string]time.Time // latest real receipt by target and incarnation
	leftIncarnations [propertyHosts]map[string]uint64
	lastSeen         [propertyHosts]map[string]Target
}

func newGossipModel() *gossipModel {
	s := &gossipModel{now: epoch, lastReceivedAt: make(map[string]time.Time)}
	for i := range s.hosts {
		s.restart(i)
	}
	return s
}

func (s *gossipModel) restart(host int) {
	s.lastTable++
	s.hosts[host] = newTable(s.lastTable)
	s.leftIncarnations[host] = make(map[string]uint64)
	s.lastSeen[host] = make(map[string]Target)
}

func (s *gossipModel) announce(t *rapid.T) {
	host := rapid.IntRange(0, propertyHosts-1).Draw(t, "host")
	name := fmt.Sprintf("t%d", rapid.IntRange(1, propertyTargets).Draw(t, "target"))
	incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	a := announcement(name, incarnation, rapid.IntRange(0, 4).Draw(t, "leaving") == 0)
	if s.hosts[host].Announce(s.now, a) == nil {
		s.lastReceivedAt[fmt.Sprintf("%s.%d", name, incarnation)] = s.now
	}
}

func (s *gossipModel) request(t *rapid.T) {
	sender := rapid.IntRange(0, propertyHosts-1).Draw(t, "asker")
	responder := (sender + rapid.IntRange(1, propertyHosts-1).Draw(t, "answerer")) % propertyHosts
	sentAt := s.now
	cursor := s.hosts[sender].Cursor(fmt.Sprint(responder))
	s.advance(t)
	s.inFlight = append(s.inFlight, delayedResponse{
		sender:      sender,
		responder:   responder,
		senderTable: s.hosts[sender].config.TableID,
		sentAt:      sentAt,
		delta:       s.hosts[responder].Delta(s.now, cursor),
	})
}

// deliver merges one of the responses in flight, which may be delivered again.
func (s *gossipModel) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "answer")
	response := s.inFlight[i]
	host := s.hosts[response.sender]
	if host.config.TableID == response.senderTable {
		host.Merge(fmt.Sprint(response.responder), response.sentAt, response.delta)
	}
	if rapid.Bool().Draw(t, "once") {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
}

func (s *gossipModel) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (s *gossipModel) checkInvariants(t *rapid.T) {
	for i, host := range s.hosts {
		s.checkNeverReverts(t, i, host.All())
		for _, target := range host.Alive(s.now) {
			key := fmt.Sprintf("%s.%d", target.Target, target.Incarnation)
			if target.LeaseEndsAt.After(s.lastReceivedAt[key].Add(leaseDuration)) {
				t.Fatalf("host %d extends the lease of %s beyond its last receipt", i, key)
			}
			if s.leftIncarnations[i][target.Target] >= target.Incarnation {
				t.Fatalf("host %d reports %s alive after it announced that it is leaving", i, key)
			}
		}
	}
}

func (s *gossipModel) checkNeverReverts(t *rapid.T, host int, all []Target) {
	newest := make(map[string]Target)
	left := make(map[string]uint64)
	for _, target := range all {
		newest[target.Target] = target
		before := s.lastSeen[host][target.Target]
		if before.Incarnation > target.Incarnation {
			t.Fatalf("host %d reverted to an older incarnation of %s", host, target.Target)
		}
		if before.Incarnation == target.Incarnation && before.LeaseEndsAt.After(target.LeaseEndsAt) {
			t.Fatalf("host %d shortened the lease of %s", host, target.Target)
		}
		left[target.Target] = s.leftIncarnations[host][target.Target]
		if target.Leaving {
			left[target.Target] = target.Incarnation
		}
	}
	s.lastSeen[host], s.leftIncarnations[host] = newest, left
}

// checkConvergence lets each host send requests to the next host in a circle
// without delay, often enough for every change to go round twice, and expects the
// same targets alive at all hosts.
func (s *gossipModel) checkConvergence(t *rapid.T) {
	for range 2 * propertyHosts {
		for i := range s.hosts {
			j := (i + 1) % propertyHosts
			request(s.hosts[i], s.hosts[j], fmt.Sprint(j), s.now, s.now)
		}
	}
	want := fmt.Sprint(names(s.hosts[0].Alive(s.now)))
	for i, host := range s.hosts {
		got := host.Alive(s.now)
		if fmt.Sprint(names(got)) == want {
			continue
		}
		if !s.nearLeaseEnd(host) {
			t.Fatalf("host %d sees %v, host 0 sees %v", i, names(got), want)
		}
	}
}

// nearLeaseEnd reports whether a lease ends, or ended, within the least renewal
// that hosts relay. The last renewal may then not have been offered to a host.
func (s *gossipModel) nearLeaseEnd(host *Targets) bool {
	for _, target := range host.All() {
		if remaining := target.LeaseEndsAt.Sub(s.now).Abs(); remaining <= leaseDuration/relayLeaseDivisor+10*time.Millisecond {
			return true
		}
	}
	return false
}

func TestTargetsUnderLossDelayAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGossipModel()
		t.Repeat(map[string]func(*rapid.T){
			"announce": s.announce,
			"ask":      s.request,
			"deliver":  s.deliver,
			"advance":  s.advance,
			"expire":   func(t *rapid.T) { s.hosts[rapid.IntRange(0, propertyHosts-1).Draw(t, "host")].Expire(s.now) },
			"restart":  func(t *rapid.T) { s.restart(rapid.IntRange(0, propertyHosts-1).Draw(t, "host")) },
			"":         s.checkInvariants,
		})
		s.checkConvergence(t)
	})
}
