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
	// several announcement intervals, as an unreachable target may come back.
	forgetTargetAfter     = 30 * time.Second
	forgottenDropInterval = time.Second // between looks for sessions of forgotten targets
	// forwardTimeout bounds telling another host of announcements or losses. The next
	// announcement makes up for a lost one.
	forwardTimeout = 500 * time.Millisecond
	// maxBatchDelay is how long announcements wait to be sent to the same hosts in one
	// message. This is short beside the seconds for which a draining target keeps
	// serving.
	maxBatchDelay = 200 * time.Millisecond
	// maxAnnouncements bounds the memory for announcements, each of up to 5 KB: four for each
	// worker of the largest deployment.
	maxAnnouncements = 8192
	evictionSample   = 16  // announcements of which the oldest is dropped where another has no room
	forwardRing      = 512 // announcements that wait to be forwarded; more than all targets send in a second
)

// announcementTable holds the newest announcement of each target.
type announcementTable struct {
	mu   sync.Mutex
	byID map[string]Announcement
}

func newAnnouncementTable() *announcementTable {
	return &announcementTable{byID: map[string]Announcement{}}
}

// record stores an announcement and reports whether it is newer than the stored one, or that
// one was received so long ago that it is forgotten.
func (t *announcementTable) record(a Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.byID[a.Target.ID]
	if ok && !a.isNewerThan(known) && a.ReceivedAt.Sub(known.ReceivedAt) <= forgetTargetAfter {
		return false
	}
	if !ok && len(t.byID) >= maxAnnouncements {
		t.evictLocked()
	}
	t.byID[a.Target.ID] = a
	return true
}

// evictLocked drops the oldest of a random sample of announcements: true targets announce
// themselves again and again. The caller holds the lock.
func (t *announcementTable) evictLocked() {
	oldest, seen := "", 0
	for id, a := range t.byID { // begins at a random entry
		if seen == 0 || a.ReceivedAt.Before(t.byID[oldest].ReceivedAt) {
			oldest = id
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(t.byID, oldest)
}

// recent returns the announcements received within forgetTargetAfter and drops the
// others.
func (t *announcementTable) recent(now time.Time) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Announcement
	for id, a := range t.byID {
		if now.Sub(a.ReceivedAt) > forgetTargetAfter {
			delete(t.byID, id)
			continue
		}
		out = append(out, a)
	}
	return out
}

// smallestCapacity returns the least of each resource that a target of a service has announced,
// and of the given capacity.
func (t *announcementTable) smallestCapacity(service string, smallest scheduler.Resources) scheduler.Resources {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.byID {
		if a.Target.Service == service {
			smallest = smallest.Min(a.Target.Capacity)
		}
	}
	return smallest
}

func (t *announcementTable) get(id string) (Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byID[id]
	return a, ok
}

// Announce records an announcement that a target sent to this host and forwards it to
// the entry hosts of the target's domain.
func (n *Node) Announce(a Announcement) {
	known, ok := n.announcements.get(a.Target.ID)
	if !n.announcements.record(a) {
		n.log.Info("An outdated announcement was ignored.", "target", a.Target.ID, "born", a.Target.Incarnation, "sequence", a.Sequence)
		return
	} else if !ok || known.Target.Draining != a.Target.Draining || known.Target.Incarnation != a.Target.Incarnation || known.Deregistered != a.Deregistered {
		n.log.Info("A target announced itself.", "target", a.Target.ID, "domain", a.Target.Domain, "born", a.Target.Incarnation,
			"sequence", a.Sequence, "draining", a.Target.Draining, "gone", a.Deregistered)
	}
	n.postToPools(a)
	if isNotice(a, known, ok) {
		n.sendNotice(a)
		return
	}
	select {
	case n.toForward <- a:
	default:
		n.log.Warn("An announcement was not forwarded.", "target", a.Target.ID, "reason", "too many announcements wait")
	}
}

// forwardAnnouncements sends announcements to other hosts until ctx is cancelled.
// Announcements that arrive within one batchDelay go to each host in one message: in a
// large domain, one message for each announcement would be most of the work of its hosts.
func (n *Node) forwardAnnouncements(ctx context.Context) error {
	for {
		batch := collectBatch(ctx, n.toForward, n.batchDelay)
		if batch == nil {
			return nil
		}
		n.sendAnnouncements(batch)
	}
}

// collectBatch waits for an entry and returns it with those that follow within the delay,
// or nil once ctx is cancelled.
func collectBatch[T any](ctx context.Context, entries <-chan T, delay func() time.Duration) []T {
	var batch []T
	select {
	case <-ctx.Done():
		return nil
	case e := <-entries:
		batch = append(batch, e)
	}
	batchEnd := time.After(delay())
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-entries:
			batch = append(batch, e)
		case <-batchEnd:
			return batch
		}
	}
}

// batchDelay returns how long announcements wait to be sent together: not at all in a
// small system.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isSmallSystem() {
		return 0
	}
	return maxBatchDelay
}

func (n *Node) sendAnnouncements(batch []Announcement) {
	now := n.now()
	hosts := n.Hosts()
	messages := map[string]*fleetpb.Announcements{} // by address
	for _, a := range batch {
		message := announcementMessage(a, now)
		for _, h := range n.announcementReceivers(a.Target, hosts) {
			m := messages[h.Address]
			if m == nil {
				m = &fleetpb.Announcements{MadeAtMs: n.clockOf(h.Address, now)}
				messages[h.Address] = m
			}
			m.Announcements = append(m.Announcements, message)
		}
	}
	for address, m := range messages {
		n.sendLater(address, func(ctx context.Context, client fleetpb.FleetClient) {
			if _, err := client.Announce(ctx, m); err != nil {
				n.log.Warn("Announcements were not forwarded.", "count", len(m.GetAnnouncements()),
					"target", m.GetAnnouncements()[0].GetId(), "peer", address, "error", err)
			}
		})
	}
}

// sendLater sends a message to another host, concurrently and within forwardTimeout. It
// does nothing if the host is not known.
func (n *Node) sendLater(address string, send func(context.Context, fleetpb.FleetClient)) {
	link, ok := n.link(address)
	if !ok {
		return
	}
	n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(n.runCtx, forwardTimeout)
		defer cancel()
		send(ctx, fleetpb.NewFleetClient(link))
		return nil
	})
}

// announcementReceivers returns those of the hosts that get a target's announcements:
// the entry hosts of its domain and the holder of its pool, or all entry hosts if
// there is none of these.
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

// DeregisterTarget records that a target deregistered and forwards this to the entry
// hosts. An unknown target is ignored. The request names no incarnation and may come late,
// so the target may be in use: it is used again if it goes on announcing itself.
func (n *Node) DeregisterTarget(id string) {
	a, ok := n.announcements.get(id)
	if !ok || a.Deregistered {
		return
	}
	a.Deregistered = true
	a.ReceivedAt = n.now()
	n.Announce(a)
}
