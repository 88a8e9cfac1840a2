package dispatch

import (
	"context"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// spillResult is the end of a job that was passed to another domain.
type spillResult struct {
	id      JobID
	answer  *job.Answer // nil if no host took the job
	refusal error       // why this domain did not run it
}

// spillKinds are the refusals that another domain may not share.
var spillKinds = map[failure.Kind]bool{
	failure.NoTargets:        true,
	failure.NeverRunnable:    true,
	failure.Overloaded:       true,
	failure.DeadlineTooShort: true,
}

func (l *Loop) maySpill(s submission, err error) bool {
	return l.config.Spiller != nil && !s.spilt && spillKinds[failure.KindOf(err)]
}

// spill runs a job in another domain on a goroutine of its own.
func (l *Loop) spill(id JobID, spec *job.Spec, refusal error) {
	ctx, cancel := context.WithCancel(l.running)
	l.jobs[id].cancel = cancel
	go func() {
		defer cancel()
		answer := l.config.Spiller.Spill(ctx, spec)
		select {
		case l.spilled <- spillResult{id, answer, refusal}:
		case <-l.stopped:
		}
	}()
}

// settleSpill answers a spilled job. A job that no domain ran is refused and
// forgotten, so that a resubmission may start it.
func (l *Loop) settleSpill(r spillResult) {
	if r.answer != nil && r.answer.Outcome != job.NotRun {
		l.finish(Finish{Job: r.id, Answer: r.answer})
		return
	}
	p := l.jobs[r.id]
	l.drop(r.id)
	p.book.Forget(p.key.Seq)
	p.reply(job.Refuse(r.refusal))
}

// Load is the free capacity that a host sees in its domain.
type Load struct {
	Free         int // free slots
	Accelerators int // of those, at targets with an accelerator
	Queued       int // tasks waiting for a slot
}

// Load returns the free capacity at the last tick.
func (l *Loop) Load() Load { return *l.load.Load() }
