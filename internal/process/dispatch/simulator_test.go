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
	sim := &simulator{
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
	sim.announceTargets(targets, slots)
	return sim
}

const workersPerRack = 6 // each worker has one target

// announceTargets adds targets with a lease of one hour.
func (sim *simulator) announceTargets(targets, slots int) {
	var list []dispatch.Target
	for i := range targets {
		a := wire.Announcement{
			Target: fmt.Sprintf("t%d", i),
			Worker: fmt.Sprintf("w%d", i),
			Rack:   fmt.Sprintf("r%d", i/workersPerRack),
			Slots:  slots,
		}
		list = append(list, dispatch.Target{Announcement: a, LeaseEnd: sim.now.Add(time.Hour)})
	}
	sim.core.SetTargets(sim.now, list)
}

// submit submits a job of n tasks of one kind; a deadline of 0 selects the default.
func (sim *simulator) submit(team, kind string, n int, deadline time.Duration) (dispatch.JobID, error) {
	spec := &job.Spec{Team: team, DeadlineMS: deadline.Milliseconds()}
	for i := range n {
		spec.Tasks = append(spec.Tasks, job.Task{ID: fmt.Sprint(i), Kind: kind})
	}
	sim.lastJob++
	sim.teams[sim.lastJob] = team
	err := sim.core.Submit(sim.now, sim.lastJob, spec)
	sim.applyEffects()
	return sim.lastJob, err
}

func (sim *simulator) applyEffects() {
	out := sim.core.TakeEffects()
	for _, s := range out.Starts {
		team := sim.teams[s.Job]
		sim.startsByTarget[s.Target]++
		sim.running[team]++
		sim.maxRunning[team] = max(sim.maxRunning[team], sim.running[team])
		outcome, d := sim.serve(s)
		at := sim.now.Add(max(d, time.Millisecond))
		r := dispatch.Result{ID: s.ID, Outcome: outcome, Output: json.RawMessage("1"), NoAnswer: sim.silentTargets[s.Target]}
		sim.resultsAt[at] = append(sim.resultsAt[at], r)
		sim.openStarts[s.ID] = s.Job
	}
	sim.peerMessages = append(sim.peerMessages, out.Messages...)
	sim.stops = append(sim.stops, out.Stops...)
	for _, a := range out.Answers {
		sim.answers[a.Job] = a.Answer
	}
}

// advance moves the clock forward by d. It delivers results when they are due and
// ticks the Core every 10 ms.
func (sim *simulator) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(time.Millisecond)
		results := sim.resultsAt[sim.now]
		delete(sim.resultsAt, sim.now)
		for _, r := range results {
			sim.running[sim.teams[sim.openStarts[r.ID]]]--
			delete(sim.openStarts, r.ID)
			sim.core.HandleResult(sim.now, r)
			sim.applyEffects()
		}
		if sim.now.UnixMilli()%10 == 0 {
			sim.core.Tick(sim.now)
			sim.applyEffects()
		}
	}
}

func (sim *simulator) totalStarts() int {
	sum := 0
	for _, n := range sim.startsByTarget {
		sum += n
	}
	return sum
}
