package fleet

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// newTestPool returns a pool of a node that does not run, so that a test applies the
// pool's events itself.
func newTestPool(t *testing.T, host string, configure ...func(*Config)) *pool {
	t.Helper()
	config := Config{
		Self: discovery.Host{Address: host, Domain: "north", Entry: true, Incarnation: uint64(time.Now().UnixMilli())}, MaxLease: time.Second, VoterCount: 1,
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil), Targets: silentTargets{},
	}
	for _, f := range configure {
		f(&config)
	}
	n, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	n.runCtx, n.group = t.Context(), new(errgroup.Group)
	return newPool(n, shards.Pool{Domain: "north"})
}

// newHeldTestPool returns a test pool that its host holds, and the time since when.
func newHeldTestPool(t *testing.T, configure ...func(*Config)) (*pool, time.Time) {
	t.Helper()
	p := newTestPool(t, "127.0.0.1:1", configure...)
	now := time.Now()
	p.holderView.AcceptHandover(6, now)
	p.takeOver(now, "test")
	return p, now
}

// resubmitTestJob submits the job of a hand-over again, as the host of its caller does.
func resubmitTestJob(p *pool, now time.Time) {
	j := handoverTestJob("j", now)
	j.Resubmitted = true
	p.applyEffects(p.core.Submit(j, 1, now.Add(p.node.longestLease()/2)), now)
}

func handoverTestJob(id string, now time.Time) scheduler.Job {
	return scheduler.Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 2, SlackFactor: 2, ArrivedAt: now, Deadline: now.Add(time.Minute),
		Steps: []scheduler.Step{{Count: 2, Need: scheduler.Resources{CPUMilli: 4000}, Estimate: time.Second}},
	}
}

// A host whose answer to a handover was lost receives the same state again. It must
// not take the pool over a second time: its token and its jobs have moved on.
func TestAHandoverThatIsSentAgainIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:2")
	now := time.Now()
	message := &fleetpb.PoolState{
		Pool: "north", FencingToken: 7,
		Jobs: []*fleetpb.RunningJob{{Request: jobMessage(handoverTestJob("j", now), now), Ran: true, Tasks: []*fleetpb.Task{{Index: 0}, {Index: 1, Done: true}}}},
	}
	receive := func() receivedPool {
		answer := make(chan receivedPool, 1)
		receivePoolEvent{message: message, answer: answer}.apply(p, now)
		return <-answer
	}
	first := receive()
	g.Expect(first.err).NotTo(HaveOccurred())
	p.core.AbandonJobs() // the job ends before the state arrives again
	again := receive()
	g.Expect(again.err).NotTo(HaveOccurred())
	g.Expect(again.claim.GetFencingToken()).To(Equal(first.claim.GetFencingToken()))
	g.Expect(exportJobs(p)).To(BeEmpty(), "the job was imported again")

	message.FencingToken = 3
	stale := receive()
	g.Expect(stale.err).To(HaveOccurred(), "a state older than the known claim was accepted")

	p.node.leaving.Store(true)
	g.Expect(receive().err).To(HaveOccurred(), "a state was accepted by a host that stops")
	message.FencingToken = 7
	g.Expect(receive().err).NotTo(HaveOccurred(), "a host that stops refused a state that it had accepted")
}

// The answer to a handover is lost for good: the other host may have taken the pool
// over and started its waiting tasks. The former holder must not start them too, and
// claims the pool with a token that fences the other host.
func TestAHandoverWithAnUnknownOutcomeIsNotContinuedByBothHosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.core.UpdateTarget(scheduler.Target{ID: "t", Service: "desk", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 8000}}, true, now)
	answer := make(chan scheduler.Answer, 1)
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: answer}}.apply(p, now)
	g.Expect(exportJobs(p)).To(HaveLen(1))
	tokenOfState := p.holderView.Claim().Token

	p.handingOver = true
	handedOverEvent{to: "127.0.0.1:2", outcome: handoverUnknown, done: make(chan struct{})}.apply(p, now)
	g.Expect(exportJobs(p)).To(BeEmpty(), "the job is continued here and may be continued there")
	var a scheduler.Answer
	g.Expect(answer).To(Receive(&a))
	g.Expect(a.HandedOver).To(BeTrue(), "the job was answered as if it had not been handed over: %+v", a)
	g.Expect(p.heldHere.Load()).To(BeTrue())
	// The other host's token is one above that of the state, or the time by its clock.
	g.Expect(p.holderView.Claim().Token).To(BeNumerically(">", max(tokenOfState+1, uint64(now.UnixMilli()))))
}

