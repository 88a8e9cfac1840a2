package job

import "wasabifield.example/wasabifield/internal/request/failure"

// ErrorAnswer returns the answer for err. The outcome is NotRun if the kind of err
// implies that no task of the job was started, otherwise Failed.
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

// ErrorAnswerWithoutRecord returns the answer for err at a host that has no record of
// the job. Such a host knows whether its own attempt started a task, but not whether
// another submission of the job did, so JobRan is never No.
func ErrorAnswerWithoutRecord(err error) *Answer {
	a := ErrorAnswer(err)
	if a.Error.JobRan == string(failure.No) {
		a.Error.JobRan = string(failure.Unknown)
		a.Outcome = Failed
	}
	return a
}

// IsTemporaryRefusal reports whether no task of the job was started and the answer
// states when the job may be submitted again.
func (a *Answer) IsTemporaryRefusal() bool {
	return a.Outcome == NotRun && a.Error != nil && a.Error.RetryAfterMS != nil
}
