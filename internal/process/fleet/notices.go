package fleet

import (
	"context"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
)

// A notice is the first announcement of a target that it is draining or gone. The target's
// callers are promised that soon after its acknowledgement no task starts there, so it is
// sent to another host until that host has confirmed it.

const (
	// noticeTimeout bounds one try to send notices. Two tries without an answer replace the
	// link, so a silent connection delays a notice by a third of the promised time.
	noticeTimeout    = 300 * time.Millisecond
	noticeRetryDelay = 100 * time.Millisecond // after a try
	// maxNoticeAge is how long a notice is sent. The target's announcements follow it.
	maxNoticeAge = 5 * time.Second
	// noticeHostWindow is how long ago a host that is sent notices was heard from: long
	// enough for two rare hello messages over a silent connection.
	noticeHostWindow = 2 * hostListWindow
)

// isNotice reports whether an announcement is a notice, given the one that was known of its
// target before.
func isNotice(a, known Announcement, isKnown bool) bool {
	same := isKnown && known.Target.Incarnation == a.Target.Incarnation
	return a.Deregistered && !(same && known.Deregistered) ||
		a.Target.Draining && !(same && known.Target.Draining)
}

// noticeTable holds the notices that other hosts have not confirmed. It is safe for
// concurrent use.
type noticeTable struct {
	mu     sync.Mutex
	byHost map[string]map[string]Announcement // by address and target
}

func newNoticeTable() *noticeTable { return &noticeTable{byHost: map[string]map[string]Announcement{}} }

// add adds a notice for a host. It reports whether the host had none.
func (t *noticeTable) add(address string, a Announcement) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost[address] == nil {
		first = true
		t.byHost[address] = map[string]Announcement{}
	}
	t.byHost[address][a.Target.ID] = a
	return first
}

// unconfirmed returns a host's notices, after it has dropped those that are too old, and how
// many it has dropped.
func (t *noticeTable) unconfirmed(address string, now time.Time) (notices []Announcement, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.byHost[address] {
		if now.Sub(a.ReceivedAt) > maxNoticeAge {
			delete(t.byHost[address], id)
			dropped++
			continue
		}
		notices = append(notices, a)
	}
	if len(notices) == 0 {
		delete(t.byHost, address)
	}
	return notices, dropped
}

// confirm removes a host's notices, except those that a newer one of the target replaced.
func (t *noticeTable) confirm(address string, notices []Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range notices {
		if latest := t.byHost[address][a.Target.ID]; !latest.isNewerThan(a) {
			delete(t.byHost[address], a.Target.ID)
		}
	}
}

// sendNotice sends a notice to the hosts that may start tasks on its target.
func (n *Node) sendNotice(a Announcement) {
	for _, h := range n.announcementReceivers(a.Target, n.hostsHeardWithin(noticeHostWindow)) {
		if n.notices.add(h.Address, a) {
			n.group.Go(func() error { n.sendNoticesTo(h.Address); return nil })
		}
	}
}

// sendNoticesTo sends a host its notices until it has confirmed all that are not too old.
func (n *Node) sendNoticesTo(address string) {
	for tries := 1; ; tries++ {
		now := n.now()
		notices, dropped := n.notices.unconfirmed(address, now)
		if dropped > 0 {
			n.log.Warn("Notices were not confirmed.", "count", dropped, "peer", address, "tries", tries-1)
		}
		if len(notices) == 0 {
			return
		}
		err := n.tryNotices(address, notices, now)
		if err == nil {
			n.notices.confirm(address, notices)
			if tries > 1 {
				n.log.Info("Notices were confirmed late.", "count", len(notices), "target", notices[0].Target.ID, "peer", address,
					"tries", tries, "age", n.since(notices[0].ReceivedAt))
			}
			tries = 0
			continue
		}
		select {
		case <-n.runCtx.Done():
			return
		case <-time.After(noticeRetryDelay):
		}
	}
}

func (n *Node) tryNotices(address string, notices []Announcement, now time.Time) error {
	link, ok := n.link(address)
	if !ok {
		return nil // the host is not known any more
	}
	m := &fleetpb.Announcements{MadeAtMs: n.clockOf(address, now)}
	for _, a := range notices {
		m.Announcements = append(m.Announcements, announcementMessage(a, now))
	}
	ctx, cancel := context.WithTimeout(n.runCtx, noticeTimeout)
	defer cancel()
	return link.Exchange(ctx, func(ctx context.Context, conn *hostlink.Conn) error {
		_, err := fleetpb.NewFleetClient(conn).Announce(ctx, m)
		return err
	})
}
