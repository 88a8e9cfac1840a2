package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A writer that takes another id for each entry, for half a minute.
func TestAFloodOfEntriesNeitherGrowsTheTableNorHidesTrueTargets(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table, now := newAnnouncementTable(), time.Now()
	const entries = 3 * maxAnnouncements
	for i := range entries {
		now = now.Add(30 * time.Second / entries)
		odd := deskTargetAnnouncement(1, 16000, now)
		odd.Target.ID = fmt.Sprint("odd-", i)
		g.Expect(table.record(odd)).To(BeTrue())
		if i%(entries/20) == 0 { // each 1.5 s
			for target := range 10 {
				a := deskTargetAnnouncement(uint64(i+1), 16000, now)
				a.Target.ID = fmt.Sprint("t-", target)
				table.record(a)
			}
		}
		if i%1000 == 0 {
			g.Expect(len(table.byID)).To(BeNumerically("<=", maxAnnouncements))
			for target := range 10 {
				_, known := table.get(fmt.Sprint("t-", target))
				g.Expect(known).To(BeTrue(), "after %d entries", i)
			}
		}
	}
}

// The session of an entry that names no target asked for its runs for ever.
func TestTheSessionOfAForgottenTargetThatNeverAnsweredEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	for _, id := range []string{"odd", "idle", "busy", "fresh"} {
		a := deskTargetAnnouncement(1, 8000, now)
		a.Target.ID = id
		if id == "fresh" {
			a.ReceivedAt = now.Add(forgetTargetAfter)
		}
		p.node.announcements.record(a)
		p.handleAnnouncement(a, now)
	}
	p.core.SetClearing("busy", false, now)
	submitTestJob(p, "j", now)
	p.sessions["idle"].clearing.Store(false)
	p.dropForgottenTargets(now.Add(forgetTargetAfter + time.Second))
	g.Expect(p.core.RunCount("busy")).To(Equal(2))
	g.Expect(p.sessions).To(And(HaveLen(3), Not(HaveKey("odd"))), "the others have answered, run tasks or announced themselves lately")
}

func TestAFloodOfEntriesOpensFewSessionsAndKeepsThoseOfTrueTargets(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	announce := func(id string, sequence uint64, now time.Time) {
		a := deskTargetAnnouncement(sequence, 16000, now)
		a.Target.ID = id
		p.node.announcements.record(a)
		p.handleAnnouncement(a, now)
	}
	announce("t", 1, now)
	p.sessions["t"].clearing.Store(false)
	p.core.SetClearing("t", false, now)
	for i := range 2 * maxUnansweredSessions {
		announce(fmt.Sprint("odd-", i), 1, now)
	}
	g.Expect(p.sessions).To(HaveLen(maxUnansweredSessions + 1))
	submitTestJob(p, "j", now)
	g.Expect(p.core.RunCount("t")).To(Equal(2))

	later := now.Add(forgetTargetAfter + time.Second)
	announce("t", 2, later)
	announce("new", 1, later)
	g.Expect(p.sessions).NotTo(HaveKey("new"))
	p.dropForgottenTargets(later)
	announce("new", 2, later)
	g.Expect(p.sessions).To(And(HaveLen(2), HaveKey("new"), HaveKey("t")))
}
