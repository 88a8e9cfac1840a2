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
	// forgetTargetAfter is how long a target without announcements is remembered:
	// several of its intervals, as an unreachable one may come back.
	forgetTargetAfter = 30 * time.Second
	// forwardTimeout bounds the passing on of an announcement; the next one
	// makes good a lost one.
	forwardTimeout = 500 * time.Millisecond
	// maxBatchDelay is how long announcements wait for others to the same hosts. A
	// target that drains serves on for seconds.
	maxBatchDelay = 200 * time.Millisecond
	forwardRing   = 512 // announcements that wait to be passed on; more than all targets send in a second
)

// announcementTable remembers the newest announcement of each target.
type announcementTable struct {
	mu   sync.Mutex
	byID map[string]Announcement
}

func newAnnouncementTable() *announcementTable {
	return &announcementTable{byID: map[string]Announcement{}}
}

// record takes an announcement in and reports whether it is news.
func (b *announcementTable) record(a Announcement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byID[a.Target.ID]
	if ok && !a.isNewerThan(known) {
		return false
	}
	b.byID[a.Target.ID] = a
	return true
}

// recent returns what was announced within the last seconds, and forgets the rest.
func (b *announcementTable) recent(now time.Time) []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Announcement
	for id, a := range b.byID {
		if now.Sub(a.ReceivedAt) > forgetTargetAfter {
			delete(b.byID, id)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (b *announcementTable) get(id string) (Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.byID[id]
	return a, ok
}

// Announce takes in what a target said of itself to this host, and passes it on
// to the entry hosts of the target's domain.
func (n *Node) Announce(a Announcement) {
	if known, ok := n.announcements.get(a.Target.ID); !n.announcements.record(a) {
		n.log.Info("An outdated announcement was ignored.", "target", a.Target.ID, "born", a.Target.Incarnation, "sequence", a.Sequence)
		return
	} else if !ok || known.Target.Draining != a.Target.Draining || known.Target.Incarnation != a.Target.Incarnation || a.Deregistered {
		n.log.Info("A target announced itself.", "target", a.Target.ID, "domain", a.Target.Domain, "born", a.Target.Incarnation,
			"sequence", a.Sequence, "draining", a.Target.Draining, "gone", a.Deregistered)
	}
	n.postToPools(a)
	select {
	case n.toForward <- a:
	default:
		n.log.Warn("An announcement was not passed on.", "target", a.Target.ID, "reason", "too many wait")
	}
}

// forwardAnnouncements sends announcements on until ctx is cancelled, those of a short while
// in one message to each host: in a large domain a message for each would be
// most of what its hosts do.
func (n *Node) forwardAnnouncements(ctx context.Context) error {
	for {
		var batch []Announcement
		select {
		case <-ctx.Done():
			return nil
		case a := <-n.toForward:
			batch = append(batch, a)
		}
		batchEnd := time.After(n.batchDelay())
		for collecting := true; collecting; {
			select {
			case <-ctx.Done():
				return nil
			case a := <-n.toForward:
				batch = append(batch, a)
			case <-batchEnd:
				collecting = false
			}
		}
		n.sendAnnouncements(batch)
	}
}

// batchDelay returns how long announcements wait for others. Where there are few
// hosts they do not.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isSmallSystem() {
		return 0
	}
	return maxBatchDelay
}

func (n *Node) sendAnnouncements(batch []Announcement) {
	now := time.Now()
	hosts := n.Hosts()
	messages := map[string]*fleetpb.Announcements{} // by address
	for _, a := range batch {
		message := announcementMessage(a, now)
		for _, h := range n.announcementReceivers(a.Target, hosts) {
			m := messages[h.Address]
			if m == nil {
				m = &fleetpb.Announcements{}
				messages[h.Address] = m
			}
			m.Announcements = append(m.Announcements, message)
		}
	}
	for address, m := range messages {
		link, ok := n.link(address)
		if !ok {
			continue
		}
		n.group.Go(func() error {
			ctx, cancel := context.WithTimeout(n.runCtx, forwardTimeout)
			defer cancel()
			if _, err := fleetpb.NewFleetClient(link).Announce(ctx, m); err != nil {
				n.log.Warn("Announcements were not passed on.", "count", len(m.GetAnnouncements()),
					"target", m.GetAnnouncements()[0].GetId(), "peer", address, "error", err)
			}
			return nil
		})
	}
}

// announcementReceivers returns those of the hosts to tell of a target: the entry hosts of its
// domain and the holder of its pool, or all entry hosts if there is none.
func (n *Node) announcementReceivers(t scheduler.Target, hosts []discovery.Host) []discovery.Host {
	var preferred, entryHosts []discovery.Host
	holderAddress, _ := n.holderOf(n.poolOfTarget(t.ID, t.Domain).String())
	for _, h := range hosts {
		if !h.Entry {
			continue
		}
		entryHosts = append(entryHosts, h)
		if h.Domain == t.Domain || h.Address == holderAddress {
			preferred = append(preferred, h)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return entryHosts
}

// DeregisterTarget takes in that a target deregistered.
func (n *Node) DeregisterTarget(id string) {
	a, ok := n.announcements.get(id)
	if !ok || a.Deregistered {
		return
	}
	a.Deregistered = true
	a.ReceivedAt = time.Now()
	n.Announce(a)
}
