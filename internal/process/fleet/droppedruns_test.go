package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// isRunning reports whether a run of a job of one task is in progress on a target.
func (l *lateOrders) isRunning(id, job string) bool {
	l.fakeTargets.mu.Lock()
	defer l.fakeTargets.mu.Unlock()
	l.endExpired(id)
	for r := range l.get(id).running {
		if r.Job == job {
			return true
		}
	}
	return false
}

// patientJob returns a job of one task whose answer is of use for long.
func patientJob(id string) scheduler.Job {
	j := job(id, 1)
	j.TargetLatency = time.Minute
	return j
}

// The holder renewed the lease of a run that it was stopping, and another pool started its task.
func TestARunThatIsBeingStoppedOutlivesTheReturnOfItsCaller(t *testing.T) {
	m := metrics.NewMetrics(nil)
	for _, rate := range []float64{1, 0.98} {
		for name, others := range map[string]int{"beside a run": 1, "beside runs that start meanwhile": 20} {
			t.Run(fmt.Sprintf("%s, clock rate %v", name, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					targets := newLateOrders(8 * time.Second)
					h := holdAlone(t.Context(), m, targets)
					defer h.Kill()
					targets.setClockRate("t", rate)
					h.announce("t", 1)
					ctx, leave := context.WithCancel(t.Context())
					go h.SubmitTo(ctx, "north", patientJob("dropped"))
					go h.SubmitTo(t.Context(), "north", patientJob("other0"))
					time.Sleep(700 * time.Millisecond)
					g.Expect(targets.isRunning("t", "dropped")).To(BeTrue())
					targets.set(targets.loseStops, "t", true)
					leave()
					for i := range 13 {
						time.Sleep(resendDelay / 13)
						if i < others-1 {
							go h.SubmitTo(t.Context(), "north", patientJob(fmt.Sprint("other", i+1)))
						}
					}
					g.Expect(targets.isRunning("t", "dropped")).To(BeFalse(), "its caller sends the job to another pool now")
					targets.set(targets.loseStops, "t", false)
					time.Sleep(time.Second)
					g.Expect(targets.isRunning("t", "other0")).To(BeTrue(), "the task that ran beside it starts again")
				})
			})
		}
	}
}

func TestARunLapsesThoughTheStopOfAnotherWasConfirmedInTime(t *testing.T) {
	m := metrics.NewMetrics(nil)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newLateOrders(6 * time.Second)
		h := holdAlone(t.Context(), m, targets)
		defer h.Kill()
		h.announce("t", 1)
		ctx, leave := context.WithCancel(t.Context())
		go h.SubmitTo(ctx, "north", patientJob("dropped"))
		go h.SubmitTo(t.Context(), "north", patientJob("other"))
		time.Sleep(700 * time.Millisecond)
		targets.set(targets.loseStops, "t", true)
		leave()
		time.Sleep(900 * time.Millisecond)
		targets.set(targets.loseStops, "t", false)
		time.Sleep(2 * time.Second)
		g.Expect(targets.isRunning("t", "dropped")).To(BeFalse())
		g.Expect(targets.runsStarted("other.0.0")).To(Equal(1), "the lease was withheld for longer than its caller stays away")
	})
}

