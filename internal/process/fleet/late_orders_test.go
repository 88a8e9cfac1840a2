package fleet_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// lateOrders are targets to which a test passes requests on later: all start requests to
// the targets in holdStarts, and copies of the renewals of those in copyRenewals. Targets
// in silent get nothing, those in loseStops no stop requests, and the answers of those in
// loseAnswers are lost. A run ends lateEnds after its stop was confirmed.
type lateOrders struct {
	*fakeTargets
	mu                               sync.Mutex
	holdStarts, copyRenewals, silent map[string]bool // by id
	loseAnswers, loseStops           map[string]bool
	underWay                         []func()
	lateEnds                         time.Duration
}

func newLateOrders(runDuration time.Duration) *lateOrders {
	return &lateOrders{
		fakeTargets: newFakeTargets(runDuration),
		holdStarts:  map[string]bool{}, copyRenewals: map[string]bool{}, silent: map[string]bool{}, loseAnswers: map[string]bool{}, loseStops: map[string]bool{},
	}
}

// set sets or clears an id in one of the sets.
func (l *lateOrders) set(ids map[string]bool, id string, in bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids[id] = in
}

// deliver passes on the requests that are under way. They stay under way.
func (l *lateOrders) deliver() {
	l.mu.Lock()
	orders := slices.Clone(l.underWay)
	l.mu.Unlock()
	for _, order := range orders {
		order()
	}
}

// lose records a request that is under way, and reports whether it gets no answer.
func (l *lateOrders) lose(id string, underWay map[string]bool, order func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if underWay[id] {
		l.underWay = append(l.underWay, order)
	}
	return l.silent[id]
}

// has reports whether an id is in one of the sets.
func (l *lateOrders) has(ids map[string]bool, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ids[id]
}

func (l *lateOrders) Start(ctx context.Context, t fleet.TargetRef, r fleet.StartRequest) (scheduler.StartResult, int64) {
	silent := l.lose(t.ID, l.holdStarts, func() { l.fakeTargets.Start(context.Background(), t, r) })
	l.mu.Lock()
	silent = silent || l.holdStarts[t.ID]
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return scheduler.Unanswered, 0
	}
	return l.fakeTargets.Start(ctx, t, r)
}

func (l *lateOrders) Stop(ctx context.Context, t fleet.TargetRef, r scheduler.Run, token uint64) error {
	if l.lose(t.ID, nil, nil) || l.has(l.loseStops, t.ID) {
		<-ctx.Done()
		return ctx.Err()
	}
	if l.lateEnds > 0 {
		l.fakeTargets.mu.Lock()
		l.get(t.ID).refuseUpTo(r)
		l.fakeTargets.mu.Unlock()
		time.AfterFunc(l.lateEnds, func() { _ = l.fakeTargets.Stop(context.Background(), t, r, token) })
		return nil
	}
	return l.fakeTargets.Stop(ctx, t, r, token)
}

func (l *lateOrders) Renew(ctx context.Context, t fleet.TargetRef, r fleet.RenewRequest) (fleet.TargetReport, error) {
	late := r
	late.MaxWait = 0
	if l.lose(t.ID, l.copyRenewals, func() { _, _ = l.fakeTargets.Renew(context.Background(), t, late) }) {
		<-ctx.Done()
		return fleet.TargetReport{}, ctx.Err()
	}
	report, err := l.fakeTargets.Renew(ctx, t, r)
	if l.has(l.loseAnswers, t.ID) {
		<-ctx.Done()
		return fleet.TargetReport{}, ctx.Err()
	}
	return report, err
}

const announceInterval = 1500 * time.Millisecond

// loneHolder is a host that holds the pool of targets whose orders may be late.
type loneHolder struct {
	*fleet.MemoryHost
	targets *lateOrders
}

// holdAlone starts a host and waits until it holds the pool.
func holdAlone(ctx context.Context, m *metrics.Metrics, targets *lateOrders) *loneHolder {
	h, err := fleet.StartMemoryHost(ctx, fleet.Config{
		Self:     discovery.Host{Address: hostAddress(0), Domain: "north", Entry: true, Incarnation: uint64(time.Now().UnixMilli())},
		MaxLease: targets.maxLease, VoterCount: 1, Log: slog.New(slog.DiscardHandler), Metrics: m, Targets: targets, Parse: parseDocument,
	}, nil)
	if err != nil {
		panic(err)
	}
	time.Sleep(5 * time.Second)
	return &loneHolder{h, targets}
}

