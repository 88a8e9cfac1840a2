package fleet_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// lossyTargets lose, delay and double messages between a host and its targets.
type lossyTargets struct {
	*fakeTargets
	seed    uint64
	host    int
	pending *sync.Map     // runs whose start is under way
	late    *atomic.Int64 // copies that reached an incarnation which was not there when they were sent
	cut     *sync.Map     // ids and hostTargets that exchange no messages, except late ones; and unanswered requests
	machine *fleet.Machine
	ctx     context.Context // of the test
}

// hostTarget is a pair of a host and a target.
type hostTarget struct {
	host   int
	target string
}

// unanswered is a kind of request to a target of which none arrives.
type unanswered struct{ request, target string }

// awaitLink waits until ctx ends if the target is cut off, and reports whether it is not.
func (l lossyTargets) awaitLink(ctx context.Context, target string) bool {
	_, cutFromAll := l.cut.Load(target)
	if _, cut := l.cut.Load(hostTarget{l.host, target}); cut || cutFromAll {
		<-ctx.Done()
		return false
	}
	return true
}

// awaitMachine waits until the host's machine runs. It reports false if the test ends.
func (l lossyTargets) awaitMachine() bool { return l.machine.Await(l.ctx) }

// sends reports whether the host's machine runs. One that does not sends nothing until ctx
// ends.
func (l lossyTargets) sends(ctx context.Context) bool {
	if l.machine.Runs() {
		return true
	}
	<-ctx.Done()
	return false
}

// leaveUnderWay delivers a copy of a message seconds later, by draw.
func (l lossyTargets) leaveUnderWay(kind string, t fleet.TargetRef, r scheduler.Run, token uint64, deliver func()) {
	fate := l.fate("late "+kind, t.ID, r)
	if fate >= 20 {
		return
	}
	life := l.incarnationOf(t.ID)
	l.deliverAfter(2*time.Second+time.Duration(fate)*500*time.Millisecond, t, token, func() {
		if l.incarnationOf(t.ID) != life {
			l.late.Add(1)
		}
		deliver()
	})
}

// deliverAfter delivers a copy of a message later, unless an incarnation is there by then
// that nothing has told yet to refuse it.
func (l lossyTargets) deliverAfter(delay time.Duration, t fleet.TargetRef, token uint64, deliver func()) {
	time.AfterFunc(delay, func() {
		if l.obeys(t.ID, token) {
			deliver()
		}
	})
}

// fate draws what becomes of a message, from 0 to 99. Equal messages at equal times have
// equal fates, so that a failure can be played again.
func (l lossyTargets) fate(kind string, target string, r scheduler.Run) int {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, l.seed, l.host, kind, target, r, time.Now().UnixMilli())
	return int(h.Sum64() % 100)
}

func (l lossyTargets) Start(ctx context.Context, t fleet.TargetRef, request fleet.StartRequest) (scheduler.StartResult, int64) {
	if !l.sends(ctx) {
		return scheduler.Unanswered, 0
	}
	l.pending.Store(request.Run, true)
	defer l.pending.Delete(request.Run)
	again := func() { l.fakeTargets.Start(context.Background(), t, request) }
	l.leaveUnderWay("start", t, request.Run, request.Token, again)
	if !l.awaitLink(ctx, t.ID) {
		return scheduler.Unanswered, 0
	}
	fate := l.fate("start", t.ID, request.Run)
	switch {
	case fate < 8:
		<-ctx.Done()
		return scheduler.Unanswered, 0
	case fate < 14:
		l.deliverAfter(time.Duration(fate*70)*time.Millisecond, t, request.Token, again)
		<-ctx.Done()
		return scheduler.Unanswered, 0
	case fate < 18:
		l.deliverAfter(300*time.Millisecond, t, request.Token, again)
	}
	time.Sleep(time.Duration(fate/4) * time.Millisecond)
	if !l.awaitMachine() {
		return scheduler.Unanswered, 0
	}
	result, clock := l.fakeTargets.Start(ctx, t, request)
	if !l.awaitMachine() || !l.awaitLink(ctx, t.ID) {
		return scheduler.Unanswered, 0
	}
	if fate >= 80 {
		<-ctx.Done()
		return scheduler.Unanswered, 0
	}
	return result, clock
}

func (l lossyTargets) Stop(ctx context.Context, t fleet.TargetRef, r scheduler.Run, token uint64) error {
	if _, lost := l.cut.Load(unanswered{"stop", t.ID}); lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !l.sends(ctx) || !l.awaitLink(ctx, t.ID) {
		return ctx.Err()
	}
	fate := l.fate("stop", t.ID, r)
	switch {
	case fate < 50:
		<-ctx.Done()
		return ctx.Err()
	case fate < 60:
		time.AfterFunc(300*time.Millisecond, func() { _ = l.fakeTargets.Stop(context.Background(), t, r, token) })
	}
	time.Sleep(time.Duration(fate/4) * time.Millisecond)
	if !l.awaitMachine() {
		return context.Canceled
	}
	err := l.fakeTargets.Stop(ctx, t, r, token)
	if !l.awaitMachine() {
		return context.Canceled
	}
	if fate >= 80 {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (l lossyTargets) Renew(ctx context.Context, t fleet.TargetRef, r fleet.RenewRequest) (fleet.TargetReport, error) {
	if !l.sends(ctx) {
		return fleet.TargetReport{}, ctx.Err()
	}
	l.leaveUnderWay("renew", t, scheduler.Run{}, r.Token, func() {
		late := r
		late.MaxWait = 0
		_, _ = l.fakeTargets.Renew(context.Background(), t, late)
	})
	if !l.awaitLink(ctx, t.ID) {
		return fleet.TargetReport{}, ctx.Err()
	}
	fate := l.fate("renew", t.ID, scheduler.Run{})
	if fate < 5 {
		<-ctx.Done()
		return fleet.TargetReport{}, ctx.Err()
	}
	time.Sleep(time.Duration(fate/25) * time.Millisecond)
	if !l.awaitMachine() {
		return fleet.TargetReport{}, context.Canceled
	}
	report, err := l.fakeTargets.Renew(ctx, t, r)
	if !l.awaitMachine() || !l.awaitLink(ctx, t.ID) {
		return fleet.TargetReport{}, ctx.Err()
	}
	if fate >= 95 {
		<-ctx.Done()
		return fleet.TargetReport{}, ctx.Err()
	}
	return report, err
}
