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
