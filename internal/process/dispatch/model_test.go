package dispatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/job"
)

// world drives a Core with random events and checks its invariants.
type world struct {
	t       *rapid.T
	core    *dispatch.Core
	now     time.Time
	jobs    map[dispatch.JobID]*modelJob
	open    []dispatch.Start
	targets map[string]dispatch.Target
}

// modelJob is what the world knows of a job.
type modelJob struct {
	spec    *job.Spec
	answers int
	outcome job.Outcome
	ran     map[string]bool // tasks with a start that is not proven not started
	outputs map[string]string
}

func newWorld(t *rapid.T, config dispatch.Config) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	return &world{
		t:       t,
		core:    dispatch.NewCore(config, rand.New(rand.NewPCG(seed, 1))),
		now:     time.UnixMilli(1_700_000_000_000),
		jobs:    map[dispatch.JobID]*modelJob{},
		targets: map[string]dispatch.Target{},
	}
}

func (w *world) announce() {
	name := fmt.Sprintf("t%d", rapid.IntRange(1, 4).Draw(w.t, "target"))
	target := dispatch.Target{
		Announcement: wire.Announcement{
			Target:       name,
			Slots:        rapid.IntRange(1, 3).Draw(w.t, "slots"),
			Accelerators: rapid.IntRange(0, 1).Draw(w.t, "accelerators"),
			Leaving:      rapid.IntRange(0, 4).Draw(w.t, "leaving") == 0,
		},
		LeaseEnd: w.now.Add(time.Second),
	}
	w.targets[name] = target
	w.core.SetTargets(w.now, []dispatch.Target{target})
}

func (w *world) submit() {
	id := dispatch.JobID(len(w.jobs) + 1)
	spec := &job.Spec{Team: "team", DeadlineMS: rapid.Int64Range(1, 5000).Draw(w.t, "deadline")}
	for i := range rapid.IntRange(1, 5).Draw(w.t, "tasks") {
		spec.Tasks = append(spec.Tasks, job.Task{
			ID:          fmt.Sprintf("k%d", i),
			Accelerator: rapid.IntRange(0, 5).Draw(w.t, "accelerator") == 0,
		})
	}
	w.jobs[id] = &modelJob{spec: spec, ran: map[string]bool{}, outputs: map[string]string{}}
	if w.core.Submit(w.now, id, spec) != nil {
		w.jobs[id].answers = 1
		w.jobs[id].outcome = job.NotRun
	}
}

func (w *world) result() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "start")
	s := w.open[i]
	w.open = append(w.open[:i:i], w.open[i+1:]...)
	outcome := dispatch.Outcome(rapid.IntRange(0, 3).Draw(w.t, "outcome"))
	r := dispatch.Result{ID: s.ID, Outcome: outcome}
	j := w.jobs[s.Job]
	switch outcome {
	case dispatch.Done:
		text := fmt.Sprintf("%d/%s", s.Job, s.Task.ID)
		j.outputs[s.Task.ID] = text
		r.Output, _ = json.Marshal(text)
	case dispatch.NotStarted:
		j.ran[s.Task.ID] = false
	}
	w.core.HandleResult(w.now, r)
	if rapid.IntRange(0, 9).Draw(w.t, "repeat") == 0 {
		w.core.HandleResult(w.now, r)
	}
	w.check()
	if (outcome == dispatch.TaskError || outcome == dispatch.OutcomeUnknown) && j.answers == 0 {
		w.t.Fatalf("job %d is not answered at once", s.Job)
	}
}

func (w *world) cancel() {
	w.core.Cancel(w.now, dispatch.JobID(rapid.IntRange(1, len(w.jobs)+1).Draw(w.t, "job")))
}

func (w *world) pass() {
	ms := rapid.IntRange(1, 700).Draw(w.t, "ms")
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
	w.core.Tick(w.now)
}

// check takes the Core's effects and holds them against what is known.
func (w *world) check() {
	out := w.core.TakeEffects()
	for _, s := range out.Starts {
		w.checkStart(s)
	}
	for _, f := range out.Answers {
		w.checkFinish(f)
	}
}

func (w *world) checkStart(s dispatch.Start) {
	j := w.jobs[s.Job]
	target := w.targets[s.Target]
	switch {
	case j.answers > 0:
		w.t.Fatalf("job %d starts task %s after its answer", s.Job, s.Task.ID)
	case j.ran[s.Task.ID]:
		w.t.Fatalf("job %d starts task %s twice", s.Job, s.Task.ID)
	case target.Leaving:
		w.t.Fatalf("start at leaving target %s", s.Target)
	case !w.now.Before(target.LeaseEnd):
		w.t.Fatalf("start at lapsed target %s", s.Target)
	case s.Task.Accelerator && target.Accelerators == 0:
		w.t.Fatalf("start at target %s, which has no accelerator", s.Target)
	case s.Deadline.After(w.now.Add(time.Duration(j.spec.DeadlineMS) * time.Millisecond)):
		w.t.Fatalf("start may outlive the deadline of job %d", s.Job)
	}
	j.ran[s.Task.ID] = true
	w.open = append(w.open, s)
}

func (w *world) checkFinish(f dispatch.JobAnswer) {
	j := w.jobs[f.Job]
	j.answers++
	j.outcome = f.Answer.Outcome
	if j.answers > 1 {
		w.t.Fatalf("job %d is answered twice", f.Job)
	}
	switch f.Answer.Outcome {
	case job.Complete:
		w.checkOutputs(f)
	case job.NotRun:
		for id, ran := range j.ran {
			if ran {
				w.t.Fatalf("job %d is refused as not run after a start of %s", f.Job, id)
			}
		}
	}
	if f.Answer.Outcome != job.Complete && len(f.Answer.Outputs) > 0 {
		w.t.Fatalf("job %d failed with outputs", f.Job)
	}
}

func (w *world) checkOutputs(f dispatch.JobAnswer) {
	j := w.jobs[f.Job]
	if len(f.Answer.Outputs) != len(j.spec.Tasks) {
		w.t.Fatalf("job %d is complete with %d outputs of %d", f.Job, len(f.Answer.Outputs), len(j.spec.Tasks))
	}
	for i, o := range f.Answer.Outputs {
		want, _ := json.Marshal(fmt.Sprintf("%d/%s", f.Job, j.spec.Tasks[i].ID))
		if string(o.Output) != string(want) || o.ID != j.spec.Tasks[i].ID {
			w.t.Fatalf("job %d got output %s for task %s", f.Job, o.Output, o.ID)
		}
	}
}

// settle lets time pass until every job must have been answered.
func (w *world) settle() {
	w.now = w.now.Add(time.Minute)
	w.core.Tick(w.now)
	w.check()
	for id, j := range w.jobs {
		if j.answers != 1 {
			w.t.Fatalf("job %d has %d answers after its deadline", id, j.answers)
		}
	}
	if w.core.Queued() != 0 || w.core.Jobs() != 0 {
		w.t.Fatalf("%d tasks and %d jobs are left over", w.core.Queued(), w.core.Jobs())
	}
}

// TestCoreKeepsItsInvariants checks, under random events: a task starts again
// only after a proof that it did not start, every job has exactly one answer
// with all its own outputs or none, "not run" is true, and no start goes to a
// target that is leaving or lapsed.
func TestCoreKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, dispatch.DefaultConfig())
		events := []func(){w.announce, w.submit, w.result, w.result, w.cancel, w.pass}
		w.announce()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			w.check()
		}
		w.settle()
	})
}
