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

// delayedAnswer is an answer on its way to a host.
type delayedAnswer struct {
	asker, answerer int
	start           uint64 // the asker's table, so that a restart drops the answer
	asked           time.Time
	delta           *membershippb.TargetDelta
}

// gossip is a few hosts that announce, ask, lose and delay answers, freeze and
// restart. It records what was truly received, to judge what the hosts believe.
type gossip struct {
	now      time.Time
	tables   uint64
	hosts    [propertyHosts]*Targets
	inFlight []delayedAnswer
	received map[string]time.Time // latest true receipt by target and incarnation
	left     [propertyHosts]map[string]uint64
	newest   [propertyHosts]map[string]Target
}

func newGossip() *gossip {
	s := &gossip{now: epoch, received: make(map[string]time.Time)}
	for i := range s.hosts {
		s.restart(i)
	}
	return s
}

func (s *gossip) restart(host int) {
	s.tables++
	s.hosts[host] = newTable(s.tables)
	s.left[host] = make(map[string]uint64)
	s.newest[host] = make(map[string]Target)
}

func (s *gossip) announce(t *rapid.T) {
	host := rapid.IntRange(0, propertyHosts-1).Draw(t, "host")
	name := fmt.Sprintf("t%d", rapid.IntRange(1, propertyTargets).Draw(t, "target"))
	incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	a := announcement(name, incarnation, rapid.IntRange(0, 4).Draw(t, "leaving") == 0)
	if s.hosts[host].Announce(s.now, a) == nil {
		s.received[fmt.Sprintf("%s.%d", name, incarnation)] = s.now
	}
}

func (s *gossip) ask(t *rapid.T) {
	asker := rapid.IntRange(0, propertyHosts-1).Draw(t, "asker")
	answerer := (asker + rapid.IntRange(1, propertyHosts-1).Draw(t, "answerer")) % propertyHosts
	asked := s.now
	cursor := s.hosts[asker].Cursor(fmt.Sprint(answerer))
	s.advance(t)
	s.inFlight = append(s.inFlight, delayedAnswer{
		asker:    asker,
		answerer: answerer,
		start:    s.hosts[asker].config.TableID,
		asked:    asked,
		delta:    s.hosts[answerer].Delta(s.now, cursor),
	})
}

// deliver merges any answer on its way, which may then come again.
func (s *gossip) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "answer")
	answer := s.inFlight[i]
	host := s.hosts[answer.asker]
	if host.config.TableID == answer.start {
		host.Merge(fmt.Sprint(answer.answerer), answer.asked, answer.delta)
	}
	if rapid.Bool().Draw(t, "once") {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
}

func (s *gossip) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (s *gossip) check(t *rapid.T) {
	for i, host := range s.hosts {
		s.checkKnown(t, i, host.All())
		for _, target := range host.Alive(s.now) {
			key := fmt.Sprintf("%s.%d", target.Target, target.Incarnation)
			if target.LeaseEndsAt.After(s.received[key].Add(lease)) {
				t.Fatalf("host %d extends the lease of %s beyond its last receipt", i, key)
			}
			if s.left[i][target.Target] >= target.Incarnation {
				t.Fatalf("host %d gives work to %s after it left", i, key)
			}
		}
	}
}

func (s *gossip) checkKnown(t *rapid.T, host int, all []Target) {
	newest := make(map[string]Target)
	left := make(map[string]uint64)
	for _, target := range all {
		newest[target.Target] = target
		before := s.newest[host][target.Target]
		if before.Incarnation > target.Incarnation {
			t.Fatalf("host %d went back to an older incarnation of %s", host, target.Target)
		}
		if before.Incarnation == target.Incarnation && before.LeaseEndsAt.After(target.LeaseEndsAt) {
			t.Fatalf("host %d cut the lease of %s short", host, target.Target)
		}
		left[target.Target] = s.left[host][target.Target]
		if target.Leaving {
			left[target.Target] = target.Incarnation
		}
	}
	s.newest[host], s.left[host] = newest, left
}

// converge lets every host ask every other without delay, twice, and expects
// one table everywhere.
func (s *gossip) converge(t *rapid.T) {
	for range 2 * propertyHosts {
		for i := range s.hosts {
			j := (i + 1) % propertyHosts
			ask(s.hosts[i], s.hosts[j], fmt.Sprint(j), s.now, s.now)
		}
	}
	want := fmt.Sprint(names(s.hosts[0].Alive(s.now)))
	for i, host := range s.hosts {
		got := host.Alive(s.now)
		if fmt.Sprint(names(got)) == want {
			continue
		}
		if !s.nearTheEnd(host) {
			t.Fatalf("host %d sees %v, host 0 sees %v", i, names(got), want)
		}
	}
}

// nearTheEnd reports whether a lease ends so soon that a host may not have
// been offered the last renewal.
func (s *gossip) nearTheEnd(host *Targets) bool {
	for _, target := range host.All() {
		if left := target.LeaseEndsAt.Sub(s.now).Abs(); left <= lease/relayLeaseDivisor+10*time.Millisecond {
			return true
		}
	}
	return false
}

func TestTargetsUnderLossDelayAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGossip()
		t.Repeat(map[string]func(*rapid.T){
			"announce": s.announce,
			"ask":      s.ask,
			"deliver":  s.deliver,
			"advance":  s.advance,
			"expire":   func(t *rapid.T) { s.hosts[rapid.IntRange(0, propertyHosts-1).Draw(t, "host")].Expire(s.now) },
			"restart":  func(t *rapid.T) { s.restart(rapid.IntRange(0, propertyHosts-1).Draw(t, "host")) },
			"":         s.check,
		})
		s.converge(t)
	})
}
