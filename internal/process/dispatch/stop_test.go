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
	b := newSimulator(dispatch.DefaultConfig(), 1, 2)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Second
	}
	id, err := b.submit("a", "", 2, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.core.Cancel(b.now, id)
	b.applyEffects()
	_, err = b.submit("a", "", 2, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	return b
}

func TestTasksOfCancelledJobAreStopped(t *testing.T) {
	g := NewWithT(t)
	b := startCancelledJob(t)
	g.Expect(b.stops).To(HaveLen(2))
	g.Expect(b.stops[0].Name).To(Equal("1.1/0"))
	b.advance(time.Second)
	g.Expect(b.stops).To(HaveLen(6), "stop requests are repeated every 500 ms")
	g.Expect(b.totalStarts()).To(Equal(2))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.core.AbandonStop(dispatch.StartID(b.stops[1].ID))
	b.applyEffects()
	g.Expect(b.totalStarts()).To(Equal(3), "the confirmation releases the slot")
	b.advance(time.Second)
	g.Expect(b.stops).To(HaveLen(6))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.applyEffects()
	g.Expect(b.totalStarts()).To(Equal(3), "a repeated confirmation releases no other slot")
}

func TestSlotIsKeptUntilLeaseEndsWithoutStopConfirmation(t *testing.T) {
	g := NewWithT(t)
	b := startCancelledJob(t)
	b.advance(9900 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(2))
	b.advance(200 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(4))
}

func TestTaskWithUnknownOutcomeIsStopped(t *testing.T) {
	g := NewWithT(t)
	b := newSimulator(dispatch.DefaultConfig(), 1, 1)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	for range 2 {
		_, err := b.submit("a", "", 1, 10*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	b.advance(50 * time.Millisecond)
	g.Expect(b.stops).To(HaveLen(1))
	g.Expect(b.totalStarts()).To(Equal(1))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.applyEffects()
	g.Expect(b.totalStarts()).To(Equal(2))
}
