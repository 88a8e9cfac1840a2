package dispatch_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// echo is a Sender whose tasks end at once, after hold is closed.
type echo struct {
	starts *atomic.Int32
	hold   chan struct{}
}

func (e echo) Send(_ context.Context, s dispatch.Start) dispatch.Result {
	e.starts.Add(1)
	if e.hold != nil {
		<-e.hold
	}
	return dispatch.Result{ID: s.ID, Outcome: dispatch.Done, Output: json.RawMessage(`"out"`)}
}

// copier keeps the copies that a Loop makes.
type copier chan func(*dispatch.Loop)

func (c copier) Copy(key record.CopyKey, digest uint64, answer *job.Answer) {
	c <- func(l *dispatch.Loop) { _ = l.PutCopy(key, digest, answer) }
}

// node is a running Loop with one target.
type node struct {
	*dispatch.Loop
	minter *ticket.Minter
	copies copier
}

func startNode(t *testing.T, host string, sender dispatch.Sender) node {
	t.Helper()
	issuer := ticket.Issuer{Host: host, Incarnation: 1}
	n := node{minter: ticket.NewMinter(issuer, []byte(host), time.Hour), copies: make(copier, 100)}
	n.Loop = dispatch.NewLoop(dispatch.LoopConfig{
		Core:    dispatch.NewCore(dispatch.DefaultConfig(), rand.New(rand.NewPCG(1, 1))),
		Records: record.Config{Answers: 100, AnswerBytes: 1 << 20},
		Minter:  n.minter,
		Sender:  sender,
		Copier:  n.copies,
		Ring:    64,
		Clock:   time.Now,
		Tick:    time.Hour,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Run(ctx) }()
	target := dispatch.Target{LeaseEnd: time.Now().Add(time.Hour)}
	target.Announcement = wire.Announcement{Target: "t", Slots: 8}
	NewWithT(t).Expect(n.SetTargets([]dispatch.Target{target})).To(Succeed())
	return n
}

func (n node) spec() *job.Spec {
	return &job.Spec{Ticket: n.minter.Issue(time.Now()), Team: "team", Tasks: []job.Task{{ID: "t1"}}}
}

func (n node) submit(t *testing.T, spec *job.Spec) *job.Answer {
	t.Helper()
	answer, err := n.Submit(context.Background(), spec)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return answer
}

func kindOf(a *job.Answer) failure.Kind {
	if a.Error == nil {
		return ""
	}
	return failure.Kind(a.Error.Kind)
}

func TestResubmissionsStartATaskOnce(t *testing.T) {
	g := NewWithT(t)
	sender := echo{starts: new(atomic.Int32), hold: make(chan struct{})}
	n := startNode(t, "a1", sender)
	spec := n.spec()
	answers := make(chan *job.Answer, 10)
	for range cap(answers) {
		go func() { answers <- n.submit(t, spec) }()
	}
	g.Eventually(sender.starts.Load).Should(BeEquivalentTo(1))
	close(sender.hold)
	for range cap(answers) {
		g.Expect((<-answers).Outcome).To(Equal(job.Complete))
	}
	g.Expect(n.submit(t, spec).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(1))
}

func TestHeirAnswersForADrainedHostAndRunsItsUnusedTickets(t *testing.T) {
	g := NewWithT(t)
	sender := echo{starts: new(atomic.Int32)}
	drained, heir := startNode(t, "a1", sender), startNode(t, "a2", sender)
	used, unused := drained.spec(), drained.spec()
	g.Expect(drained.submit(t, used).Outcome).To(Equal(job.Complete))
	g.Expect(kindOf(heir.submit(t, used))).To(Equal(failure.RecordLost))

	list, err := drained.HandOn(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(heir.Adopt(context.Background(), list)).To(Succeed())

	g.Expect(heir.submit(t, used).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(1))
	g.Expect(kindOf(drained.submit(t, unused))).To(Equal(failure.Draining))
	g.Expect(heir.submit(t, unused).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(2))
}

func TestRecordsAreNotHandedOnWithAJobInProgress(t *testing.T) {
	g := NewWithT(t)
	sender := echo{starts: new(atomic.Int32), hold: make(chan struct{})}
	n := startNode(t, "a1", sender)
	defer close(sender.hold)
	go func() { _, _ = n.Submit(context.Background(), n.spec()) }()
	g.Eventually(sender.starts.Load).Should(BeEquivalentTo(1))
	_, err := n.HandOn(context.Background())
	g.Expect(failure.KindOf(err)).To(Equal(failure.Draining))
}

func TestCopyAnswersForALostHost(t *testing.T) {
	g := NewWithT(t)
	sender := echo{starts: new(atomic.Int32)}
	lost, other := startNode(t, "a1", sender), startNode(t, "a2", sender)
	spec, never := lost.spec(), lost.spec()
	lost.submit(t, spec)
	(<-lost.copies)(other.Loop)
	g.Expect(other.submit(t, spec).Outcome).To(Equal(job.Complete))
	g.Expect(kindOf(other.submit(t, never))).To(Equal(failure.RecordLost))
	changed := *spec
	changed.Team = "another"
	g.Expect(kindOf(other.submit(t, &changed))).To(Equal(failure.RecordLost))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(1))
}

func TestCancelledTicketStartsNothing(t *testing.T) {
	g := NewWithT(t)
	sender := echo{starts: new(atomic.Int32)}
	n := startNode(t, "a1", sender)
	spec := n.spec()
	g.Expect(n.Cancel(context.Background(), spec.Ticket)).To(Succeed())
	g.Expect(kindOf(n.submit(t, spec))).To(Equal(failure.Cancelled))
	g.Expect(sender.starts.Load()).To(BeZero())
}
