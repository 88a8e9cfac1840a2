package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
)

// startCancelledJob starts a job with two tasks that take 20 s and whose leases end
// after 10 s, and cancels it. A second job of two tasks waits for the two slots.
func startCancelledJob(t *testing.T) *simulator {
	t.Helper()
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 2)
	sim.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Second
	}
	id, err := sim.submit("a", "", 2, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	sim.core.Cancel(sim.now, id)
	sim.applyEffects()
	_, err = sim.submit("a", "", 2, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	return sim
}

func TestTasksOfCancelledJobAreStopped(t *testing.T) {
	g := NewWithT(t)
	sim := startCancelledJob(t)
	g.Expect(sim.stops).To(HaveLen(2))
	g.Expect(sim.stops[0].Name).To(Equal("1.1/0"))
	sim.advance(time.Second)
	g.Expect(sim.stops).To(HaveLen(6), "stop requests are repeated every 500 ms")
	g.Expect(sim.totalStarts()).To(Equal(2))
	sim.core.ConfirmStopped(sim.now, dispatch.StartID(sim.stops[0].ID))
	sim.core.AbandonStop(dispatch.StartID(sim.stops[1].ID))
	sim.applyEffects()
	g.Expect(sim.totalStarts()).To(Equal(3), "the confirmation releases the slot")
	sim.advance(time.Second)
	g.Expect(sim.stops).To(HaveLen(6))
	sim.core.ConfirmStopped(sim.now, dispatch.StartID(sim.stops[0].ID))
	sim.applyEffects()
	g.Expect(sim.totalStarts()).To(Equal(3), "a repeated confirmation releases no other slot")
}

func TestSlotIsKeptUntilLeaseEndsWithoutStopConfirmation(t *testing.T) {
	g := NewWithT(t)
	sim := startCancelledJob(t)
	sim.advance(9900 * time.Millisecond)
	g.Expect(sim.totalStarts()).To(Equal(2))
	sim.advance(200 * time.Millisecond)
	g.Expect(sim.totalStarts()).To(Equal(4))
}

func TestTaskWithUnknownOutcomeIsStopped(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 1)
	sim.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	for range 2 {
		_, err := sim.submit("a", "", 1, 10*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	sim.advance(50 * time.Millisecond)
	g.Expect(sim.stops).To(HaveLen(1))
	g.Expect(sim.totalStarts()).To(Equal(1))
	sim.core.ConfirmStopped(sim.now, dispatch.StartID(sim.stops[0].ID))
	sim.applyEffects()
	g.Expect(sim.totalStarts()).To(Equal(2))
}
