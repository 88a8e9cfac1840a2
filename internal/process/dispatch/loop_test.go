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

// stubSender is a Sender whose tasks are done at once or, if release is set, when it
// is closed.
type stubSender struct {
	starts  *atomic.Int32
	release chan struct{}
}

func (stub stubSender) Send(_ context.Context, s dispatch.Start) dispatch.Result {
	stub.starts.Add(1)
	if stub.release != nil {
		<-stub.release
	}
	return dispatch.Result{ID: s.ID, Outcome: dispatch.Done, Output: json.RawMessage(`"out"`)}
}

// copyRecorder is a Copier that queues the copies. Each is a function that stores the
// copy in a given Loop.
type copyRecorder chan func(*dispatch.Loop)

func (c copyRecorder) Copy(key record.TicketID, digest uint64, answer *job.Answer) {
	c <- func(l *dispatch.Loop) { _ = l.StoreCopy(key, digest, answer) }
}

// testLoop is a running Loop with one target.
type testLoop struct {
	*dispatch.Loop
	minter *ticket.Minter
	copies copyRecorder
}

func startTestLoop(t *testing.T, host string, sender dispatch.Sender) testLoop {
	t.Helper()
	return startTestLoopWith(t, host, sender, dispatch.DefaultConfig(), nil)
}

func startTestLoopWith(t *testing.T, host string, sender dispatch.Sender, config dispatch.Config, spiller dispatch.Spiller) testLoop {
	t.Helper()
	n := newTestLoop(t, host, sender, config, spiller)
	n.run(t)
	return n
}

func (n testLoop) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Run(ctx) }()
}

// newTestLoop returns a testLoop that does not run yet.
func newTestLoop(t *testing.T, host string, sender dispatch.Sender, config dispatch.Config, spiller dispatch.Spiller) testLoop {
	t.Helper()
	issuer := ticket.Issuer{Host: host, Incarnation: 1}
	n := testLoop{minter: ticket.NewMinter(issuer, []byte(host), time.Hour), copies: make(copyRecorder, 100)}
	n.Loop = dispatch.NewLoop(dispatch.LoopConfig{
		Core:         dispatch.NewCore(config, rand.New(rand.NewPCG(1, 1))),
		Records:      record.Config{MaxAnswers: 100, MaxAnswerBytes: 1 << 20},
		Minter:       n.minter,
		Sender:       sender,
		Copier:       n.copies,
		Spiller:      spiller,
		RingSize:     64,
		Clock:        time.Now,
		TickInterval: time.Hour,
	})
	target := dispatch.Target{LeaseEnd: time.Now().Add(time.Hour)}
	target.Announcement = wire.Announcement{Target: "t", Slots: 8}
	NewWithT(t).Expect(n.SetTargets([]dispatch.Target{target})).To(Succeed())
	return n
}

func (n testLoop) spec() *job.Spec {
	return &job.Spec{Ticket: n.minter.Issue(time.Now()), Team: "team", Tasks: []job.Task{{ID: "t1"}}}
}

func (n testLoop) submit(t *testing.T, spec *job.Spec) *job.Answer {
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
	sender := stubSender{starts: new(atomic.Int32), release: make(chan struct{})}
	n := startTestLoop(t, "a1", sender)
	spec := n.spec()
	answers := make(chan *job.Answer, 10)
	for range cap(answers) {
		go func() { answers <- n.submit(t, spec) }()
	}
	g.Eventually(sender.starts.Load).Should(BeEquivalentTo(1))
	close(sender.release)
	for range cap(answers) {
		g.Expect((<-answers).Outcome).To(Equal(job.Complete))
	}
	g.Expect(n.submit(t, spec).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(1))
}

