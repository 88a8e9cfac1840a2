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

// coreModel sends random events to a Core and checks its invariants.
type coreModel struct {
	t          *rapid.T
	core       *dispatch.Core
	now        time.Time
	jobs       map[dispatch.JobID]*modelJob
	openStarts []dispatch.Start
	lastStart  dispatch.StartID
	targets    map[string]dispatch.Target
}

// modelJob is the state of a job as derived from the effects of the Core.
type modelJob struct {
	spec    *job.Spec
	answers int
	outcome job.Outcome
	ran     map[string]bool // tasks that were started without a proof that they did not run
	outputs map[string]string
}

func newCoreModel(t *rapid.T, config dispatch.Config) *coreModel {
	seed := rapid.Uint64().Draw(t, "seed")
	return &coreModel{
		t:       t,
		core:    dispatch.NewCore(config, rand.New(rand.NewPCG(seed, 1))),
		now:     time.UnixMilli(1_700_000_000_000),
		jobs:    map[dispatch.JobID]*modelJob{},
		targets: map[string]dispatch.Target{},
	}
}

func (m *coreModel) announce() {
	name := fmt.Sprintf("t%d", rapid.IntRange(1, 4).Draw(m.t, "target"))
	target := dispatch.Target{
		Announcement: wire.Announcement{
			Target:       name,
			Slots:        rapid.IntRange(1, 3).Draw(m.t, "slots"),
			Accelerators: rapid.IntRange(0, 1).Draw(m.t, "accelerators"),
			Leaving:      rapid.IntRange(0, 4).Draw(m.t, "leaving") == 0,
		},
		LeaseEnd: m.now.Add(time.Second),
	}
	m.targets[name] = target
	m.core.SetTargets(m.now, []dispatch.Target{target})
}

func (m *coreModel) submit() {
	id := dispatch.JobID(len(m.jobs) + 1)
	spec := &job.Spec{Team: "team", DeadlineMS: rapid.Int64Range(1, 5000).Draw(m.t, "deadline")}
	for i := range rapid.IntRange(1, 5).Draw(m.t, "tasks") {
		spec.Tasks = append(spec.Tasks, job.Task{
			ID:          fmt.Sprintf("k%d", i),
			Accelerator: rapid.IntRange(0, 5).Draw(m.t, "accelerator") == 0,
		})
	}
	m.jobs[id] = &modelJob{spec: spec, ran: map[string]bool{}, outputs: map[string]string{}}
	if m.core.Submit(m.now, id, spec) != nil {
		m.jobs[id].answers = 1
		m.jobs[id].outcome = job.NotRun
	}
}

func (m *coreModel) endAttempt() {
	if len(m.openStarts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openStarts)-1).Draw(m.t, "start")
	s := m.openStarts[i]
	m.openStarts = append(m.openStarts[:i:i], m.openStarts[i+1:]...)
	outcome := dispatch.Outcome(rapid.IntRange(0, 3).Draw(m.t, "outcome"))
	r := dispatch.Result{ID: s.ID, Outcome: outcome}
	j := m.jobs[s.Job]
	switch outcome {
	case dispatch.Done:
		text := fmt.Sprintf("%d/%s", s.Job, s.Task.ID)
		j.outputs[s.Task.ID] = text
		r.Output, _ = json.Marshal(text)
	case dispatch.NotStarted:
		j.ran[s.Task.ID] = false
	}
	m.core.HandleResult(m.now, r)
	if rapid.IntRange(0, 9).Draw(m.t, "repeat") == 0 {
		m.core.HandleResult(m.now, r)
	}
	m.check()
	if (outcome == dispatch.TaskError || outcome == dispatch.OutcomeUnknown) && j.answers == 0 {
		m.t.Fatalf("job %d was not answered when one of its tasks failed or was lost", s.Job)
	}
}

func (m *coreModel) cancel() {
	m.core.Cancel(m.now, dispatch.JobID(rapid.IntRange(1, len(m.jobs)+1).Draw(m.t, "job")))
}