func TestOnlyAClearRefusalProvesThatAHandoverWasNotAccepted(t *testing.T) {
	g := NewWithT(t)
	for code, want := range map[codes.Code]handoverOutcome{
		codes.OK: handoverAccepted, codes.FailedPrecondition: handoverRefused, codes.InvalidArgument: handoverRefused,
		codes.DeadlineExceeded: handoverUnknown, codes.Unavailable: handoverUnknown, codes.Canceled: handoverUnknown, codes.Internal: handoverUnknown,
	} {
		g.Expect(handoverOutcomeOf(status.Error(code, "test"))).To(Equal(want), code.String())
	}
}

// silentTargets never answer.
type silentTargets struct{}

func (silentTargets) Start(ctx context.Context, _ TargetRef, _ StartRequest) (scheduler.StartResult, int64) {
	<-ctx.Done()
	return scheduler.Unanswered, 0
}

func (silentTargets) Stop(ctx context.Context, _ TargetRef, _ scheduler.Run, _ uint64) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentTargets) Renew(ctx context.Context, _ TargetRef, _ RenewRequest) (TargetReport, error) {
	<-ctx.Done()
	return TargetReport{}, ctx.Err()
}

// After a loss of power of all hosts, the targets of a large domain are split again as
// they become known. The new shards must not wait for former pools, which there are not.
func TestANewShardWaitsOnlyForAFormerPool(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	startedAt := time.Unix(1000, 0)
	first, second := shards.Pool{Domain: "north"}, shards.Pool{Domain: "north", Shard: 1}
	g.Expect(formerPoolUntil(first, startedAt, startedAt.Add(time.Hour))).To(BeZero())
	g.Expect(formerPoolUntil(second, startedAt, startedAt.Add(time.Second))).To(BeZero())
	split := startedAt.Add(time.Hour)
	g.Expect(formerPoolUntil(second, startedAt, split)).To(Equal(split.Add(newPoolDelay)))
}

// A pool that has left its targets to their former pool takes them without waiting for
// their next announcements.
func TestANewShardTakesItsTargetsWhenItsWaitEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.formerPoolUntil = now.Add(newPoolDelay)
	a := Announcement{Target: scheduler.Target{ID: "t", Domain: "north", Incarnation: 1}, Sequence: 1, ReceivedAt: now}
	p.node.announcements.record(a)
	p.handleAnnouncement(a, now)
	p.tick(now.Add(newPoolDelay / 2))
	g.Expect(p.sessions).To(BeEmpty(), "the target was taken from its former pool early")
	p.tick(now.Add(newPoolDelay))
	g.Expect(p.sessions).To(HaveKey("t"))
}

func exportJobs(p *pool) []scheduler.HandoverJob {
	return p.core.ExportJobs(func(string) time.Duration { return p.node.longestLease() }, time.Now())
}

