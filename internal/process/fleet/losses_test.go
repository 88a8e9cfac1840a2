package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/losses"
)

func TestALossIsTheSameAfterItsWayToAnotherHost(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	l := losses.Loss{
		Task: losses.Task{Job: "j", Step: 1, Index: 2}, Life: losses.Life{Target: "t", Address: "10.0.0.1:80", Incarnation: 5},
		LostAt: now.Add(-3 * time.Second), Started: true, Verdict: losses.Crashed,
	}
	g.Expect(lossFrom(lossMessage(l, now), now)).To(Equal(l))
}

func TestAnUnknownVerdictOfANewerHostIsUnresolved(t *testing.T) {
	g := NewWithT(t)
	m := lossMessage(losses.Loss{}, time.Now())
	m.Verdict = 77
	g.Expect(lossFrom(m, time.Now()).Verdict).To(Equal(losses.Unresolved))
}

func TestTheNewestIncarnationIsFoundByIDAndByAddress(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := newAnnouncementTable()
	first := deskTargetAnnouncement(1, 1000, now)
	renamed, moved := first, first
	renamed.Target.ID, renamed.Target.Incarnation = "u", 7
	moved.Target.ID, moved.Target.Address, moved.Target.Incarnation = "v", "127.0.0.1:10", 3
	table.record(renamed)
	table.record(moved)
	byAddress := losses.Life{Target: "t", Address: first.Target.Address, Incarnation: 1}
	byID := losses.Life{Target: "v", Address: "127.0.0.1:11", Incarnation: 2}
	unheard := losses.Life{Target: "w", Address: "127.0.0.1:12", Incarnation: 2}
	heard := table.newest([]losses.Life{byAddress, byID, unheard})
	g.Expect(heard).To(HaveLen(2))
	g.Expect(heard[byAddress].Incarnation).To(Equal(uint64(7)))
	g.Expect(heard[byID].Incarnation).To(Equal(uint64(3)))
}