// startPair starts two hosts that reach each other and the same targets. The first holds the pool.
func startPair(ctx context.Context, m *metrics.Metrics, targets *lateOrders) (holder, other *fleet.MemoryHost) {
	hosts := make([]*fleet.MemoryHost, 2)
	for i := range hosts {
		machine := fleet.NewMachine()
		h, err := fleet.StartMemoryHostOn(ctx, machine, fleet.Config{
			Self:     discovery.Host{Address: hostAddress(i), Domain: "north", Entry: true, Incarnation: uint64(time.Now().UnixMilli())},
			MaxLease: targets.maxLease, VoterCount: 1, Log: slog.New(slog.DiscardHandler), Metrics: m,
			Targets: pausedTargets{targets, machine}, Parse: parseDocument,
		}, []string{hostAddress(1 - i)})
		if err != nil {
			panic(err)
		}
		hosts[i] = h
	}
	go func() {
		for ctx.Err() == nil {
			hosts[0].Greet(hosts[1])
			hosts[1].Greet(hosts[0])
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	if hosts[1].Holds("north") {
		return hosts[1], hosts[0]
	}
	return hosts[0], hosts[1]
}

// endPair stops two hosts, and waits until all that they do has ended.
func endPair(end context.CancelFunc, hosts ...*fleet.MemoryHost) {
	end()
	for _, h := range hosts {
		h.Kill()
	}
	time.Sleep(5 * time.Second)
}

// pausedTargets get no requests of a host whose machine does not run.
type pausedTargets struct {
	*lateOrders
	machine *fleet.Machine
}

func (p pausedTargets) Renew(ctx context.Context, t fleet.TargetRef, r fleet.RenewRequest) (fleet.TargetReport, error) {
	if !p.machine.Await(ctx) {
		return fleet.TargetReport{}, ctx.Err()
	}
	report, err := p.lateOrders.Renew(ctx, t, r)
	if !p.machine.Await(ctx) {
		return fleet.TargetReport{}, ctx.Err()
	}
	return report, err
}

// announceTo announces a target to two hosts, again and again.
func announceTo(ctx context.Context, id string, hosts ...*fleet.MemoryHost) {
	for ctx.Err() == nil {
		for _, h := range hosts {
			a := newAnnouncement(fleet.TargetRef{ID: id, Address: id}, "north", 1)
			h.Receive(a)
		}
		time.Sleep(announceInterval)
	}
}

// The new holder knows nothing of a run that the former one was stopping, and renewed the lease
// of the run beside it.
func TestARunThatIsBeingStoppedIsKeptAliveByTheNextHolder(t *testing.T) {
	m := metrics.NewMetrics(nil)
	for _, answersLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, end := context.WithCancel(t.Context())
			targets := newLateOrders(8 * time.Second)
			former, next := startPair(ctx, m, targets)
			defer endPair(end, former, next)
			go announceTo(ctx, "t", former, next)
			time.Sleep(time.Second)
			droppedCtx, leave := context.WithCancel(ctx)
			go former.SubmitTo(droppedCtx, "north", patientJob("dropped"))
			go func() {
				other := patientJob("other")
				a := former.SubmitTo(ctx, "north", other)
				other.Resubmitted = a.HandedOver
				next.SubmitTo(ctx, "north", other)
			}()
			time.Sleep(700 * time.Millisecond)
			g.Expect(targets.runsOf("t")).To(Equal(2))
			targets.set(targets.loseStops, "t", true)
			targets.set(targets.loseAnswers, "t", answersLost)
			leave()
			leftAt := time.Now()
			time.Sleep(400 * time.Millisecond)
			former.HandOverTo(next, shards.Pool{Domain: "north"}, fleet.StateArrives, func(*fleetpb.PoolState) {}, nil)
			time.Sleep(resendDelay - time.Since(leftAt))
			g.Expect(next.Holds("north")).To(BeTrue())
			g.Expect(targets.isRunning("t", "dropped")).To(BeFalse(), "its caller sends the job to another pool now")
		})
	}
}

// The holder woke, and renewed the lease before it had heard of the host that had sent the job.
func TestARunIsKeptAliveWhoseSenderWasLostWhileTheHolderWasSuspended(t *testing.T) {
	m := metrics.NewMetrics(nil)
	for _, suspended := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, end := context.WithCancel(t.Context())
			targets := newLateOrders(8 * time.Second)
			holder, sender := startPair(ctx, m, targets)
			defer endPair(end, holder, sender)
			go announceTo(ctx, "t", holder)
			time.Sleep(time.Second)
			go sender.ForwardTo(ctx, holder, "north", patientJob("j"))
			time.Sleep(20 * time.Millisecond)
			g.Expect(targets.runsOf("t")).To(Equal(1))
			targets.set(targets.loseStops, "t", true)
			holder.Pause(fleet.Pause{Length: 625 * time.Millisecond, Suspended: suspended, ReadDelay: 30 * time.Millisecond})
			time.Sleep(10 * time.Millisecond)
			sender.Kill()
			time.Sleep(resendDelay)
			g.Expect(targets.runsOf("t")).To(BeZero(), "its caller sends the job to another pool now")
		})
	}
}
