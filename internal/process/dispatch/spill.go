package dispatch

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// spillResult is the result of passing a job to another failure domain.
type spillResult struct {
	id      JobID
	answer  *job.Answer // nil if no host accepted the job
	refusal error       // why this domain refused the job; nil if it can still admit it
}

// spillableKinds are the kinds of refusal that may not apply in another domain.
var spillableKinds = map[failure.Kind]bool{
	failure.NoTargets:        true,
	failure.NeverRunnable:    true,
	failure.Overloaded:       true,
	failure.DeadlineTooShort: true,
}

// maySpill reports whether the policy allows a job to be passed to another domain. A
// job that came from another domain is not passed on.
func (l *Loop) maySpill(s submission) bool { return l.canSpill(s.spilled) }

// canSpill is maySpill for a job of which only the origin is known.
func (l *Loop) canSpill(spilled bool) bool {
	return l.config.Spiller != nil && l.config.Core.config.SpillEnabled && !spilled
}

// exceedsSpillThreshold reports whether a job should be passed to another domain
// although this domain has not refused it, because it would wait too long here.
func (l *Loop) exceedsSpillThreshold(now time.Time, s submission) bool {
	return l.maySpill(s) && l.config.Core.estimateWait(now, s.spec) > l.config.Core.config.SpillWaitThreshold
}

// estimateWait returns the expected time until a new job gets its first slot.
func (c *Core) estimateWait(now time.Time, spec *job.Spec) time.Duration {
	return c.queue.EstimateWait(c.newJob(now, 0, spec).queueJob(), c.slotCapacity(now))
}

// spill passes a job to another domain on a goroutine of its own. refusal states why
// this domain refused the job; it is nil if this domain can run the job as well.
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

// handleSpillResult answers a spilled job. A job that no other domain ran is admitted
// here unless this domain refused it before. A refused job is answered and its
// record dropped, so that a resubmission may start it.
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
		l.observeRefusal(p.key, p.spec, now.Sub(p.admittedAt), refusal, Refused)
	}
	if refusal == nil {
		return
	}
	l.removeJob(r.id)
	p.ticketTable.Forget(p.key.Seq)
	p.reply(job.ErrorAnswer(refusal))
}

// Load holds the free slots that a host knows of in its domain and its queue length.
type Load struct {
	FreeSlots            int // free slots held here or by live peers
	FreeAcceleratorSlots int // those of FreeSlots at targets with an accelerator
	QueuedTasks          int // tasks waiting for a slot at this host
}

// Load returns the Load as of the last tick. It may be called from any goroutine.
func (l *Loop) Load() Load { return *l.load.Load() }