func (m *coreModel) advance() {
	ms := rapid.IntRange(1, 700).Draw(m.t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	m.core.Tick(m.now)
}

// check takes the effects of the Core and checks them against the model.
func (m *coreModel) check() {
	out := m.core.TakeEffects()
	for _, s := range out.Starts {
		m.checkStart(s)
	}
	for _, a := range out.Answers {
		m.checkAnswer(a)
	}
}

func (m *coreModel) checkStart(s dispatch.Start) {
	j := m.jobs[s.Job]
	target := m.targets[s.Target]
	switch {
	case j.answers > 0:
		m.t.Fatalf("job %d starts task %s after its answer was given", s.Job, s.Task.ID)
	case j.ran[s.Task.ID]:
		m.t.Fatalf("job %d starts task %s again without a proof that it did not run", s.Job, s.Task.ID)
	case target.Leaving:
		m.t.Fatalf("start at target %s, which is leaving", s.Target)
	case !m.now.Before(target.LeaseEnd):
		m.t.Fatalf("start at target %s, whose lease has expired", s.Target)
	case s.Task.Accelerator && target.Accelerators == 0:
		m.t.Fatalf("start at target %s, which has no accelerator", s.Target)
	case s.Deadline.After(m.now.Add(time.Duration(j.spec.DeadlineMS) * time.Millisecond)):
		m.t.Fatalf("the deadline of a start is later than that of job %d", s.Job)
	}
	j.ran[s.Task.ID] = true
	m.lastStart = s.ID
	m.openStarts = append(m.openStarts, s)
}

func (m *coreModel) checkAnswer(a dispatch.JobAnswer) {
	j := m.jobs[a.Job]
	j.answers++
	j.outcome = a.Answer.Outcome
	if j.answers > 1 {
		m.t.Fatalf("job %d was answered twice", a.Job)
	}
	switch a.Answer.Outcome {
	case job.Complete:
		m.checkOutputs(a)
	case job.NotRun:
		for id, ran := range j.ran {
			if ran {
				m.t.Fatalf("job %d was answered as not run although task %s may have run", a.Job, id)
			}
		}
	}
	if a.Answer.Outcome != job.Complete && len(a.Answer.Outputs) > 0 {
		m.t.Fatalf("job %d is not complete and has outputs", a.Job)
	}
}

func (m *coreModel) checkOutputs(a dispatch.JobAnswer) {
	j := m.jobs[a.Job]
	if len(a.Answer.Outputs) != len(j.spec.Tasks) {
		m.t.Fatalf("job %d is complete with %d outputs of %d", a.Job, len(a.Answer.Outputs), len(j.spec.Tasks))
	}
	for i, o := range a.Answer.Outputs {
		want, _ := json.Marshal(fmt.Sprintf("%d/%s", a.Job, j.spec.Tasks[i].ID))
		if string(o.Output) != string(want) || o.ID != j.spec.Tasks[i].ID {
			m.t.Fatalf("job %d got output %s for task %s", a.Job, o.Output, o.ID)
		}
	}
}

// expireAllJobs moves the clock past every deadline and checks that each job has been
// answered once.
func (m *coreModel) expireAllJobs() {
	m.now = m.now.Add(time.Minute)
	m.core.Tick(m.now)
	m.check()
	for id, j := range m.jobs {
		if j.answers != 1 {
			m.t.Fatalf("job %d has %d answers after its deadline", id, j.answers)
		}
	}
	if m.core.QueuedTasks() != 0 || m.core.Jobs() != 0 {
		m.t.Fatalf("%d tasks are queued and %d jobs in progress after all deadlines", m.core.QueuedTasks(), m.core.Jobs())
	}
}

// TestCoreKeepsItsInvariants checks under random events that a task starts again only
// after a proof that it did not start, that every job gets exactly one answer with all
// of its own outputs or none, that no task of a job answered as "not run" may have
// run, and that no start goes to a target that is leaving or whose lease has expired.
func TestCoreKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCoreModel(t, dispatch.DefaultConfig())
		events := []func(){m.announce, m.submit, m.endAttempt, m.endAttempt, m.cancel, m.advance}
		m.announce()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			m.check()
		}
		m.expireAllJobs()
	})
}
