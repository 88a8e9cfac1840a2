package fleet

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// renewRecorder records the waits that renew requests ask targets for.
type renewRecorder struct {
	TargetClient
	waits chan time.Duration
}

func (r renewRecorder) Renew(_ context.Context, _ TargetRef, asked RenewRequest) (TargetReport, error) {
	r.waits <- asked.MaxWait
	return TargetReport{}, nil
}

// Deployments differ in the longest lease. If a target could delay its answer for
// nearly as long as the lease, the lease of its runs would expire before the next
// renewal.
func TestARenewalIsSentWellBeforeTheLeaseExpires(t *testing.T) {
	g := NewWithT(t)
	for lease, want := range map[time.Duration]time.Duration{
		time.Second: renewMaxWait, 5 * time.Second: renewMaxWait, 450 * time.Millisecond: 150 * time.Millisecond,
	} {
		client := renewRecorder{waits: make(chan time.Duration, 1)}
		n, err := New(Config{
			Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, MaxLease: lease, Targets: client,
			Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
		})
		g.Expect(err).NotTo(HaveOccurred())
		s := newSession(newPool(n, shards.Pool{Domain: "north"}), Announcement{ReceivedAt: time.Now()})
		s.ctx = context.Background()
		s.clearing.Store(false)
		s.activeRuns.Store(1)
		s.sendRenewal()
		g.Expect(<-client.waits).To(Equal(want))
	}
}

// A pool that was handed over brings runs with leases from the former holder. If the
// target does not answer the new holder, these runs count as ended only after the
// duration of a lease.
func TestANewSessionWaitsForLeasesOfTheFormerHolder(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, MaxLease: time.Second,
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	s := newSession(newPool(n, shards.Pool{Domain: "north"}), Announcement{ReceivedAt: time.Now()})
	now := time.Now()
	g.Expect(s.leaseExpired(now)).To(BeFalse())
	g.Expect(s.leaseExpired(now.Add(n.config.MaxLease))).To(BeFalse())
	g.Expect(s.leaseExpired(now.Add(n.longestLease()))).To(BeTrue())
}

func TestALeaseOnAClockThatIsSlowIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	p.node.config.MaxLease = 10 * time.Second
	s := newSession(p, Announcement{ReceivedAt: time.Now()})
	g.Expect(s.leaseExpired(time.Now().Add(10_200 * time.Millisecond))).To(BeFalse())
}

// promptTargets confirm a stop at once. The run ends later, and is listed no more.
type promptTargets struct{ silentTargets }

func (promptTargets) Renew(context.Context, TargetRef, RenewRequest) (TargetReport, error) {
	return TargetReport{}, nil
}

func (promptTargets) Stop(context.Context, TargetRef, scheduler.Run, uint64) error { return nil }

func TestATaskStartsAgainOnlyOnceItsStoppedRunHasEnded(t *testing.T) {
	for runStopTime, least := range map[time.Duration]time.Duration{0: 50 * time.Millisecond, 400 * time.Millisecond: 400 * time.Millisecond} {
		n := newTestPool(t, "127.0.0.1:1").node
		synctest.Test(t, func(t *testing.T) {
			p := newPool(n, shards.Pool{Domain: "north"})
			p.node.config.RunStopTime, p.node.config.Targets = runStopTime, promptTargets{}
			s := newSession(p, deskTargetAnnouncement(1, 4000, time.Now()))
			s.ctx = t.Context()
			since := time.Now()
			s.requestStop(scheduler.Run{Job: "j", Number: 1}, false)
			<-p.events
			NewWithT(t).Expect(time.Since(since)).To(BeNumerically(">", least))
		})
	}
}

// crashedTarget accepts one start and then refuses connections.
type crashedTarget struct{ silentTargets }

func (crashedTarget) Start(context.Context, TargetRef, StartRequest) (scheduler.StartResult, int64) {
	return scheduler.Started, 0
}

func (crashedTarget) Renew(context.Context, TargetRef, RenewRequest) (TargetReport, error) {
	return TargetReport{}, ErrNotSent
}

