package dispatch

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// submission is a job that was submitted to the Loop, with its parsed ticket.
type submission struct {
	ticket  ticket.Ticket
	spec    *job.Spec
	digest  uint64
	spilled bool             // the job comes from another domain and is not passed on
	reply   chan *job.Answer // has a buffer of one, so that the Loop does not block
}

// Submit submits a job and waits for its answer. If ctx ends first, the job continues
// and its answer is kept for a resubmission. The error kinds are those of
// ticket.Parse, Overloaded if the ring is full, and AnswerLost if ctx ends or the
// Loop stops before the answer.
func (l *Loop) Submit(ctx context.Context, spec *job.Spec) (*job.Answer, error) {
	return l.submitAndWait(ctx, submission{spec: spec})
}

// SubmitSpilled is Submit for a job that another failure domain passed on.
func (l *Loop) SubmitSpilled(ctx context.Context, spec *job.Spec) (*job.Answer, error) {
	return l.submitAndWait(ctx, submission{spec: spec, spilled: true})
}

func (l *Loop) submitAndWait(ctx context.Context, s submission) (*job.Answer, error) {
	t, err := ticket.Parse(s.spec.Ticket)
	if err != nil {
		return nil, err
	}
	s.ticket = t
	s.digest = s.spec.Digest()
	s.reply = make(chan *job.Answer, 1)
	if err := l.post(func(now time.Time) { l.submit(now, s) }); err != nil {
		return nil, err
	}
	select {
	case answer := <-s.reply:
		return answer, nil
	case <-ctx.Done():
		return nil, failure.New(failure.AnswerLost, "the caller stopped waiting before the job was answered")
	case <-l.stopped:
		return nil, failure.New(failure.AnswerLost, "the host stopped before the job was answered")
	}
}

func (l *Loop) submit(now time.Time, s submission) {
	records, err := l.findIssuer(s.ticket, s.spec.Ticket, now)
	if err != nil {
		s.reply <- l.answerFromCopy(s, err)
		return
	}
	state, answer, err := records.ticketTable.Begin(s.ticket.Seq, s.digest, s.ticket.Expires)
	switch {
	case err != nil:
		s.reply <- job.ErrorAnswer(err)
	case state == record.Answered:
		s.reply <- answer
	case state == record.Running:
		l.addWaiter(s)
	default:
		l.admit(now, s, records)
	}
}

// answerFromCopy returns the copy of the answer to a job whose record is lost, or the
// answer for err if err is of another kind or there is no copy.
func (l *Loop) answerFromCopy(s submission, err error) *job.Answer {
	if failure.KindOf(err) == failure.RecordLost {
		if answer := l.copies.Get(s.key(), s.digest); answer != nil {
			return answer
		}
	}
	return job.ErrorAnswer(err)
}

// findIssuer returns the records that a ticket belongs to. The error kinds are
// RecordLost if this host has no records of the ticket's incarnation, and those of
// ticket.Minter.Check.
func (l *Loop) findIssuer(t ticket.Ticket, text string, now time.Time) (*issuerRecords, error) {
	records, ok := l.issuers[t.Issuer]
	if !ok {
		return nil, failure.New(failure.RecordLost, "the host that issued the ticket has restarted since then")
	}
	return records, records.minter.Check(text, now)
}

func (s submission) key() record.TicketID {
	return record.TicketID{Issuer: s.ticket.Issuer, Seq: s.ticket.Seq}
}

// addWaiter makes a resubmission wait for the answer to the job in progress.
func (l *Loop) addWaiter(s submission) {
	if p, ok := l.jobs[l.jobIDs[s.key()]]; ok {
		p.waiters = append(p.waiters, s.reply)
	}
}

// admit admits a new job here, passes it to another domain or refuses it.
func (l *Loop) admit(now time.Time, s submission, records *issuerRecords) {
	err := l.checkAllowed(s)
	// The evacuations may have been learned during checkAllowed, which succeeds only
	// after the host has learned them.
	l.now()
	spill := err == nil && !l.config.Core.evacuated && l.exceedsSpillThreshold(now, s)
	if err == nil && !spill {
		err = l.config.Core.Submit(now, l.lastJobID+1, s.spec)
		spill = err != nil && l.maySpill(s) && spillableKinds[failure.KindOf(err)]
		outcome := Refused
		if spill {
			outcome = PassedOn
		}
		l.observeRefusal(s.key(), s.spec, 0, err, outcome)
	}
	if err != nil && !spill {
		records.ticketTable.Forget(s.ticket.Seq)
		s.reply <- job.ErrorAnswer(err)
		return
	}
	l.lastJobID++
	p := &pendingJob{
		key:         s.key(),
		spec:        s.spec,
		admittedAt:  now,
		digest:      s.digest,
		ticketTable: records.ticketTable,
		waiters:     []chan *job.Answer{s.reply},
		spilled:     s.spilled,
	}
	l.jobIDs[p.key] = l.lastJobID
	l.jobs[l.lastJobID] = p
	if spill {
		l.spill(l.lastJobID, s.spec, err)
	}
}

// checkAllowed returns an error for a new job while the host drains or if the
// CheckAllowed of the configuration does.
func (l *Loop) checkAllowed(s submission) error {
	if err := l.checkNotDraining(); err != nil || l.config.CheckAllowed == nil {
		return err
	}
	return l.config.CheckAllowed(s.spec)
}

func (l *Loop) checkNotDraining() error {
	if !l.draining {
		return nil
	}
	return failure.New(failure.Draining, "the host is stopping")
}

// Cancel cancels the job of a ticket. A ticket that was not used is marked as used,
// so that a submission that arrives later starts nothing.
func (l *Loop) Cancel(ctx context.Context, text string) error {
	t, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	return callNoValue(ctx, l, func(now time.Time) error { return l.cancel(now, t, text) })
}

func (l *Loop) cancel(now time.Time, t ticket.Ticket, text string) error {
	records, err := l.findIssuer(t, text, now)
	if err != nil {
		return err
	}
	if l.handedOver {
		return failure.New(failure.Draining, "the records were handed over to another host")
	}
	cancelled := job.ErrorAnswer(failure.New(failure.Cancelled, "the caller cancelled the job"))
	if records.ticketTable.Void(t.Seq, t.Expires, cancelled) {
		return nil
	}
	id, ok := l.jobIDs[record.TicketID{Issuer: t.Issuer, Seq: t.Seq}]
	switch {
	case !ok:
	case l.jobs[id].cancel != nil:
		l.jobs[id].cancel()
	default:
		l.config.Core.Cancel(now, id)
	}
	return nil
}
