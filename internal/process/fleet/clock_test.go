package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Readings are under way for up to 2 s. A bound above the clock makes a late order valid.
func TestTheBoundOfATargetsClockIsNeverAheadOfIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.98, 1.02).Draw(rt, "rate")
		start := processStart.Add(time.Hour)
		show := func(at time.Time) int64 { return 5000 + int64(float64(at.Sub(start).Milliseconds())*rate) }
		now, heardAt := start, start
		var c targetClock
		c.record(show(now), now)
		for range rapid.IntRange(1, 30).Draw(rt, "readings") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "pause")) * time.Millisecond)
			if delay := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "delay")) * time.Millisecond; now.Sub(heardAt) > delay {
				clock := show(now.Add(-delay))
				if rapid.Bool().Draw(rt, "announced") {
					c.recordAnnounced(clock, now)
				} else {
					c.recordAnswer(clock, now.Add(-delay), now)
				}
				heardAt = now
			}
			later := now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(rt, "later")) * time.Millisecond)
			if c.at(later) > show(later) {
				rt.Fatalf("the clock shows %d, the bound is %d", show(later), c.at(later))
			}
		}
	})
}

func TestALateAnnouncementDoesNotSetATargetsClockBack(t *testing.T) {
	g := NewWithT(t)
	var c targetClock
	start := processStart.Add(time.Hour)
	c.record(1000, start)
	later := start.Add(3 * time.Second)
	c.recordAnnounced(1000+2000, later)
	g.Expect(c.at(later)).To(BeEquivalentTo(1000 + 3000 - 3000/maxClockLag))
	c.recordAnnounced(1000+3000, later)
	g.Expect(c.at(later)).To(BeEquivalentTo(1000 + 3000))
}

// A machine that was suspended goes on with the clock that it had.
func TestAClockThatStoodStillIsFollowed(t *testing.T) {
	g := NewWithT(t)
	var c targetClock
	start := processStart.Add(time.Hour)
	c.record(1000, start)
	for _, after := range []time.Duration{8500 * time.Millisecond, 10 * time.Second} {
		c.recordAnnounced(1000+after.Milliseconds()-7000, start.Add(after))
		g.Expect(c.at(start.Add(after))).To(Equal(1000 + after.Milliseconds() - 7000))
	}
}

func TestAnOutdatedAnnouncementDoesNotOverrideAnAnswer(t *testing.T) {
	g := NewWithT(t)
	var c targetClock
	start := processStart.Add(time.Hour)
	c.record(9000, start)
	c.recordAnnounced(9500, start.Add(-time.Second))
	g.Expect(c.at(start)).To(BeEquivalentTo(9000))
}

// A reading of another writer made the leases of late orders valid.
func TestAnAnnouncedClockCountsForNoMoreThanTheAnswersAllow(t *testing.T) {
	g := NewWithT(t)
	var c targetClock
	start := processStart.Add(time.Hour)
	c.recordAnswer(1000, start, start.Add(10*time.Millisecond))
	later := start.Add(2 * time.Second)
	c.recordAnnounced(1000+60_000, later)
	g.Expect(c.at(later)).To(BeEquivalentTo(1000 + 2000 + 1))
	suspendedFor := int64(5000) // this host; its monotonic clock stood still
	c.recordAnswer(3000+suspendedFor, later, later.Add(10*time.Millisecond))
	c.recordAnnounced(5000+suspendedFor, later.Add(2*time.Second))
	g.Expect(c.at(later.Add(2 * time.Second))).To(BeEquivalentTo(5000 + suspendedFor))
}
