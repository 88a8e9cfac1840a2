package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newLimitingCore returns a Core with targets whose leases are limited, and a function that
// records that all callers wait at a time.
func newLimitingCore(targets int) (c *Core, await func(ms int) []Effect) {
	c = newCore(targets)
	c.config.LimitLeases = true
	return c, func(ms int) []Effect {
		c.RecordAwaited(func(uint64) time.Time { return at(ms) })
		return c.Tick(at(ms))
	}
}

// longJob returns a job whose answer is of use for long.
func longJob(id string, tasks int) Job {
	j := newDeskJob(id, tasks)
	j.TargetLatency, j.Deadline = time.Minute, at(60_000)
	return j
}

func keptUntil(ms int) time.Time { return at(ms).Add(DefaultConfig().KeptFor()) }

// A holder that went on extending the lease kept a run alive beside its caller's next attempt.
func TestTheLeaseOfADroppedRunIsExtendedUntilItIsKnownToBeOver(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(1)
	s := starts(c.Submit(longJob("j", 1), 1, at(0)))[0]
	g.Expect(c.LeaseLimit("t0")).To(Equal(LeaseLimit{Cause: CallerUnheard, Until: keptUntil(0), Run: s.Run, Since: at(0)}))
	starts(c.Submit(longJob("other", 1), 2, at(0)))
	await(400)
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(400)))
	c.Withdraw("j", 1, at(410))
	dropped := LeaseLimit{Cause: StopAwaited, Until: keptUntil(400), Run: s.Run, Since: at(400)}
	for ms := 500; ms < 1500; ms += 100 {
		await(ms)
		g.Expect(c.LeaseLimit("t0")).To(Equal(dropped))
	}
	c.HandleRunStopped("t0", s.Run, at(1500))
	await(1520)
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(1520)), "the other run goes on")
}

func TestADroppedRunThatItsCallerComesBackToIsKeptAlive(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(2)
	starts(c.Submit(longJob("j", 1), 1, at(0)))
	c.Withdraw("j", 1, at(10))
	c.Submit(longJob("j", 1), 2, at(600))
	await(620)
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(620)), "its caller waits here now, and its task for the run")
	c.Withdraw("j", 2, at(640))
	await(900)
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(620)))
}

func TestATaskIsStartedWithALeaseThatLapsesBeforeItsRenewal(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(2)
	starts(c.Submit(longJob("j", 1), 1, at(0)))
	await(0)
	c.Withdraw("j", 1, at(0))
	await(600)
	started := starts(c.Submit(longJob("early", 1), 2, at(600)))
	g.Expect(started).To(HaveLen(1))
	g.Expect(started[0].Target).To(Equal("t0"), "the fullest one")
	await(700)
	started = starts(c.Submit(longJob("late", 2), 3, at(700)))
	g.Expect(started).To(HaveLen(2))
	for _, s := range started {
		g.Expect(s.Target).To(Equal("t1"), "the lease of t0 ends soon")
	}
}

func TestATaskIsStartedWhoseCallerMayHaveLeft(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(1)
	c.HoldStarts(true)
	g.Expect(starts(c.Submit(longJob("j", 1), 1, at(0)))).To(BeEmpty())
	c.HoldStarts(false)
	g.Expect(starts(c.Tick(at(900)))).To(BeEmpty(), "nothing was heard of its caller since it came")
	g.Expect(starts(await(920))).To(HaveLen(1))
}

// The first report of its target came before the next tick, and its lease was extended in full.
func TestARunThatWasHandedOverIsKeptAliveUntilTheNextTick(t *testing.T) {
	g := NewWithT(t)
	c, _ := newLimitingCore(1)
	running := HandoverTask{LastRunNumber: 1, Target: "t0", Incarnation: 1, Confirmed: true}
	c.ImportJobs([]HandoverJob{{Job: longJob("j", 1), HasStarted: true, AwaitedAt: at(0), Tasks: []HandoverTask{running}}}, at(700))
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(0)))
	detached := running
	detached.Target = "t1"
	c.ImportJobs([]HandoverJob{{Job: longJob("k", 1), HasStarted: true, AwaitedAt: at(100), Tasks: []HandoverTask{detached}}}, at(700))
	c.UpdateTarget(newDeskTarget(1), true, at(720))
	g.Expect(c.LeaseLimit("t1").Until).To(Equal(keptUntil(100)), "its target became known later")
}

// No host here knows until when the run may go on.
func TestTheLeaseOfAnUnknownRunIsExtended(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(1)
	unknown := Run{Job: "k", Number: 2}
	starts(c.Submit(longJob("j", 1), 1, at(0)))
	c.RecordUnknownRun("t0", unknown, at(1900))
	g.Expect(c.LeaseLimit("t0")).To(Equal(LeaseLimit{Cause: RunUnknown, Run: unknown}))
	await(20)
	g.Expect(c.LeaseLimit("t0").Cause).To(Equal(RunUnknown))
	c.ReleaseUnlistedRuns("t0", nil, at(40))
	await(40)
	g.Expect(c.LeaseLimit("t0").Until).To(Equal(keptUntil(40)))
}

// An entry that another writer adds to a target's list is never over.
func TestARunThatIsListedBeyondAllLeasesWithholdsThemForEver(t *testing.T) {
	g := NewWithT(t)
	c, await := newLimitingCore(1)
	for ms := 0; ms < 1900; ms += 100 {
		c.RecordUnknownRun("t0", Run{Job: "k", Number: 2}, at(ms+1900))
		await(ms)
		g.Expect(c.LeaseLimit("t0").Cause).To(Equal(RunUnknown))
	}
	c.RecordUnknownRun("t0", Run{Job: "k", Number: 2}, at(3800))
	await(1900)
	g.Expect(c.LeaseLimit("t0").Cause).To(Equal(NotLimited))
}

func TestRunsAreKeptForAShareOfAShortDelay(t *testing.T) {
	g := NewWithT(t)
	for delay, want := range map[time.Duration]time.Duration{
		0: 1150 * time.Millisecond, 1300 * time.Millisecond: 1150 * time.Millisecond, 5 * time.Second: 4850 * time.Millisecond, 200 * time.Millisecond: 100 * time.Millisecond,
	} {
		g.Expect(Config{ResubmitDelay: delay}.KeptFor()).To(Equal(want))
	}
}
