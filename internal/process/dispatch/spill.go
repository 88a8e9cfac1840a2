package dispatch

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// spillResult is the end of a job that was passed to another domain.
type spillResult struct {
	id      JobID
	answer  *job.Answer // nil if no host took the job
	refusal error       // why this domain did not run it; nil if it may yet
}

// spillableKinds are the refusals that another domain may not share.
var spillableKinds = map[failure.Kind]bool{
	failure.NoTargets:        true,
	failure.NeverRunnable:    true,
	failure.Overloaded:       true,
	failure.DeadlineTooShort: true,
}

// maySpill reports whether a job may be passed to another domain at all.
func (l *Loop) maySpill(s submission) bool {
	return l.config.Spiller != nil && l.config.Core.config.SpillEnabled && !s.spilled
}

// exceedsSpillThreshold reports whether a job is better passed on before it is refused.
func (l *Loop) exceedsSpillThreshold(now time.Time, s submission) bool {
	return l.maySpill(s) && l.config.Core.estimateWait(now, s.spec) > l.config.Core.config.SpillWaitThreshold
}

// estimateWait estimates how long a new job waits for its first slot.
func (c *Core) estimateWait(now time.Time, spec *job.Spec) time.Duration {
	return c.queue.Wait(c.newJob(now, 0, spec).queueJob(), c.slotCapacity(now))
}

// spill runs a job in another domain on a goroutine of its own. Refusal is nil
// if this domain may run it too.
func (l *Loop) spill(id JobID, spec *job.Spec, refusal error) {
	ctx, cancel := context.WithCancel(l.runContext)
	l.jobs[id].cancel = cancel
	go func() {
		defer cancel()
		answer := l.config.Spiller.Spill(ctx, spec)
		select {
		case l.spillResults <- spillResult{id, answer, refusal}:
		case <-l.stopped:
		}
	}()
}

// handleSpillResult answers a spilled job. One that no domain ran is admitted here
// if this domain had not refused it; else it is refused and forgotten, so that
// a resubmission may start it.
func (l *Loop) handleSpillResult(now time.Time, r spillResult) {
	if r.answer != nil && r.answer.Outcome != job.NotRun {
		l.answerJob(JobAnswer{Job: r.id, Answer: r.answer})
		return
	}
	p := l.jobs[r.id]
	p.cancel = nil
	refusal := r.refusal
	if refusal == nil {
		refusal = l.config.Core.Submit(now, r.id, p.spec)
	}
	if refusal == nil {
		return
	}
	l.removeJob(r.id)
	p.book.Forget(p.key.Seq)
	p.reply(job.Refuse(refusal))
}

// Load is the free capacity that a host sees in its domain.
type Load struct {
	FreeSlots            int // free slots
	FreeAcceleratorSlots int // of those, at targets with an accelerator
	QueuedTasks          int // tasks waiting for a slot
}

// Load returns the free capacity at the last tick.
func (l *Loop) Load() Load { return *l.load.Load() }
