package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A host does not run for two seconds, and beats again before it has processed the hello
// messages that wait. It must not take another host for lost.
func TestSilenceDuringAPauseOfThisHostIsNoSign(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := newPauseWatch(now)
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(pauseBeat) {
			w.beat(now)
		}
	}
	run(time.Second)
	g.Expect(w.listened(800*time.Millisecond, now)).To(Equal(800 * time.Millisecond))
	now = now.Add(2 * time.Second)
	g.Expect(w.listened(2200*time.Millisecond, now)).To(BeNumerically("<=", 200*time.Millisecond))
	run(500 * time.Millisecond)
	g.Expect(w.listened(2700*time.Millisecond, now)).To(And(BeNumerically(">=", 500*time.Millisecond), BeNumerically("<=", 700*time.Millisecond)))
	g.Expect(w.listened(500*time.Millisecond, now)).To(Equal(500*time.Millisecond), "silence after the pause counts in full")
}

// A host that has little processor time runs every 100 ms. It must notice the loss of
// another host as early as before.
func TestShortPausesOfThisHostHideNoLoss(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := newPauseWatch(now)
	for range 50 {
		now = now.Add(110 * time.Millisecond)
		w.beat(now)
	}
	g.Expect(w.listened(aliveTimeout, now)).To(Equal(aliveTimeout))
}