// runAtCrashedTarget submits a job of one task to a pool whose only target crashes, and
// applies events until done reports true or a minute of virtual time has passed. It
// returns how long that took.
func runAtCrashedTarget(t *testing.T, p *pool, done func() bool) time.Duration {
	t.Helper()
	now := time.Now()
	p.holderView.AcceptHandover(6, now)
	p.takeOver(now, "test")
	p.node.runCtx = t.Context()
	p.node.config.Targets = crashedTarget{}
	a := deskTargetAnnouncement(1, 4000, now)
	s := newSession(p, a)
	s.clearing.Store(false)
	p.sessions["t"] = s
	s.open(t.Context())
	p.core.UpdateTarget(a.Target, false, now)
	job := handoverTestJob("j", now)
	job.Steps[0].Count = 1
	job.TargetLatency = time.Minute
	submitEvent{id: 1, job: job, waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !done() && time.Since(now) < time.Minute {
		select {
		case e := <-p.events:
			e.apply(p, time.Now())
		case <-ticker.C:
			p.recordAwaited(time.Now())
			p.applyEffects(p.core.Tick(time.Now()), time.Now())
		}
	}
	s.close()
	close(p.stopped)
	return time.Since(now)
}

func TestTasksOfACrashedTargetWaitOnlyUntilItsLeaseExpires(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		p := newPool(n, shards.Pool{Domain: "north"})
		took := runAtCrashedTarget(t, p, func() bool { return p.node.losses.Knows("j") })
		NewWithT(t).Expect(took).To(BeNumerically("<=", p.node.longestLease()))
	})
}

func TestLeasesThatExpireAgainAreNoticedAgain(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		p := newPool(n, shards.Pool{Domain: "north"})
		starts := func() int {
			jobs := exportJobs(p)
			if len(jobs) == 0 {
				return 0
			}
			return jobs[0].Tasks[0].LastRunNumber
		}
		took := runAtCrashedTarget(t, p, func() bool { return starts() == 3 })
		NewWithT(t).Expect(took).To(BeNumerically("<", time.Minute), "the task was started %d times", starts())
	})
}

// The expiry of a target's leases waits in the ring of a busy pool while a task is started
// on the target. The expiry released that run as well, and the task was started a second
// time while the first start request was under way.
func TestALeaseExpiryDoesNotReleaseARunThatWasStartedAfterIt(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	a := Announcement{Target: scheduler.Target{ID: "t", Service: "desk", Domain: "north", Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 8000}}, Sequence: 1, ReceivedAt: now}
	p.node.announcements.record(a)
	p.handleAnnouncement(a, now)
	p.applyEffects(p.core.SetClearing("t", false, now), now)
	s := p.sessions["t"]
	s.mu.Lock()
	s.leaseSentAt = now.Add(-2 * p.node.longestLease())
	s.mu.Unlock()
	s.reportLeaseExpiry()
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
	g.Expect(p.core.RunCount("t")).To(Equal(2))
	for len(p.events) > 0 {
		(<-p.events).apply(p, time.Now())
	}
	g.Expect(p.core.RunCount("t")).To(Equal(2), "the leases of the start requests are in force")
}

// A host that had stood still sent a lease before its pool had handled the expiry of the former
// ones, which was ignored then. The stop of the lost run had ended with its lease, so the task
// waited for ever.
func TestALaterLeaseDoesNotHideTheExpiryOfFormerOnes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.handleAnnouncement(deskTargetAnnouncement(1, 8000, now), now)
	p.applyEffects(p.core.SetClearing("t", false, now), now)
	requestedAt := now.Add(-2 * p.node.longestLease())
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, requestedAt)
	g.Expect(p.core.RunCount("t")).To(Equal(2))
	for i := range 2 {
		p.core.RecordStartSent("t", scheduler.Run{Job: "j", Index: i, Number: 1}, requestedAt)
	}
	s := p.sessions["t"]
	s.mu.Lock()
	s.leaseSentAt = requestedAt.Add(time.Millisecond)
	s.mu.Unlock()
	s.reportLeaseExpiry()
	s.extendLease(s.pool.node.now())
	for range 2 {
		p.tick(time.Now()) // the caller still waits
	}
	for len(p.events) > 0 {
		(<-p.events).apply(p, time.Now())
	}
	g.Expect(exportJobs(p)[0].Tasks[0].LastRunNumber).To(Equal(2), "the task waits for a run that has ended")
}

// The host stood still between the decision and the request.
func TestALeaseExpiryDoesNotReleaseARunWhoseStartWasDecidedBeforeItAndSentAfterIt(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.handleAnnouncement(deskTargetAnnouncement(1, 8000, now), now)
	p.applyEffects(p.core.SetClearing("t", false, now), now)
	decidedAt := now.Add(-2 * p.node.longestLease())
	s := p.sessions["t"]
	s.mu.Lock()
	s.leaseSentAt = decidedAt.Add(time.Millisecond)
	s.mu.Unlock()
	s.reportLeaseExpiry()
	submitEvent{id: 1, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, decidedAt)
	for len(p.events) > 0 {
		(<-p.events).apply(p, time.Now())
	}
	g.Expect(exportJobs(p)[0].Tasks[0].LastRunNumber).To(Equal(1), "the leases of the start requests are in force")
}