// A host hands a pool over while a split moves one of its targets to another shard. The
// new holder does not get that target, and started the task that ran there a second time.
func TestAHandoverDuringASplitStartsNoTaskTwice(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, now := newHeldTestPool(t)
	moved := Announcement{Target: scheduler.Target{ID: "moved", Service: "desk", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 8000}}, Sequence: 1, ReceivedAt: now}
	for shards.ShardOf(moved.Target.ID, 2) != 1 {
		moved.Target.ID += "-"
	}
	former.node.announcements.record(moved)
	former.handleAnnouncement(moved, now)
	former.core.SetClearing(moved.Target.ID, false, now)
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(former, now)
	g.Expect(former.core.RunCount(moved.Target.ID)).To(Equal(2))
	former.node.shardCounts["north"] = 2
	former.releaseMovedTargets(now)

	successor := newTestPool(t, "127.0.0.1:2")
	kept := Announcement{Target: scheduler.Target{ID: "kept", Service: "desk", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 8000}}, Sequence: 1, ReceivedAt: now}
	for shards.ShardOf(kept.Target.ID, 2) != 0 {
		kept.Target.ID += "-"
	}
	successor.node.announcements.record(kept)
	receivePoolEvent{message: former.stateMessage(now), answer: make(chan receivedPool, 1)}.apply(successor, now)
	successor.applyEffects(successor.core.SetClearing(kept.Target.ID, false, now), now)
	g.Expect(successor.core.RunCount(kept.Target.ID)).To(BeZero(), "the tasks run on the target that moves")
	resubmitTestJob(successor, now)
	// Leases are counted from when they were sent, which may be later than now.
	successor.core.Tick(time.Now().Add(former.node.longestLease() + time.Millisecond))
	g.Expect(successor.core.RunCount(kept.Target.ID)).To(Equal(2), "the leases have expired")
}

// The holder of a new shard hands it over before it has taken its targets. The new holder
// took them at once, and fenced the former pool, which still ran tasks there.
func TestANewShardThatIsHandedOverStillWaitsForTheFormerPool(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, now := newHeldTestPool(t)
	former.formerPoolUntil = now.Add(newPoolDelay)
	successor := newTestPool(t, "127.0.0.1:2")
	receivePoolEvent{message: former.stateMessage(now.Add(newPoolDelay / 4)), answer: make(chan receivedPool, 1)}.apply(successor, now.Add(newPoolDelay/4))
	g.Expect(successor.formerPoolUntil).To(BeTemporally("~", now.Add(newPoolDelay), 2*time.Millisecond))
}

// A new target announces itself while the pool is handed over, after its state was sent. A
// task that waited was started there, and once more by the new holder.
func TestNoTaskIsStartedOnATargetThatAnnouncesItselfDuringAHandover(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	target := func(id string, cpu int64) Announcement {
		return Announcement{Target: scheduler.Target{ID: id, Service: "desk", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: cpu}}, Sequence: 1, ReceivedAt: now}
	}
	p.handleAnnouncement(target("known", 4000), now)
	p.applyEffects(p.core.SetClearing("known", false, now), now)
	job := handoverTestJob("j", now)
	job.TargetLatency = time.Minute
	submitEvent{id: 1, job: job, waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
	g.Expect(p.core.RunCount("known")).To(Equal(1), "the other task waits")

	p.handingOver = true
	state := p.stateMessage(now)
	g.Expect(state.GetJobs()[0].GetTasks()[1].GetStarted()).To(BeZero())
	arrived := target("new", 8000)
	p.node.announcements.record(arrived)
	announcementEvent{arrived}.apply(p, now)
	g.Expect(p.sessions).NotTo(HaveKey("new"), "requests to the target would be sent by this host and by the new holder")
	p.applyEffects(p.core.SetClearing("new", false, now), now)
	g.Expect(p.core.RunCount("new")).To(BeZero(), "the state that was sent tells that the task waits")

	handedOverEvent{to: "127.0.0.1:2", outcome: handoverRefused, done: make(chan struct{})}.apply(p, now)
	g.Expect(p.sessions).To(HaveKey("new"), "the handover was refused")
}

