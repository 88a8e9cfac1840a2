package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// answeringTarget accepts every request and answers starts with a given clock.
type answeringTarget struct {
	silentTargets
	clockMS int64
}

func (a answeringTarget) Start(context.Context, TargetRef, StartRequest) (scheduler.StartResult, int64) {
	return scheduler.Started, a.clockMS
}

func (a answeringTarget) Stop(context.Context, TargetRef, scheduler.Run, uint64) error { return nil }

// restartOrder is one order in which a host learns of a run and of the restart of its
// target, whose first incarnation has the number 1 and a clock of 500 s.
type restartOrder struct {
	name    string
	clockMS int64 // of the answer to the start request
	events  []string
	crashed bool // the restart counts as a crash under the task
}

var restartOrders = []restartOrder{
	{"the former incarnation answers, then restarts", 500_010, []string{"answer", "restart"}, true},
	{"the former incarnation lists the run, then restarts", 500_010, []string{"report of 1", "restart"}, true},
	{"the new incarnation answers before its restart is known", 40, []string{"answer", "restart"}, false},
	{"the new incarnation answers after its restart is known", 40, []string{"restart", "answer"}, false},
	{"the former incarnation's answer comes after the restart is known", 500_010, []string{"restart", "answer"}, false},
	{"the new incarnation lists the run before its restart is known", 40, []string{"report of 2"}, false},
	{"the new incarnation answers, then lists the run", 40, []string{"answer", "report of 2"}, false},
	{"the request is under way when the restart is known", 40, []string{"restart"}, false},
}

// A start request names its target's id only. The new incarnation of a target that has
// restarted answered a request that was meant for the former one, and the task counted as
// having crashed its target.
func TestARestartIsAscribedOnlyToRunsOfTheFormerIncarnation(t *testing.T) {
	for _, order := range restartOrders {
		t.Run(order.name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			p.node.config.Targets = answeringTarget{clockMS: order.clockMS}
			first := deskTargetAnnouncement(1, 8000, now)
			first.ClockMS = 500_000
			p.node.announcements.record(first)
			s := newSession(p, first) // without the loop that renews leases
			s.ctx, s.cancel = context.WithCancel(t.Context())
			defer s.cancel()
			p.sessions["t"] = s
			p.applyEffects(p.core.UpdateTarget(first.Target, false, now), now)
			job := handoverTestJob("j", now)
			job.Steps[0].Count = 1
			submitEvent{id: 1, job: job, waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(p, now)
			answer := <-p.events
			run := scheduler.Run{Job: "j", Number: 1}
			for _, event := range order.events {
				switch event {
				case "answer":
					answer.apply(p, now)
				case "restart":
					second := first
					second.Target.Incarnation = 2
					p.node.announcements.record(second)
					p.handleAnnouncement(second, now)
				case "report of 1":
					s.handleReport(TargetReport{ClockMS: 500_020, Incarnation: 1, Running: []RunningRun{{Run: run}}}, time.Now())
					(<-p.events).apply(p, now)
				case "report of 2":
					s.handleReport(TargetReport{ClockMS: 50, Incarnation: 2, Running: []RunningRun{{Run: run}}}, time.Now())
					drainEvents(p, now)
				}
			}
			drainEvents(p, now.Add(2*time.Second))
			count := p.node.losses.Count(losses.Task{Job: "j"})
			g.Expect(count.Crashed == 1).To(Equal(order.crashed), "crashes under the task: %+v", count)
			g.Expect(count.Unresolved).To(BeZero(), "an open loss holds the task back")
		})
	}
}

// drainEvents applies the events that wait or come within a moment.
func drainEvents(p *pool, now time.Time) {
	for {
		select {
		case e := <-p.events:
			e.apply(p, now)
		case <-time.After(20 * time.Millisecond):
			return
		}
	}
}

// A host hands a pool over. A target with a run has restarted, which only one of the two
// hosts knows.
func TestAHandoverKeepsTheIncarnationsOfItsRuns(t *testing.T) {
	for name, known := range map[string][2]uint64{"the former holder": {2, 1}, "the new holder": {1, 2}} {
		t.Run("known to "+name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			former, now := newHeldTestPool(t)
			announcementOf := func(incarnation uint64) Announcement {
				a := deskTargetAnnouncement(1, 8000, now)
				a.Target.Incarnation = incarnation
				return a
			}
			former.handleAnnouncement(announcementOf(known[0]), now)
			former.core.SetClearing("t", false, now)
			job := handoverTestJob("j", now)
			job.Steps[0].Count = 1
			submitEvent{id: 1, job: job, waiter: waiter{jobID: "j", waitingSince: now, answer: make(chan scheduler.Answer, 1)}}.apply(former, now)
			run := scheduler.Run{Job: "j", Number: 1}
			former.core.HandleStartResult("t", run, scheduler.Started, now)

			successor := newTestPool(t, "127.0.0.1:2")
			successor.node.announcements.record(announcementOf(known[1]))
			receivePoolEvent{message: former.stateMessage(now), answer: make(chan receivedPool, 1)}.apply(successor, now)
			successor.handleAnnouncement(announcementOf(2), now)
			count := successor.node.losses.Count(losses.Task{Job: "j"})
			g.Expect(count.Crashed).To(Equal(int(2-known[0])), "a crash counts only under a run of the incarnation that crashed")
			g.Expect(exportJobs(successor)[0].Tasks[0].Stopping).To(Equal(known[0] == 1), "only a run of the former incarnation is stopped")
		})
	}
}