func (h *loneHolder) announce(id string, incarnation uint64) { h.announceLate(id, incarnation, 0) }

// announceLate delivers an announcement that is late by the given time.
func (h *loneHolder) announceLate(id string, incarnation uint64, delay time.Duration) {
	a := newAnnouncement(fleet.TargetRef{ID: id, Address: id}, "north", incarnation)
	a.ClockMS = h.targets.clockMS(id)
	time.Sleep(delay)
	a.ReceivedAt = time.Now()
	h.Announce(a)
}

// idle announces an idle target for a time. Each third announcement is late.
func (h *loneHolder) idle(id string, d time.Duration) {
	for i := range int(d / announceInterval) {
		delay := time.Duration(0)
		if i%3 == 2 {
			delay = time.Second
		}
		h.announceLate(id, 1, delay)
		time.Sleep(announceInterval - delay)
	}
}

// restart replaces a target with a new incarnation, and announces it.
func (h *loneHolder) restart(id string, incarnation uint64) {
	h.targets.fakeTargets.mu.Lock()
	h.targets.crash(fleet.TargetRef{ID: id})
	h.targets.restart(fleet.TargetRef{ID: id, Address: id}, incarnation)
	h.targets.fakeTargets.mu.Unlock()
	h.announce(id, incarnation)
}

// runsOf returns how many runs are on a target.
func (l *lateOrders) runsOf(id string) int {
	l.fakeTargets.mu.Lock()
	defer l.fakeTargets.mu.Unlock()
	return len(l.get(id).running)
}

func (l *lateOrders) runsStarted(task string) int {
	l.fakeTargets.mu.Lock()
	defer l.fakeTargets.mu.Unlock()
	return l.starts[task]
}

// refusedLate returns how many start requests came after the lease that they carried.
func (l *lateOrders) refusedLate() int {
	l.fakeTargets.mu.Lock()
	defer l.fakeTargets.mu.Unlock()
	return l.tooLate
}

func (l *lateOrders) tasksThatOverlapped() []string {
	l.fakeTargets.mu.Lock()
	defer l.fakeTargets.mu.Unlock()
	return slices.Clone(l.overlapping)
}

func TestAStartLeftUnderWayIsNotCarriedOutByTheNextIncarnation(t *testing.T) {
	m := metrics.NewMetrics(nil) // its goroutine outlives the bubble
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(6 * time.Second)
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		h.announce("t", 1)
		targets.set(targets.holdStarts, "t", true)
		go h.SubmitTo(t.Context(), "north", job("j", 1))
		time.Sleep(20 * time.Millisecond)
		h.announce("other", 1)
		time.Sleep(2 * time.Second)
		g.Expect(targets.runsOf("other")).To(Equal(1), "the task runs elsewhere once the stop of its first run is confirmed")
		h.restart("t", 2)
		time.Sleep(500 * time.Millisecond)
		targets.deliver()
		time.Sleep(time.Second)
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "the new incarnation carried out the start of the former one")
		g.Expect(targets.runsOf("other")).To(Equal(1))
	})
}

func TestARenewalLeftUnderWayProlongsNoRunOfTheNextIncarnation(t *testing.T) {
	m := metrics.NewMetrics(nil) // its goroutine outlives the bubble
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(6 * time.Second)
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		h.announce("t", 1)
		targets.set(targets.copyRenewals, "t", true)
		g.Expect(h.SubmitTo(t.Context(), "north", job("first", 1)).Outcome).To(Equal(scheduler.Completed))
		targets.set(targets.copyRenewals, "t", false)
		h.restart("t", 2)
		go h.SubmitTo(t.Context(), "north", job("second", 1))
		time.Sleep(time.Second)
		g.Expect(targets.runsOf("t")).To(Equal(1))
		h.announce("other", 1)
		targets.set(targets.silent, "t", true)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			targets.deliver()
		}
		g.Expect(targets.runsOf("other")).To(Equal(1), "the task starts elsewhere once its lease has expired")
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "a renewal of the former incarnation prolonged the run")
	})
}

