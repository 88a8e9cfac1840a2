package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
)

// newLostSenderTest returns a pool and a waiter of a host that counts as alive, which was
// heard last when the pool's host last ran.
func newLostSenderTest(t *testing.T) (p *pool, w waiter, now time.Time) {
	p, now = newHeldTestPool(t)
	p.node.hostTable.Record(discovery.Host{Address: "sender", Domain: "north", Entry: true, Incarnation: 1}, 0, now)
	w = waiter{jobID: "j", sender: "sender", heard: &connHeard{}, waitingSince: now}
	w.heard.record(now)
	p.node.pauses.beat(now)
	return p, w, now
}

// What arrived while this host did not run is read after it.
func TestAPauseOfTheHolderWithdrawsAJobOfALivingSender(t *testing.T) {
	g := NewWithT(t)
	p, w, now := newLostSenderTest(t)
	resumed := now.Add(2 * submissionSilence)
	g.Expect(p.lostSender(w, resumed)).To(BeEmpty())
	w.heard.record(resumed.Add(resumeReadTime / 2))
	for at := resumed; at.Before(resumed.Add(submissionSilence)); at = at.Add(tickInterval) {
		p.node.hostTable.Record(discovery.Host{Address: "sender", Domain: "north", Entry: true, Incarnation: 1}, 0, at)
		g.Expect(p.lostSender(w, at)).To(BeEmpty())
	}
}

// A busy holder runs for a third of the time, and renews the runs of a sender that is gone.
func TestShortPausesOfTheHolderKeepAJobOfALostSender(t *testing.T) {
	g := NewWithT(t)
	p, w, now := newLostSenderTest(t)
	const pause, running = 300 * time.Millisecond, 150 * time.Millisecond
	at := now
	for lost := false; !lost; {
		at = at.Add(pause)
		for ran := time.Duration(0); ran < running && !lost; ran += tickInterval {
			lost = p.lostSender(w, at.Add(ran)) != ""
		}
		at = at.Add(running)
		g.Expect(at.Sub(now)).To(BeNumerically("<", submissionSilence+2*(pause+running)), "not withdrawn yet")
	}
}
