package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// deskTargetAnnouncement announces a target of the test pool.
func deskTargetAnnouncement(sequence uint64, cpuMilli int64, now time.Time) Announcement {
	return Announcement{
		Target: scheduler.Target{
			ID: "t", Service: "desk", Address: "127.0.0.1:9", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: cpuMilli},
		},
		Sequence: sequence, ReceivedAt: now,
	}
}

// Two hosts forward two announcements of one target at once, and their events reach the
// pool in the other order.
func TestAnOlderAnnouncementDoesNotBringAFormerCapacityBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	older, newer := deskTargetAnnouncement(5, 16000, now), deskTargetAnnouncement(6, 4000, now)
	p.node.announcements.record(older)
	p.node.announcements.record(newer)
	announcementEvent{newer}.apply(p, now)
	announcementEvent{older}.apply(p, now)
	p.applyEffects(p.core.SetClearing("t", false, now), now)
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
	g.Expect(p.core.RunCount("t")).To(Equal(1), "two tasks of 4 cores each on a target that has 4 by now")
}

// A target deregisters and is back under its id. The host hears of its new incarnation in a
// report before the pool has handled the deregistration, and took the new one for gone.
func TestADeregistrationIsNotCarriedOverToTheNextIncarnation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	first := deskTargetAnnouncement(5, 16000, now)
	p.node.announcements.record(first)
	announcementEvent{first}.apply(p, now)
	p.node.DeregisterTarget("t")
	p.handleRestart(p.sessions["t"], TargetReport{Incarnation: 2, ClockMS: 10}, now)
	announcementEvent{first}.apply(p, now)
	g.Expect(p.sessions).To(HaveKey("t"))
	g.Expect(p.sessions["t"].incarnation).To(Equal(uint64(2)))
}

// Announcements of one incarnation go to any host and may come late. Only one that was sent after
// the last one known, and received after the deregistration, shows that the target goes on.
func TestOnlyALaterAnnouncementWithdrawsADeregistration(t *testing.T) {
	t.Parallel()
	now := time.Now()
	deregistration := deskTargetAnnouncement(5, 16000, now)
	deregistration.Deregistered = true
	for name, c := range map[string]struct {
		sequence   uint64
		receivedAt time.Duration
		withdraws  bool
	}{
		"sent and received later": {6, time.Second, true},
		"the last one known":      {5, time.Second, false},
		"an older one comes late": {4, time.Second, false},
		"received before it":      {6, -time.Second, false},
		"received at once":        {6, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			announced := deskTargetAnnouncement(c.sequence, 16000, now.Add(c.receivedAt))
			for _, order := range [][]Announcement{{deregistration, announced}, {announced, deregistration}} {
				table := newAnnouncementTable()
				table.record(order[0])
				table.record(order[1])
				newest, _ := table.get("t")
				g.Expect(newest.Deregistered).To(Equal(!c.withdraws))
			}
		})
	}
}

// Each announcement of a draining target would be sent until each host has confirmed it.
func TestOnlyTheFirstAnnouncementThatATargetLeavesIsANotice(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ready := deskTargetAnnouncement(5, 16000, time.Now())
	draining, gone, restarted := ready, ready, ready
	draining.Target.Draining, gone.Deregistered = true, true
	restarted.Target.Draining, restarted.Target.Incarnation = true, 2
	g.Expect(isNotice(ready, Announcement{}, false)).To(BeFalse())
	g.Expect(isNotice(draining, Announcement{}, false)).To(BeTrue())
	g.Expect(isNotice(draining, ready, true)).To(BeTrue())
	g.Expect(isNotice(draining, draining, true)).To(BeFalse())
	g.Expect(isNotice(restarted, draining, true)).To(BeTrue())
	g.Expect(isNotice(gone, draining, true)).To(BeTrue())
	g.Expect(isNotice(gone, gone, true)).To(BeFalse())
	g.Expect(isNotice(ready, draining, true)).To(BeFalse())
}

// The holder learns of a restart from the target's list of runs, before any announcement.
func TestARestartedTargetHasTheLabelsOfItsFormerIncarnation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	first := deskTargetAnnouncement(5, 16000, now)
	first.Target.Labels = []string{"a"}
	smaller := deskTargetAnnouncement(5, 8000, now)
	smaller.Target.ID = "smaller"
	for _, a := range []Announcement{first, smaller} {
		p.node.announcements.record(a)
	}
	announcementEvent{first}.apply(p, now)
	p.handleReport(p.sessions["t"], TargetReport{}, now)

	p.handleRestart(p.sessions["t"], TargetReport{Incarnation: 2, ClockMS: 10}, now)
	p.handleReport(p.sessions["t"], TargetReport{}, now)
	submitLabelledJob(p, "labelled", "a", now)
	g.Expect(p.core.RunCount("t")).To(BeZero(), "the target may be of another kind")
	g.Expect(p.waiters).To(HaveLen(1), "the job waits, as the target may have the label")
	for _, id := range []string{"1", "2", "3"} {
		submitLabelledJob(p, id, "", now)
	}
	g.Expect(p.core.RunCount("t")).To(Equal(2), "it may be of the smaller kind, which runs two tasks")

	state := p.stateMessage(now)
	successor := newTestPool(t, "127.0.0.1:2")
	receivePoolEvent{message: state, answer: make(chan receivedPool, 1)}.apply(successor, now)
	handedOver, _ := successor.node.announcements.get("t")
	g.Expect(handedOver.Target.LabelsUnknown).To(BeTrue(), "the next holder takes the assumption for an announcement")

	second := deskTargetAnnouncement(0, 16000, now)
	second.Target.Incarnation, second.Target.Labels = 2, []string{"a"}
	p.node.announcements.record(second)
	announcementEvent{second}.apply(p, now)
	p.applyEffects(p.core.Tick(now), now)
	g.Expect(p.core.RunCount("t")).To(Equal(4), "it has announced that it has the label")
}

// What a host has assumed of a restarted target may reach it after the target's announcement.
func TestAnAssumptionDoesNotReplaceAnAnnouncement(t *testing.T) {
	t.Parallel()
	now := time.Now()
	assumed, announced := deskTargetAnnouncement(0, 16000, now.Add(time.Second)), deskTargetAnnouncement(0, 16000, now)
	assumed.Target.LabelsUnknown = true
	former := deskTargetAnnouncement(7, 16000, now.Add(2*time.Second))
	former.Target.Incarnation = 0
	for _, order := range [][]Announcement{{assumed, announced, former}, {former, announced, assumed}, {announced, assumed, former}, {assumed, former, announced}} {
		table := newAnnouncementTable()
		for _, a := range order {
			table.record(a)
		}
		newest, _ := table.get("t")
		NewWithT(t).Expect(newest.Target.LabelsUnknown).To(BeFalse())
		NewWithT(t).Expect(newest.Target.Incarnation).To(BeEquivalentTo(1))
	}
}

// An announcement arrives between the reading of the time and the making of a message.
func TestAnAnnouncementOfThisMomentIsToldAsWeeksOld(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	now := time.Now()
	m := announcementMessage(deskTargetAnnouncement(1, 16000, now.Add(20*time.Millisecond)), now)
	g.Expect(announcementFrom(m, now).ReceivedAt).To(BeTemporally("~", now, time.Second))
}
