package dispatch

import (
	"maps"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
)

func evacuatedError() *failure.Error {
	return failure.New(failure.NoTargets, "the failure domain is evacuated")
}

// SetEvacuated starts or ends the evacuation of the failure domain. During an
// evacuation no attempt is made and no slot is lent; running tasks end normally. Jobs
// with waiting tasks are answered at once, because nobody knows when the evacuation is
// withdrawn.
func (c *Core) SetEvacuated(now time.Time, evacuated bool) {
	if c.evacuated == evacuated {
		return
	}
	c.evacuated = evacuated
	c.disableEjectedTargets(now)
	if evacuated {
		for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
			c.withhold(c.jobs[id])
		}
	}
	c.assignTasks(now)
}

// withhold answers a job if it has waiting tasks. A job that is proven not to have run
// is refused and may run in another domain. Any other job is answered as run in part;
// its running tasks are not stopped.
func (c *Core) withhold(j *jobState) {
	if j.incompleteTasks == len(j.startsInProgress) {
		return
	}
	err := evacuatedError()
	if j.mayHaveRun || len(j.startsInProgress) > 0 {
		err = failure.New(failure.NotPlaced, "the failure domain was evacuated before all tasks were started")
	}
	c.endJob(j, JobAnswer{Job: j.id, Answer: job.ErrorAnswer(err), Withheld: true, Deadline: j.deadline})
}

// WithheldOutcome is what became of a job whose tasks were not started because of an
// evacuation.
type WithheldOutcome string

// The outcomes of a withheld job.
const (
	PassedOn WithheldOutcome = "passed_on" // sent to another domain; refused if none accepts it
	Refused  WithheldOutcome = "refused"   // answered as not run
	Broken   WithheldOutcome = "broken"    // answered as run in part
)

// WithheldJob describes a job whose tasks were not started because of an evacuation.
type WithheldJob struct {
	Ticket  record.TicketID
	Team    string
	Tasks   int
	Age     time.Duration // since the job was admitted; 0 if it was not
	Outcome WithheldOutcome
}

// SetEvacuated starts or ends the evacuation of the failure domain. The Loop applies it
// before the next event that it handles, so that a full ring can't delay or lose it.
func (l *Loop) SetEvacuated(evacuated bool) {
	l.evacuated.Store(evacuated)
	select {
	case l.evacuationChanged <- struct{}{}:
	default:
	}
}

// now returns the time of an event, after it has applied a change of the evacuation.
func (l *Loop) now() time.Time {
	now := l.config.Clock()
	l.config.Core.SetEvacuated(now, l.evacuated.Load())
	return now
}

// answerWithheld answers a job whose tasks were withheld, or passes it to another
// domain if it has not run and the policy allows that.
func (l *Loop) answerWithheld(now time.Time, a JobAnswer) {
	p := l.jobs[a.Job]
	outcome := Broken
	remaining := a.Deadline.Sub(now)
	if a.Answer.Outcome == job.NotRun {
		outcome = Refused
		if l.canSpill(p.spilled) && remaining >= time.Millisecond {
			outcome = PassedOn
		}
	}
	l.observeWithheld(p.key, p.spec, now.Sub(p.admittedAt), outcome)
	if outcome != PassedOn {
		l.answerJob(a)
		return
	}
	spec := *p.spec
	spec.DeadlineMS = remaining.Milliseconds() // the receiver counts the deadline from its own admission
	l.spill(a.Job, &spec, evacuatedError())
}

// observeRefusal reports a refusal of the Core to the observer if an evacuation is its
// reason.
func (l *Loop) observeRefusal(key record.TicketID, spec *job.Spec, age time.Duration, err error, outcome WithheldOutcome) {
	if err != nil && l.config.Core.evacuated {
		l.observeWithheld(key, spec, age, outcome)
	}
}

func (l *Loop) observeWithheld(key record.TicketID, spec *job.Spec, age time.Duration, outcome WithheldOutcome) {
	if l.config.ObserveWithheld != nil {
		l.config.ObserveWithheld(WithheldJob{Ticket: key, Team: spec.Team, Tasks: len(spec.Tasks), Age: age, Outcome: outcome})
	}
}