func TestSuccessorAnswersForDrainedHostAndRunsItsUnusedTickets(t *testing.T) {
	g := NewWithT(t)
	sender := stubSender{starts: new(atomic.Int32)}
	drained, successor := startTestLoop(t, "a1", sender), startTestLoop(t, "a2", sender)
	used, unused := drained.spec(), drained.spec()
	g.Expect(drained.submit(t, used).Outcome).To(Equal(job.Complete))
	g.Expect(kindOf(successor.submit(t, used))).To(Equal(failure.RecordLost))

	list, err := drained.HandOver(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(successor.Adopt(context.Background(), list)).To(Succeed())

	g.Expect(successor.submit(t, used).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(1))
	g.Expect(kindOf(drained.submit(t, unused))).To(Equal(failure.Draining))
	g.Expect(successor.submit(t, unused).Outcome).To(Equal(job.Complete))
	g.Expect(sender.starts.Load()).To(BeEquivalentTo(2))
}

func TestHandOverIsRefusedWhileJobIsInProgress(t *testing.T) {
	g := NewWithT(t)
	sender := stubSender{starts: new(atomic.Int32), release: make(chan struct{})}
	n := startTestLoop(t, "a1", sender)
	defer close(sender.release)
	go func() { _, _ = n.Submit(context.Background(), n.spec()) }()
	g.Eventually(sender.starts.Load).Should(BeEquivalentTo(1))
	_, err := n.HandOver(context.Background())
	g.Expect(failure.KindOf(err)).To(Equal(failure.Draining))
}

func TestCopiedAnswerIsReturnedForLostHost(t *testing.T) {
	g := NewWithT(t)
	sender := stubSender{starts: new(atomic.Int32)}
	lost, other := startTestLoop(t, "a1", sender), startTestLoop(t, "a2", sender)
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
	sender := stubSender{starts: new(atomic.Int32)}
	n := startTestLoop(t, "a1", sender)
	spec := n.spec()
	g.Expect(n.Cancel(context.Background(), spec.Ticket)).To(Succeed())
	g.Expect(kindOf(n.submit(t, spec))).To(Equal(failure.Cancelled))
	g.Expect(sender.starts.Load()).To(BeZero())
}

// stubSpiller is a Spiller that gives every job the same answer and counts the calls.
type stubSpiller struct {
	answer *job.Answer
	calls  *atomic.Int32
}

func (stub stubSpiller) Spill(context.Context, *job.Spec) *job.Answer {
	stub.calls.Add(1)
	return stub.answer
}

// TestSpillPolicyDecidesWhereJobRuns checks, by the starts in this domain and the
// calls of the Spiller, where a job runs. Each case also submits a completed job
// again, which must not run a second time.
func TestSpillPolicyDecidesWhereJobRuns(t *testing.T) {
	complete, notRun := &job.Answer{Outcome: job.Complete}, &job.Answer{Outcome: job.NotRun}
	const long, never = time.Duration(-1), time.Hour // thresholds below and above the expected wait of 0
	cases := map[string]struct {
		spill              bool
		spillThreshold     time.Duration
		answer             *job.Answer
		accelerator        bool // the job needs an accelerator, which no target of this domain has
		starts, spillCalls int32
		kind               failure.Kind
	}{
		"wait below threshold: runs here":                          {true, never, complete, false, 1, 0, ""},
		"wait above threshold: other domain runs it":               {true, long, complete, false, 0, 1, ""},
		"wait above threshold, no host accepts it: runs here":      {true, long, nil, false, 1, 1, ""},
		"wait above threshold, other domain refuses it: runs here": {true, long, notRun, false, 1, 1, ""},
		"wait above threshold, spill disabled: runs here":          {false, long, complete, false, 1, 0, ""},
		"refused here: other domain runs it":                       {true, never, complete, true, 0, 1, ""},
		"refused here, no host accepts it: refused":                {true, never, nil, true, 0, 1, failure.NeverRunnable},
		"refused here, spill disabled: refused":                    {false, never, complete, true, 0, 0, failure.NeverRunnable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			config := dispatch.DefaultConfig()
			config.SpillEnabled, config.SpillWaitThreshold = c.spill, c.spillThreshold
			sender, other := stubSender{starts: new(atomic.Int32)}, stubSpiller{c.answer, new(atomic.Int32)}
			n := startTestLoopWith(t, "a1", sender, config, other)
			spec := n.spec()
			spec.Tasks[0].Accelerator = c.accelerator
			answer := n.submit(t, spec)
			g.Expect(kindOf(answer)).To(Equal(c.kind))
			g.Expect(sender.starts.Load()).To(Equal(c.starts))
			g.Expect(other.calls.Load()).To(Equal(c.spillCalls))
			if c.kind == "" {
				g.Expect(n.submit(t, spec).Outcome).To(Equal(job.Complete))
				g.Expect(sender.starts.Load() + other.calls.Load()).To(Equal(c.starts + c.spillCalls))
			}
		})
	}
}