// A host hands a pool over with tasks on a target that deregistered, whose runs go on. The
// new holder started them a second time.
func TestAHandoverStartsNoTaskOfADeregisteredTargetWhileItsLeaseIsInForce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, now := newHeldTestPool(t)
	left := deskTargetAnnouncement(1, 8000, now)
	former.node.announcements.record(left)
	former.handleAnnouncement(left, now)
	former.core.SetClearing("t", false, now)
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(former, now)
	g.Expect(former.core.RunCount("t")).To(Equal(2))
	former.node.DeregisterTarget("t")
	announcementEvent{left}.apply(former, now)

	successor := newTestPool(t, "127.0.0.1:2")
	kept := deskTargetAnnouncement(1, 8000, now)
	kept.Target.ID = "kept"
	successor.node.announcements.record(kept)
	receivePoolEvent{message: former.stateMessage(now), answer: make(chan receivedPool, 1)}.apply(successor, now)
	successor.applyEffects(successor.core.SetClearing("kept", false, now), now)
	g.Expect(successor.core.RunCount("kept")).To(BeZero(), "the tasks may run on the target that deregistered")
	resubmitTestJob(successor, now)
	successor.core.Tick(time.Now().Add(former.node.longestLease() + time.Millisecond))
	g.Expect(successor.core.RunCount("kept")).To(Equal(2), "the leases have expired")
}

// The answer to a state is lost, and the host refuses it when it comes again: it is stopping
// by now, or has restarted. Its tasks were continued here and by the host.
func TestAHandoverThatMayHaveBeenAcceptedIsNotRefusedByALaterTry(t *testing.T) {
	t.Parallel()
	lost, refused := status.Error(codes.DeadlineExceeded, "lost"), status.Error(codes.FailedPrecondition, "stopping")
	for name, c := range map[string]struct {
		tries []error
		want  handoverOutcome
	}{
		"refused":                {[]error{refused}, handoverRefused},
		"lost, then refused":     {[]error{lost, refused}, handoverUnknown},
		"lost, then accepted":    {[]error{lost, nil}, handoverAccepted},
		"lost twice, refused":    {[]error{lost, lost, refused}, handoverUnknown},
		"lost as often as tried": {[]error{lost, lost, lost, lost}, handoverUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			to := discovery.Host{Address: "127.0.0.1:2", Incarnation: 5}
			p.node.hostTable.Record(to, 0, now)
			tries := 0
			_, outcome, _ := p.sendRepeatedly(to.Address, p.stateMessage(now), func(context.Context) (*fleetpb.Claim, error) {
				tries++
				return nil, c.tries[tries-1]
			})
			g.Expect(tries).To(Equal(len(c.tries)))
			g.Expect(outcome).To(Equal(c.want))
		})
	}
}

// A host accepts a state, starts a task that waited in it and restarts before its answer
// arrives. The state is sent again, and the host started the task a second time on a target
// that it had cleared, while the first run went on at another.
func TestAStateThatIsSentAgainIsNotTakenByAHostThatHasRestarted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		lives []int // of the host that receives each try
		want  handoverOutcome
	}{
		"restarted":                {[]int{0, 1}, handoverUnknown},
		"the same life":            {[]int{0, 0}, handoverAccepted},
		"restarted before it came": {[]int{1}, handoverAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			lives := []*pool{newTestPool(t, "127.0.0.1:2"), newTestPool(t, "127.0.0.1:2")}
			lives[1].node.config.Self.Incarnation = lives[0].node.config.Self.Incarnation + 1
			p.node.hostTable.Record(lives[0].node.config.Self, 0, now)
			message, tries := p.stateMessage(now), 0
			_, outcome, _ := p.sendRepeatedly("127.0.0.1:2", message, func(context.Context) (*fleetpb.Claim, error) {
				answer := make(chan receivedPool, 1)
				receivePoolEvent{message: message, answer: answer}.apply(lives[c.lives[tries]], now)
				tries++
				if r := <-answer; tries == len(c.lives) {
					return r.claim, r.err
				}
				return nil, status.Error(codes.DeadlineExceeded, "lost")
			})
			g.Expect(outcome).To(Equal(c.want))
		})
	}
}

