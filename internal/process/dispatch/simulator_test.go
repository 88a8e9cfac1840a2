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

// bench drives a Core with scripted targets on a fake clock, in steps of 1 ms.
type bench struct {
	core    *dispatch.Core
	now     time.Time
	lastJob dispatch.JobID
	running map[string]int // by team
	most    map[string]int // greatest number running, by team
	started map[string]int // starts by target
	answers map[dispatch.JobID]*job.Answer
	teams   map[dispatch.JobID]string
	ends    map[time.Time][]dispatch.Result
	open    map[dispatch.StartID]dispatch.JobID
	tells   []dispatch.OutgoingMessage
	stops   []workers.Task
	silent  map[string]bool // targets whose attempts end Silent

	// serve says how a start ends and how long it takes; the default is Done
	// after 100 ms.
	serve func(s dispatch.Start) (dispatch.Outcome, time.Duration)
}

func newBench(config dispatch.Config, targets, slots int) *bench {
	b := &bench{
		core:    dispatch.NewCore(config, rand.New(rand.NewPCG(1, 1))),
		now:     time.UnixMilli(1_700_000_000_000),
		running: map[string]int{},
		most:    map[string]int{},
		started: map[string]int{},
		answers: map[dispatch.JobID]*job.Answer{},
		teams:   map[dispatch.JobID]string{},
		ends:    map[time.Time][]dispatch.Result{},
		open:    map[dispatch.StartID]dispatch.JobID{},
		serve:   func(dispatch.Start) (dispatch.Outcome, time.Duration) { return dispatch.Done, 100 * time.Millisecond },
	}
	b.announce(targets, slots)
	return b
}

const perRack = 6 // workers in a rack, each with one target

// announce adds targets with a long lease.
func (b *bench) announce(targets, slots int) {
	var list []dispatch.Target
	for i := range targets {
		a := wire.Announcement{
			Target: fmt.Sprintf("t%d", i),
			Worker: fmt.Sprintf("w%d", i),
			Rack:   fmt.Sprintf("r%d", i/perRack),
			Slots:  slots,
		}
		list = append(list, dispatch.Target{Announcement: a, LeaseEnd: b.now.Add(time.Hour)})
	}
	b.core.SetTargets(b.now, list)
}

// submit hands in a job of n tasks of one kind; deadline 0 stands for the default.
func (b *bench) submit(team, kind string, n int, deadline time.Duration) (dispatch.JobID, error) {
	spec := &job.Spec{Team: team, DeadlineMS: deadline.Milliseconds()}
	for i := range n {
		spec.Tasks = append(spec.Tasks, job.Task{ID: fmt.Sprint(i), Kind: kind})
	}
	b.lastJob++
	b.teams[b.lastJob] = team
	err := b.core.Submit(b.now, b.lastJob, spec)
	b.take()
	return b.lastJob, err
}

func (b *bench) take() {
	out := b.core.TakeEffects()
	for _, s := range out.Starts {
		team := b.teams[s.Job]
		b.started[s.Target]++
		b.running[team]++
		b.most[team] = max(b.most[team], b.running[team])
		outcome, d := b.serve(s)
		at := b.now.Add(max(d, time.Millisecond))
		r := dispatch.Result{ID: s.ID, Outcome: outcome, Output: json.RawMessage("1"), NoAnswer: b.silent[s.Target]}
		b.ends[at] = append(b.ends[at], r)
		b.open[s.ID] = s.Job
	}
	b.tells = append(b.tells, out.Messages...)
	b.stops = append(b.stops, out.Stops...)
	for _, f := range out.Answers {
		b.answers[f.Job] = f.Answer
	}
}

// pass lets time go by.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(time.Millisecond)
		results := b.ends[b.now]
		delete(b.ends, b.now)
		for _, r := range results {
			b.running[b.teams[b.open[r.ID]]]--
			delete(b.open, r.ID)
			b.core.HandleResult(b.now, r)
			b.take()
		}
		if b.now.UnixMilli()%10 == 0 {
			b.core.Tick(b.now)
			b.take()
		}
	}
}

func (b *bench) totalStarts() int {
	sum := 0
	for _, n := range b.started {
		sum += n
	}
	return sum
}
