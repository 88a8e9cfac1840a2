package job

import "wasabifield.example/wasabifield/internal/request/failure"

// ErrorAnswer builds the answer for err. Outcome is NotRun where the job is known
// not to have run, else Failed.
func ErrorAnswer(err error) *Answer {
	kind := failure.KindOf(err)
	row := failure.Lookup(kind)
	e := &Error{
		Kind:       string(kind),
		Message:    err.Error(),
		AttemptRan: string(row.AttemptRan),
		JobRan:     string(row.JobRan),
	}
	if f, ok := failure.As(err); ok {
		e.Field = f.Field
		e.Message = f.Message
	}
	if row.RetryAfter != failure.Never {
		ms := row.RetryAfter.Milliseconds()
		e.RetryAfterMS = &ms
	}
	outcome := Failed
	if row.JobRan == failure.No {
		outcome = NotRun
	}
	return &Answer{Outcome: outcome, Error: e}
}

// ErrorAnswerWithoutRecord builds the answer of a host that does not hold the job's
// record: it knows what its own attempt started and not whether the job ran.
func ErrorAnswerWithoutRecord(err error) *Answer {
	a := ErrorAnswer(err)
	if a.Error.JobRan == string(failure.No) {
		a.Error.JobRan = string(failure.Unknown)
		a.Outcome = Failed
	}
	return a
}

// IsTemporaryRefusal reports whether the job did not run and the answer states when
// to submit it again.
func (a *Answer) IsTemporaryRefusal() bool {
	return a.Outcome == NotRun && a.Error != nil && a.Error.RetryAfterMS != nil
}
