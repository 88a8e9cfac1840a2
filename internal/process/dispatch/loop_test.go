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
	c <- func(l *dispatch.Loop) { _ = l.StoreCopy(key, digest, answer) }
}

// node is a running Loop with one target.
type node struct {
	*dispatch.Loop
	minter *ticket.Minter
	copies copier
}

func startNode(t *testing.T, host string, sender dispatch.Sender) node {
	t.Helper()
	return startNodeWith(t, host, sender, dispatch.DefaultConfig(), nil)
}

func startNodeWith(t *testing.T, host string, sender dispatch.Sender, config dispatch.Config, spiller dispatch.Spiller) node {
	t.Helper()
	issuer := ticket.Issuer{Host: host, Incarnation: 1}
	n := node{minter: ticket.NewMinter(issuer, []byte(host), time.Hour), copies: make(copier, 100)}
	n.Loop = dispatch.NewLoop(dispatch.LoopConfig{
		Core:         dispatch.NewCore(config, rand.New(rand.NewPCG(1, 1))),
		Records:      record.Config{Answers: 100, AnswerBytes: 1 << 20},
		Minter:       n.minter,
		Sender:       sender,
		Copier:       n.copies,
		Spiller:      spiller,
		RingSize:     64,
		Clock:        time.Now,
		TickInterval: time.Hour,
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

	list, err := drained.HandOver(context.Background())
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
	_, err := n.HandOver(context.Background())
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

// elsewhere is another domain that gives every job the same answer.
type elsewhere struct {
	answer *job.Answer
	asked  *atomic.Int32
}

func (e elsewhere) Spill(context.Context, *job.Spec) *job.Answer {
	e.asked.Add(1)
	return e.answer
}

// TestWhereAJobRuns counts the starts here and the questions to another domain.
func TestWhereAJobRuns(t *testing.T) {
	complete, notRun := &job.Answer{Outcome: job.Complete}, &job.Answer{Outcome: job.NotRun}
	const long, never = time.Duration(-1), time.Hour // an expected wait of 0 is over or under it
	cases := map[string]struct {
		spill         bool
		after         time.Duration
		answer        *job.Answer
		accelerator   bool // which no target here has
		starts, asked int32
		kind          failure.Kind
	}{
		"runs here":                              {true, never, complete, false, 1, 0, ""},
		"would wait: runs elsewhere":             {true, long, complete, false, 0, 1, ""},
		"would wait, nobody takes it: runs here": {true, long, nil, false, 1, 1, ""},
		"would wait, refused: runs here":         {true, long, notRun, false, 1, 1, ""},
		"would wait, not allowed: runs here":     {false, long, complete, false, 1, 0, ""},
		"refused here: runs elsewhere":           {true, never, complete, true, 0, 1, ""},
		"refused here, nobody takes it":          {true, never, nil, true, 0, 1, failure.NeverRunnable},
		"refused here, not allowed":              {false, never, complete, true, 0, 0, failure.NeverRunnable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			config := dispatch.DefaultConfig()
			config.SpillEnabled, config.SpillWaitThreshold = c.spill, c.after
			sender, other := echo{starts: new(atomic.Int32)}, elsewhere{c.answer, new(atomic.Int32)}
			n := startNodeWith(t, "a1", sender, config, other)
			spec := n.spec()
			spec.Tasks[0].Accelerator = c.accelerator
			answer := n.submit(t, spec)
			g.Expect(kindOf(answer)).To(Equal(c.kind))
			g.Expect(sender.starts.Load()).To(Equal(c.starts))
			g.Expect(other.asked.Load()).To(Equal(c.asked))
			if c.kind == "" {
				g.Expect(n.submit(t, spec).Outcome).To(Equal(job.Complete))
				g.Expect(sender.starts.Load() + other.asked.Load()).To(Equal(c.starts + c.asked))
			}
		})
	}
}
