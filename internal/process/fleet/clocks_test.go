package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
)

// A hello message that was under way for long carries an old reading, a host that has
// restarted begins anew, and one of a former release tells none.
func TestAReadingOfAnotherHostsClockMakesSubmissionsLate(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newTestPool(t, "127.0.0.1:1").node
	now := time.Now()
	validity := uint64(submissionValidity.Milliseconds())
	hello := func(incarnation, clock uint64, at time.Time) {
		n.recordClock(&fleetpb.Greeting{From: &fleetpb.Host{Address: "b", Incarnation: incarnation}, ClockMs: clock}, at)
	}
	g.Expect(n.startUntil("b", now)).To(BeZero(), "nothing is known")
	hello(1, 60_000, now)
	later := now.Add(5 * time.Second)
	g.Expect(n.startUntil("b", later)).To(Equal(65_000 + validity))
	hello(1, 61_000, later)
	g.Expect(n.startUntil("b", later)).To(Equal(65_000+validity), "a reading that was under way for 4 s")
	hello(1, 65_020, later)
	g.Expect(n.startUntil("b", later)).To(Equal(65_020 + validity))
	drifted := later.Add(2 * clockReadingAge)
	hello(1, 85_000, drifted)
	g.Expect(n.startUntil("b", drifted)).To(Equal(85_000+validity), "its clock is slower than this host's")
	hello(2, 100, drifted)
	g.Expect(n.startUntil("b", drifted)).To(Equal(100+validity), "it has restarted")
	hello(2, 0, drifted)
	g.Expect(n.startUntil("b", drifted)).To(BeZero(), "it runs a former release now")
}

func TestALateSubmissionIsTakenForATimelyOne(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, now := &service{node: newTestPool(t, "127.0.0.1:1").node}, time.Now()
	submit := func(until uint64) string {
		reply, err := s.Submit(t.Context(), &fleetpb.JobRequest{Id: "j", Pool: "north", Sender: "127.0.0.1:2", StartUntilMs: until})
		g.Expect(err).NotTo(HaveOccurred())
		return reply.GetReason()
	}
	time.Sleep(2 * time.Millisecond)
	g.Expect(submit(ownClock(now))).To(ContainSubstring("under way for too long"))
	g.Expect(submit(ownClock(now.Add(time.Minute)))).NotTo(ContainSubstring("under way for too long"))
	g.Expect(submit(0)).NotTo(ContainSubstring("under way for too long"), "of a host of a former release")
}

// A submission waits at a frozen holder. The deadline of its caller moved by as much.
func TestTheDeadlineOfASubmissionCountsFromItsArrival(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	sentAt := time.Now()
	sent := handoverTestJob("j", sentAt)
	sent.ArrivedAt, sent.Deadline = sentAt.Add(-time.Second), sentAt.Add(500*time.Millisecond)
	m := jobMessage(sent, sentAt)
	arrived := sentAt.Add(700 * time.Millisecond)
	g.Expect(jobOfSubmission(m, arrived).Deadline).To(BeTemporally("~", arrived.Add(500*time.Millisecond), time.Millisecond), "a sender that knows no clock")
	m.StartUntilMs = ownClock(sentAt.Add(submissionValidity))
	g.Expect(jobOfSubmission(m, arrived).Deadline).To(BeTemporally("~", sent.Deadline, 2*time.Millisecond))
}

// Clocks are read from hello messages, which a busy host handles tens of milliseconds late.
func TestAnErrorOfAClockReadingMakesASubmissionLookOlder(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	now := time.Now()
	sent := handoverTestJob("j", now)
	m := jobMessage(sent, now)
	m.StartUntilMs = ownClock(now.Add(submissionValidity - maxClockError + 10*time.Millisecond))
	j := jobOfSubmission(m, now)
	g.Expect(j.Deadline).To(BeTemporally("~", sent.Deadline, 2*time.Millisecond))
	g.Expect(j.ArrivedAt).To(BeTemporally("~", sent.ArrivedAt, 2*time.Millisecond))
}

func TestTheClockOfAnotherHostIsKnownForATimeBeforeItWasRead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.node.clocks["127.0.0.1:2"] = hostClock{incarnation: 1, millis: 5000, at: now}
	g.Expect(p.node.clockOf("127.0.0.1:2", now.Add(-time.Second))).To(BeEquivalentTo(4000))
	g.Expect(p.node.clockOf("127.0.0.1:3", now)).To(BeZero())
	g.Expect(timeOfOwnClock(ownClock(now))).To(BeTemporally("~", now, time.Millisecond))
}
