package fleet

import (
	"context"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

const (
	// forgetTarget is how long a target without announcements is remembered:
	// several of its intervals, as an unreachable one may come back.
	forgetTarget = 30 * time.Second
	// passOnTimeout bounds the passing on of an announcement; the next one
	// makes good a lost one.
	passOnTimeout = 500 * time.Millisecond
	// gatherFor is how long announcements wait for others to the same hosts. A
	// target that drains serves on for seconds.
	gatherFor = 200 * time.Millisecond
	passRing  = 512 // announcements that wait to be passed on; more than all targets send in a second
)

// beats remembers the newest announcement of each target.
type beats struct {
	mu   sync.Mutex
	byID map[string]Announcement
}

func newBeats() *beats { return &beats{byID: map[string]Announcement{}} }

// learn takes an announcement in and reports whether it is news.
func (b *beats) learn(a Announcement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byID[a.Target.ID]
	if ok && !a.newer(known) {
		return false
	}
	b.byID[a.Target.ID] = a
	return true
}

// list returns what was announced within the last seconds, and forgets the rest.
func (b *beats) list(now time.Time) []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Announcement
	for id, a := range b.byID {
		if now.Sub(a.ReceivedAt) > forgetTarget {
			delete(b.byID, id)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (b *beats) get(id string) (Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.byID[id]
	return a, ok
}

// Announce takes in what a target said of itself to this host, and passes it on
// to the entry hosts of the target's domain.
func (n *Node) Announce(a Announcement) {
	if known, ok := n.beats.get(a.Target.ID); !n.beats.learn(a) {
		n.log.Info("An outdated announcement was ignored.", "target", a.Target.ID, "born", a.Target.Incarnation, "sequence", a.Sequence)
		return
	} else if !ok || known.Target.Draining != a.Target.Draining || known.Target.Incarnation != a.Target.Incarnation || a.Deregistered {
		n.log.Info("A target announced itself.", "target", a.Target.ID, "domain", a.Target.Domain, "born", a.Target.Incarnation,
			"sequence", a.Sequence, "draining", a.Target.Draining, "gone", a.Deregistered)
	}
	n.tellPools(a)
	select {
	case n.toPassOn <- a:
	default:
		n.log.Warn("An announcement was not passed on.", "target", a.Target.ID, "reason", "too many wait")
	}
}

// passOn sends announcements on until ctx is cancelled, those of a short while
// in one message to each host: in a large domain a message for each would be
// most of what its hosts do.
func (n *Node) passOn(ctx context.Context) error {
	for {
		var waiting []Announcement
		select {
		case <-ctx.Done():
			return nil
		case a := <-n.toPassOn:
			waiting = append(waiting, a)
		}
		gather := time.After(n.gatherTime())
		for gathering := true; gathering; {
			select {
			case <-ctx.Done():
				return nil
			case a := <-n.toPassOn:
				waiting = append(waiting, a)
			case <-gather:
				gathering = false
			}
		}
		n.sendOn(waiting)
	}
}

// gatherTime returns how long announcements wait for others. Where there are few
// hosts they do not.
func (n *Node) gatherTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.few() {
		return 0
	}
	return gatherFor
}

func (n *Node) sendOn(waiting []Announcement) {
	now := time.Now()
	hosts := n.Hosts()
	messages := map[string]*fleetpb.Announcements{} // by address
	for _, a := range waiting {
		one := announcementMessage(a, now)
		for _, h := range n.announceTo(a.Target, hosts) {
			m := messages[h.Address]
			if m == nil {
				m = &fleetpb.Announcements{}
				messages[h.Address] = m
			}
			m.Announcements = append(m.Announcements, one)
		}
	}
	for address, m := range messages {
		link, ok := n.link(address)
		if !ok {
			continue
		}
		n.group.Go(func() error {
			ctx, cancel := context.WithTimeout(n.running, passOnTimeout)
			defer cancel()
			if _, err := fleetpb.NewFleetClient(link).Announce(ctx, m); err != nil {
				n.log.Warn("Announcements were not passed on.", "count", len(m.GetAnnouncements()),
					"target", m.GetAnnouncements()[0].GetId(), "peer", address, "error", err)
			}
			return nil
		})
	}
}

// announceTo returns those of the hosts to tell of a target: the entry hosts of its
// domain and the holder of its pool, or all entry hosts if there is none.
func (n *Node) announceTo(t scheduler.Target, hosts []discovery.Host) []discovery.Host {
	var own, all []discovery.Host
	holder, _ := n.holderOf(n.poolOf(t.ID, t.Domain).String())
	for _, h := range hosts {
		if !h.Entry {
			continue
		}
		all = append(all, h)
		if h.Domain == t.Domain || h.Address == holder {
			own = append(own, h)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// DeregisterTarget takes in that a target deregistered.
func (n *Node) DeregisterTarget(id string) {
	a, ok := n.beats.get(id)
	if !ok || a.Deregistered {
		return
	}
	a.Deregistered = true
	a.ReceivedAt = time.Now()
	n.Announce(a)
}
