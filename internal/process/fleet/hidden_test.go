package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// One entry under the id of a true target, with numbers that a target can have, must not hide
// that target for good.
func TestATargetIsUsedAgainOnceAnOddEntryUnderItsIDIsForgotten(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(a *Announcement){
		"a sequence far ahead": func(a *Announcement) { a.Sequence = maxSequence },
		"an incarnation ahead": func(a *Announcement) { a.Target.Incarnation = uint64(a.ReceivedAt.Add(time.Hour).UnixMilli()) },
		"another address":      func(a *Announcement) { a.Sequence, a.Target.Address = maxSequence, "127.0.0.1:8" },
		"another service":      func(a *Announcement) { a.Sequence, a.Target.Service = maxSequence, "none" },
		"another domain":       func(a *Announcement) { a.Sequence, a.Target.Domain = maxSequence, "south" },
		"deregistered":         func(a *Announcement) { a.Sequence, a.Deregistered = maxSequence, true },
		"no capacity":          func(a *Announcement) { a.Sequence, a.Target.Capacity.CPUMilli = maxSequence, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			p.node.config.Targets = idleTargets{}
			p.node.pools[p.name] = p
			announce := func(a Announcement) {
				p.node.recordForwarded(a)
				applyEvents(p, now)
			}
			announce(deskTargetAnnouncement(4, 16000, now))
			odd := deskTargetAnnouncement(4, 16000, now)
			change(&odd)
			announce(odd)
			for sequence := uint64(5); now.Sub(odd.ReceivedAt) <= forgetTargetAfter; sequence++ {
				now = now.Add(time.Second)
				announce(deskTargetAnnouncement(sequence, 16000, now))
			}
			p.applyEffects(p.core.SetClearing("t", false, now), now)
			submitTestJob(p, "j", now)
			g.Expect(p.core.RunCount("t")).To(Equal(2))
			g.Expect(p.sessions["t"].incarnation).To(Equal(uint64(1)))
			g.Expect(p.sessions["t"].ref.Address).To(Equal("127.0.0.1:9"))
		})
	}
}