// The receiver is frozen for less than the state's sender awaits an answer.
func TestAJobOfAStateThatWaitedRunsOnBesideItsCallersNextAttempt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		waited  time.Duration // between the making of the state and its acceptance
		silence time.Duration // of the job's sender when the state was made
		madeAt  bool          // the state tells when it was made
		dropped time.Duration // after the state was made
	}{
		"waited":                   {700 * time.Millisecond, 0, true, 1150 * time.Millisecond},
		"accepted at once":         {0, 0, true, 1150 * time.Millisecond},
		"of a sender that probes":  {0, 400 * time.Millisecond, true, 1150 * time.Millisecond},
		"of a silent sender":       {0, time.Second, true, 650 * time.Millisecond},
		"waited, of a silent one":  {300 * time.Millisecond, time.Second, true, 650 * time.Millisecond},
		"of a holder of before it": {700 * time.Millisecond, 0, false, 1850 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			former, target, now := pausedPool(t)
			former.applyEffects(former.core.SetClearing(target.Target.ID, false, now), now)
			w := waiter{jobID: "j", sender: "127.0.0.1:3", heard: &connHeard{}, waitingSince: now, answer: make(chan scheduler.Answer, 1)}
			w.heard.record(now.Add(-c.silence))
			submitEvent{id: 1, job: handoverTestJob("j", now), waiter: w}.apply(former, now)
			state := former.stateMessage(now)
			if c.madeAt {
				state.MadeAtMs = ownClock(now)
			}
			successor := newTestPool(t, "127.0.0.1:2")
			answer := make(chan receivedPool, 1)
			receivePoolEvent{message: state, answer: answer}.apply(successor, now.Add(c.waited))
			g.Expect((<-answer).err).NotTo(HaveOccurred())
			const tolerance = 10 * time.Millisecond
			successor.core.Tick(now.Add(c.dropped - tolerance))
			g.Expect(exportJobs(successor)).To(HaveLen(1), "the job is dropped before its caller's host can submit it again")
			successor.core.Tick(now.Add(c.dropped + tolerance))
			g.Expect(exportJobs(successor)).To(BeEmpty())
		})
	}
}

// The clock that a state names is that of the receiver before it restarted.
func TestAStateThatWasMadeForAFormerIncarnationIsTakenForNew(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, now := newHeldTestPool(t)
	state := former.stateMessage(now)
	state.MadeAtMs = ownClock(now.Add(time.Minute))
	answer := make(chan receivedPool, 1)
	receivePoolEvent{message: state, answer: answer}.apply(newTestPool(t, "127.0.0.1:2"), now)
	g.Expect(status.Code((<-answer).err)).To(Equal(codes.FailedPrecondition))
}

// The job's sender gives it up over a silent connection while the pool's state is sent in vain.
func TestAJobThatWasGivenUpDuringARefusedHandoverStarts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		parked bool // it came during the handover
		silent bool
	}{
		"came before":            {false, true},
		"came meanwhile":         {true, true},
		"its sender still waits": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p, target, now := pausedPool(t)
			w := waiter{jobID: "j", sender: "127.0.0.1:3", heard: &connHeard{}, startUntil: ownClock(now.Add(submissionValidity)), waitingSince: now, answer: make(chan scheduler.Answer, 1)}
			w.heard.record(now)
			job := handoverTestJob("j", now)
			job.TargetLatency = time.Minute
			submitted := submitEvent{id: 1, job: job, waiter: w}
			if !c.parked {
				submitted.apply(p, now)
			}
			p.handingOver = true
			if c.parked {
				submitted.apply(p, now)
			}
			for range (submissionSilence + pauseBeat) / pauseBeat { // beats without a pause
				now = now.Add(pauseBeat)
				p.tick(now)
			}
			if !c.silent {
				w.heard.record(now)
			}
			handedOverEvent{to: "127.0.0.1:2", outcome: handoverRefused, done: make(chan struct{})}.apply(p, now)
			p.applyEffects(p.core.SetClearing(target.Target.ID, false, now), now)
			if c.silent {
				g.Expect(p.core.RunCount(target.Target.ID)).To(BeZero())
			} else {
				g.Expect(p.core.RunCount(target.Target.ID)).To(Equal(2))
			}
		})
	}
}