func TestALateStartAtAnIdleTargetWithASlowClockIsRefused(t *testing.T) {
	m := metrics.NewMetrics(nil)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(6 * time.Second)
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		targets.setClockRate("t", 0.98)
		h.idle("t", 90*time.Second)
		targets.set(targets.holdStarts, "t", true)
		targets.set(targets.silent, "t", true)
		go h.SubmitTo(t.Context(), "north", job("j", 1))
		time.Sleep(20 * time.Millisecond)
		h.announce("other", 1)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(targets.runsOf("other")).To(Equal(1), "the task runs elsewhere once its lease has expired")
		for range 10 {
			targets.deliver()
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "the lease end was too late by what the clock had lost")
	})
}

func TestALeaseSufficesAtAnIdleTarget(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		m := metrics.NewMetrics(nil)
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			targets := newLateOrders(3 * time.Second)
			h := holdAlone(t.Context(), m, targets)
			defer h.Kill()
			targets.setClockRate("t", rate)
			h.idle("t", 90*time.Second)
			g.Expect(h.SubmitTo(t.Context(), "north", job("j", 1)).Outcome).To(Equal(scheduler.Completed))
			g.Expect(targets.runsStarted("j.0.0")).To(Equal(1), "a run lapsed with a clock at rate %v", rate)
			g.Expect(targets.refusedLate()).To(BeZero(), "a start came too late with a clock at rate %v", rate)
		})
	}
}

func TestARunOnASlowClockHasEndedWhenALongLeaseExpires(t *testing.T) {
	m := metrics.NewMetrics(nil)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(30 * time.Second)
		targets.maxLease = 10 * time.Second
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		targets.setClockRate("t", 0.98)
		h.announce("t", 1)
		go h.SubmitTo(t.Context(), "north", job("j", 1))
		time.Sleep(2 * time.Second)
		g.Expect(targets.runsOf("t")).To(Equal(1))
		h.announce("other", 1)
		targets.set(targets.loseAnswers, "t", true)
		time.Sleep(14 * time.Second)
		g.Expect(targets.runsOf("other")).To(Equal(1), "the task starts elsewhere once its lease has expired")
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "the lease was in force for longer on the target's clock")
	})
}

// A start that was left under way was carried out seconds later, under a lease that seemed to be in force.
func TestALateStartIsRefusedAlthoughAnAnnouncementWasAheadOfTheTargetsClock(t *testing.T) {
	m := metrics.NewMetrics(nil)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(6 * time.Second)
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		h.announce("t", 1)
		time.Sleep(time.Second)
		ahead := newAnnouncement(fleet.TargetRef{ID: "t", Address: "t"}, "north", 1)
		ahead.ClockMS = targets.clockMS("t") + 10_000
		h.Announce(ahead)
		time.Sleep(20 * time.Millisecond)
		targets.set(targets.holdStarts, "t", true)
		targets.set(targets.silent, "t", true)
		go h.SubmitTo(t.Context(), "north", job("j", 1))
		time.Sleep(20 * time.Millisecond)
		h.announce("other", 1)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(targets.runsOf("other")).To(Equal(1), "the task runs elsewhere once its lease has expired")
		targets.deliver()
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "the lease end was too late by what the announcement was ahead")
		g.Expect(targets.refusedLate()).To(BeNumerically(">", 0))
	})
}

// A target that stood still after it had confirmed a stop listed the run as running.
func TestATaskWaitsWhileItsTargetListsTheStoppedRun(t *testing.T) {
	m := metrics.NewMetrics(nil)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(time.Minute) // each run makes so little progress that it is stopped
		targets.lateEnds = 500 * time.Millisecond
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		h.announce("t", 1)
		go h.SubmitTo(t.Context(), "north", job("j", 1))
		time.Sleep(50 * time.Millisecond)
		h.announce("other", 1)
		time.Sleep(2 * time.Second)
		g.Expect(targets.runsStarted("j.0.0")).To(BeNumerically(">", 1))
		g.Expect(targets.tasksThatOverlapped()).To(BeEmpty(), "the task started elsewhere before its run had ended")
		time.Sleep(2 * time.Second)
	})
}
