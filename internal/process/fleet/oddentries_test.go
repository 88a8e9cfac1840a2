package fleet

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// oddAnnouncements change an announcement so that no target can have sent it.
var oddAnnouncements = map[string]func(a *fleetpb.Announcement){
	"no id":               func(a *fleetpb.Announcement) { a.Id = "" },
	"huge id":             func(a *fleetpb.Announcement) { a.Id = strings.Repeat("i", 100<<10) },
	"id of several lines": func(a *fleetpb.Announcement) { a.Id = "i\n{}" },
	"id with NUL":         func(a *fleetpb.Announcement) { a.Id = "i\x00" },
	"no service":          func(a *fleetpb.Announcement) { a.Service = "" },
	"no domain":           func(a *fleetpb.Announcement) { a.Domain = "" },
	"no address":          func(a *fleetpb.Announcement) { a.Address = "" },
	"least cpu":           func(a *fleetpb.Announcement) { a.CpuMilli = math.MinInt64 },
	"most cpu":            func(a *fleetpb.Announcement) { a.CpuMilli = math.MaxInt64 },
	"least memory":        func(a *fleetpb.Announcement) { a.MemoryMb = math.MinInt64 },
	"most memory":         func(a *fleetpb.Announcement) { a.MemoryMb = math.MaxInt64 },
	"negative gpus":       func(a *fleetpb.Announcement) { a.Gpus = -1 },
	"most gpus":           func(a *fleetpb.Announcement) { a.Gpus = math.MaxInt64 },
	"last sequence":       func(a *fleetpb.Announcement) { a.Sequence = math.MaxUint64 },
	"last incarnation":    func(a *fleetpb.Announcement) { a.Born = math.MaxUint64 },
	"born in a year":      func(a *fleetpb.Announcement) { a.Born = uint64(time.Now().AddDate(1, 0, 0).UnixMilli()) },
	"least clock":         func(a *fleetpb.Announcement) { a.ClockMs = math.MinInt64 },
	"last clock":          func(a *fleetpb.Announcement) { a.ClockMs = math.MaxInt64 },
	"cold for weeks":      func(a *fleetpb.Announcement) { a.ColdRemainingMs = math.MaxUint32 },
	"many labels":         func(a *fleetpb.Announcement) { a.Labels = make([]string, 10_000) },
	"huge label":          func(a *fleetpb.Announcement) { a.Labels = []string{strings.Repeat("l", 64<<10)} },
}

// idleTargets answer every request at once and list no run.
type idleTargets struct{}

func (idleTargets) Start(context.Context, TargetRef, StartRequest) (scheduler.StartResult, int64) {
	return scheduler.Started, 0
}

func (idleTargets) Stop(context.Context, TargetRef, scheduler.Run, uint64) error { return nil }

func (idleTargets) Renew(context.Context, TargetRef, RenewRequest) (TargetReport, error) {
	return TargetReport{}, nil
}

// applyEvents applies the events that wait for a pool that does not run.
func applyEvents(p *pool, now time.Time) {
	for {
		select {
		case e := <-p.events:
			e.apply(p, now)
		default:
			return
		}
	}
}

