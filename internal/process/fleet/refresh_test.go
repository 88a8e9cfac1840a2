package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/discovery"
)

const askedHost = "127.0.0.1:8"

// newRefreshingPool returns a pool that was taken over while a host with a disk is alive, which has
// not answered yet.
func newRefreshingPool(t *testing.T, remembered ...Announcement) (*pool, time.Time) {
	t.Helper()
	p := newTestPool(t, "127.0.0.1:1")
	now := time.Now()
	p.node.hostTable.Record(discovery.Host{Address: askedHost, Domain: "east", HasDisk: true, Incarnation: 1}, 0, now)
	link, err := hostlink.New(hostlink.Config{Timeout: dialTimeout, Connect: dialNothing})
	if err != nil {
		t.Fatal(err)
	}
	p.node.links[askedHost] = link
	for _, a := range remembered {
		p.node.announcements.record(a)
	}
	p.holderView.AcceptHandover(6, now)
	p.takeOver(now, "test")
	return p, now
}

// answerRefresh delivers the answer of the host with a disk.
func answerRefresh(p *pool, now time.Time, announcements ...Announcement) {
	for _, a := range announcements {
		p.node.announcements.record(a)
		announcementEvent{a}.apply(p, now)
	}
	refreshedEvent{address: askedHost, number: p.refresh.number}.apply(p, now)
}

// startsOn reports whether a task starts on the target of the tests once it has listed its runs.
func startsOn(p *pool, now time.Time) bool {
	for range 2 {
		p.recordAwaited(now) // the callers still wait
	}
	p.handleReport(p.sessions["t"], TargetReport{}, now)
	p.applyEffects(p.core.Tick(now), now)
	return p.core.RunCount("t") > 0
}

func TestANewHolderUsesATargetThatHasSaidElsewhereThatItIsDraining(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	remembered := deskTargetAnnouncement(5, 16000, time.Now().Add(-20*time.Second))
	p, now := newRefreshingPool(t, remembered)
	submitLabelledJob(p, "j", "", now)
	g.Expect(startsOn(p, now)).To(BeFalse(), "no host with a disk has answered")
	drained := deskTargetAnnouncement(6, 16000, now.Add(-3*time.Second))
	drained.Target.Draining = true
	answerRefresh(p, now, drained)
	g.Expect(startsOn(p, now.Add(refreshTimeout))).To(BeFalse(), "the target is draining")
}

func TestANewHolderLeavesTargetsUnusedThatAreKnownWell(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		age    time.Duration // of the remembered announcement
		answer bool
		after  time.Duration // since the takeover
		starts bool
	}{
		"a recent announcement":           {announcementValidity / 2, false, 0, true},
		"an old one":                      {2 * announcementValidity, false, 0, false},
		"an old one, answered":            {2 * announcementValidity, true, 0, true},
		"an old one, no answer in time":   {2 * announcementValidity, false, refreshTimeout + time.Millisecond, true},
		"an old one, answer still awaits": {2 * announcementValidity, false, refreshTimeout / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p, now := newRefreshingPool(t, deskTargetAnnouncement(5, 16000, time.Now().Add(-c.age)))
			submitLabelledJob(p, "j", "", now)
			if c.answer {
				answerRefresh(p, now)
			}
			g.Expect(startsOn(p, now.Add(c.after))).To(Equal(c.starts))
		})
	}
}

func TestAnAnswerToAFormerRefreshConfirmsTheTargetsOfThePresentOne(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newRefreshingPool(t, deskTargetAnnouncement(5, 16000, time.Now().Add(-20*time.Second)))
	former := p.refresh.number
	p.takeOver(now, "the token was too low")
	submitLabelledJob(p, "j", "", now)
	refreshedEvent{address: askedHost, number: former}.apply(p, now)
	g.Expect(startsOn(p, now)).To(BeFalse())
}

// It hears of the claim with the new holder's next hello message, up to a second later.
func TestAHostThatTellsWhatItRemembersForwardsLaterAnnouncementsElsewhere(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:8")
	n := p.node
	n.announcements.record(deskTargetAnnouncement(5, 16000, time.Now()))
	other := deskTargetAnnouncement(5, 16000, time.Now())
	other.Target.ID, other.Target.Domain = "other", "west"
	n.announcements.record(other)
	home, adopter := discovery.Host{Address: "127.0.0.1:3", Domain: "north", Entry: true}, discovery.Host{Address: "127.0.0.1:4", Domain: "east", Entry: true}
	target := deskTargetAnnouncement(5, 16000, time.Now()).Target
	g.Expect(n.announcementReceivers(target, []discovery.Host{home, adopter})).To(ConsistOf(home))
	m, err := (&service{node: n}).Targets(context.Background(), &fleetpb.TargetsRequest{Claim: &fleetpb.Claim{Pool: "north", Holder: adopter.Address, FencingToken: 7, Parts: 1}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.GetAnnouncements()).To(HaveLen(1), "the targets of the pool")
	g.Expect(n.announcementReceivers(target, []discovery.Host{home, adopter})).To(ConsistOf(home, adopter))
}

// What waited in a frozen host was taken for as new as its arrival.
func TestAnAnnouncementThatWaitedCountsAsNew(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	now := time.Now()
	m := &fleetpb.Announcements{MadeAtMs: ownClock(now.Add(-3 * time.Second))}
	m.Announcements = append(m.Announcements, announcementMessage(deskTargetAnnouncement(5, 16000, now), now))
	_, err := (&service{node: p.node}).Announce(context.Background(), m)
	g.Expect(err).NotTo(HaveOccurred())
	a, _ := p.node.announcements.get("t")
	g.Expect(a.ReceivedAt).To(BeTemporally("~", now.Add(-3*time.Second), 100*time.Millisecond))
}
