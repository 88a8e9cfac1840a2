package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
)

// longJob starts two tasks of 20 s, whose leases end after 10 s, and withdraws
// them.
func longJob(t *testing.T) *bench {
	t.Helper()
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 2)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Second
	}
	id, err := b.submit("a", "", 2, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.core.Cancel(b.now, id)
	b.take()
	_, err = b.submit("a", "", 2, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	return b
}

func TestTasksOfAWithdrawnJobAreStopped(t *testing.T) {
	g := NewWithT(t)
	b := longJob(t)
	g.Expect(b.stops).To(HaveLen(2))
	g.Expect(b.stops[0].Name).To(Equal("1.1/0"))
	b.pass(time.Second)
	g.Expect(b.stops).To(HaveLen(6), "asked again every 500 ms")
	g.Expect(b.totalStarts()).To(Equal(2))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.core.AbandonStop(dispatch.StartID(b.stops[1].ID))
	b.take()
	g.Expect(b.totalStarts()).To(Equal(3), "the proof frees the slot")
	b.pass(time.Second)
	g.Expect(b.stops).To(HaveLen(6))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.take()
	g.Expect(b.totalStarts()).To(Equal(3), "a proof frees the slot once")
}

func TestWithoutAProofTheSlotIsTakenUntilTheLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	b := longJob(t)
	b.pass(9900 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(2))
	b.pass(200 * time.Millisecond)
	g.Expect(b.totalStarts()).To(Equal(4))
}

func TestATaskWhoseAnswerWasLostIsStopped(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 1)
	b.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) {
		return dispatch.OutcomeUnknown, 10 * time.Millisecond
	}
	for range 2 {
		_, err := b.submit("a", "", 1, 10*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	b.pass(50 * time.Millisecond)
	g.Expect(b.stops).To(HaveLen(1))
	g.Expect(b.totalStarts()).To(Equal(1))
	b.core.ConfirmStopped(b.now, dispatch.StartID(b.stops[0].ID))
	b.take()
	g.Expect(b.totalStarts()).To(Equal(2))
}