// submitTestJob submits a job of two tasks of 4 cores to a pool that does not run.
func submitTestJob(p *pool, id string, now time.Time) {
	submitEvent{id: 1, job: handoverTestJob(id, now), waiter: waiter{jobID: id, waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
}

// Under its own id or that of a true target, beside true targets, from a host of another release.
func TestAnOddEntryOfAForwardedListIsDroppedAndTheOthersHold(t *testing.T) {
	t.Parallel()
	for name, change := range oddAnnouncements {
		for _, id := range []string{"odd", "t"} {
			t.Run(name+" of "+id, func(t *testing.T) {
				g := NewWithT(t)
				p, now := newHeldTestPool(t)
				p.node.config.Targets = idleTargets{}
				p.node.pools[p.name] = p
				odd := announcementMessage(deskTargetAnnouncement(5, 16000, now), now)
				odd.Id = id
				change(odd)
				list := []*fleetpb.Announcement{odd, announcementMessage(deskTargetAnnouncement(4, 16000, now), now)}
				_, err := (&service{node: p.node}).Announce(t.Context(), &fleetpb.Announcements{Announcements: list})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(p.node.announcements.recent(now)).To(HaveLen(1))
				known, _ := p.node.announcements.get("t")
				g.Expect(known.Sequence).To(Equal(uint64(4)), "the odd entry is used")
				applyEvents(p, now)
				p.applyEffects(p.core.SetClearing("t", false, now), now)
				submitTestJob(p, "j", now)
				g.Expect(p.core.RunCount("t")).To(Equal(2))
			})
		}
	}
}

func TestAnOddTargetOfAHandoverIsDroppedAndTheOthersHold(t *testing.T) {
	t.Parallel()
	for name, change := range oddAnnouncements {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newTestPool(t, "127.0.0.1:2"), time.Now()
			odd := announcementMessage(deskTargetAnnouncement(5, 16000, now), now)
			odd.Id = "odd"
			change(odd)
			message := &fleetpb.PoolState{Pool: "north", FencingToken: 7, Targets: []*fleetpb.Announcement{
				odd, announcementMessage(deskTargetAnnouncement(4, 16000, now), now),
			}}
			answer := make(chan receivedPool, 1)
			receivePoolEvent{message: message, answer: answer}.apply(p, now)
			g.Expect((<-answer).err).NotTo(HaveOccurred())
			g.Expect(p.node.announcements.recent(now)).To(HaveLen(1))
			g.Expect(p.sessions).To(And(HaveLen(1), HaveKey("t")))
		})
	}
}

// Whatever passes the check can be passed on, counted and placed on.
func TestAnyEntryThatIsAcceptedLeavesTheTrueTargetsInUse(t *testing.T) {
	numbers := []int64{math.MinInt64, -1, 0, 1, 16000, maxCapacity, maxCapacity + 1, math.MaxInt64}
	words := []string{"", "t2", "desk", "north", "south", "north#1", "a/b", "\xff", "i\n", "…", strings.Repeat("x", maxNameBytes), strings.Repeat("x", maxNameBytes+1)}
	rapid.Check(t, func(rt *rapid.T) {
		p, now := newHeldTestPool(t)
		p.node.config.Targets = idleTargets{}
		number, word := rapid.SampledFrom(numbers), rapid.SampledFrom(words)
		a := deskTargetAnnouncement(uint64(number.Draw(rt, "sequence")), 0, now)
		a.Target = scheduler.Target{
			ID: word.Draw(rt, "id"), Service: word.Draw(rt, "service"), Address: word.Draw(rt, "address"), Domain: word.Draw(rt, "domain"),
			Incarnation: uint64(number.Draw(rt, "incarnation")), Labels: rapid.SliceOfN(word, 0, 3).Draw(rt, "labels"),
			Capacity: scheduler.Resources{CPUMilli: number.Draw(rt, "cpu"), MemoryMB: number.Draw(rt, "memory"), GPUs: number.Draw(rt, "gpus")},
			Draining: rapid.Bool().Draw(rt, "draining"),
		}
		a.ClockMS = number.Draw(rt, "clock")
		p.node.announcements.record(deskTargetAnnouncement(4, 16000, now))
		p.node.recordForwarded(a)
		for _, known := range p.node.announcements.recent(now) {
			p.handleAnnouncement(known, now)
			p.applyEffects(p.core.SetClearing(known.Target.ID, false, now), now)
		}
		p.applyEffects(p.core.MarkUnresponsive(a.Target.ID, now), now)
		submitTestJob(p, "j", now)
		p.tick(now)
		if n := p.core.RunCount("t"); n != 2 {
			rt.Fatalf("%d tasks are on the true target, 2 fit there", n)
		}
		if _, err := proto.Marshal(p.stateMessage(now)); err != nil {
			rt.Fatalf("the pool cannot be handed over: %v", err)
		}
		if free, _ := p.core.Load(now); free < 0 || free > 3*4096 {
			rt.Fatalf("the load is %d", free)
		}
	})
}
