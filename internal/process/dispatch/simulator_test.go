package dispatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/workers"
	"wasabifield.example/wasabifield/internal/request/job"
)

// simulator runs a Core against scripted targets on a simulated clock, in steps of
// 1 ms.
type simulator struct {
	core           *dispatch.Core
	now            time.Time
	lastJob        dispatch.JobID
	running        map[string]int // starts in progress by team
	maxRunning     map[string]int // maximum of running, by team
	startsByTarget map[string]int
	answers        map[dispatch.JobID]*job.Answer
	teams          map[dispatch.JobID]string
	resultsAt      map[time.Time][]dispatch.Result
	openStarts     map[dispatch.StartID]dispatch.JobID
	peerMessages   []dispatch.OutgoingMessage
	stops          []workers.Task
	silentTargets  map[string]bool // targets whose attempts end with NoAnswer

	// serve returns the outcome and the duration of a start; by default Done after
	// 100 ms.
	serve func(s dispatch.Start) (dispatch.Outcome, time.Duration)
}

func newSimulator(config dispatch.Config, targets, slots int) *simulator {
	b := &simulator{
		core:           dispatch.NewCore(config, rand.New(rand.NewPCG(1, 1))),
		now:            time.UnixMilli(1_700_000_000_000),
		running:        map[string]int{},
		maxRunning:     map[string]int{},
		startsByTarget: map[string]int{},
		answers:        map[dispatch.JobID]*job.Answer{},
		teams:          map[dispatch.JobID]string{},
		resultsAt:      map[time.Time][]dispatch.Result{},
		openStarts:     map[dispatch.StartID]dispatch.JobID{},
		serve:          func(dispatch.Start) (dispatch.Outcome, time.Duration) { return dispatch.Done, 100 * time.Millisecond },
	}
	b.announceTargets(targets, slots)
	return b
}

const workersPerRack = 6 // each worker has one target

// announceTargets adds targets with a lease of one hour.
func (b *simulator) announceTargets(targets, slots int) {
	var list []dispatch.Target
	for i := range targets {
		a := wire.Announcement{
			Target: fmt.Sprintf("t%d", i),
			Worker: fmt.Sprintf("w%d", i),
			Rack:   fmt.Sprintf("r%d", i/workersPerRack),
			Slots:  slots,
		}
		list = append(list, dispatch.Target{Announcement: a, LeaseEnd: b.now.Add(time.Hour)})
	}
	b.core.SetTargets(b.now, list)
}

// submit submits a job of n tasks of one kind; a deadline of 0 selects the default.
func (b *simulator) submit(team, kind string, n int, deadline time.Duration) (dispatch.JobID, error) {
	spec := &job.Spec{Team: team, DeadlineMS: deadline.Milliseconds()}
	for i := range n {
		spec.Tasks = append(spec.Tasks, job.Task{ID: fmt.Sprint(i), Kind: kind})
	}
	b.lastJob++
	b.teams[b.lastJob] = team
	err := b.core.Submit(b.now, b.lastJob, spec)
	b.applyEffects()
	return b.lastJob, err
}

func (b *simulator) applyEffects() {
	out := b.core.TakeEffects()
	for _, s := range out.Starts {
		team := b.teams[s.Job]
		b.startsByTarget[s.Target]++
		b.running[team]++
		b.maxRunning[team] = max(b.maxRunning[team], b.running[team])
		outcome, d := b.serve(s)
		at := b.now.Add(max(d, time.Millisecond))
		r := dispatch.Result{ID: s.ID, Outcome: outcome, Output: json.RawMessage("1"), NoAnswer: b.silentTargets[s.Target]}
		b.resultsAt[at] = append(b.resultsAt[at], r)
		b.openStarts[s.ID] = s.Job
	}
	b.peerMessages = append(b.peerMessages, out.Messages...)
	b.stops = append(b.stops, out.Stops...)
	for _, a := range out.Answers {
		b.answers[a.Job] = a.Answer
	}
}

// advance moves the clock forward by d. It delivers results when they are due and
// ticks the Core every 10 ms.
func (b *simulator) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(time.Millisecond)
		results := b.resultsAt[b.now]
		delete(b.resultsAt, b.now)
		for _, r := range results {
			b.running[b.teams[b.openStarts[r.ID]]]--
			delete(b.openStarts, r.ID)
			b.core.HandleResult(b.now, r)
			b.applyEffects()
		}
		if b.now.UnixMilli()%10 == 0 {
			b.core.Tick(b.now)
			b.applyEffects()
		}
	}
}

func (b *simulator) totalStarts() int {
	sum := 0
	for _, n := range b.startsByTarget {
		sum += n
	}
	return sum
}
