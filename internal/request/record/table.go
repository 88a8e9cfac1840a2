package record

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Config bounds a Book.
type Config struct {
	MaxAnswers     int   // answers kept
	MaxAnswerBytes int64 // bytes of those answers
}

// Table maps the tickets of one incarnation to their jobs. It is not safe for
// concurrent use.
type Table struct {
	config  Config
	used    used
	entries map[uint64]*entry
	stored  []uint64 // sequence numbers with an answer, oldest first
	bytes   int64
	horizon time.Time // tickets that expire up to here are refused for good
}

type entry struct {
	digest uint64
	answer *job.Answer // nil while the job is in progress
	size   int64
	void   bool // the answer holds for any content
}

// NewTable returns an empty Book.
func NewTable(config Config) *Table {
	return &Table{config: config, used: newUsed(), entries: make(map[uint64]*entry)}
}

// State says what a submission found.
type State int

// The states of a ticket at a submission.
const (
	Fresh    State = iota // first use: the job may be started
	Running               // the job is in progress: wait for its answer
	Answered              // the answer is at hand
)

// Begin records a submission under ticket seq. Its errors are TicketReused for
// another job under the same ticket, RecordLost if the answer was dropped, and
// TicketExpired once Expire has passed the ticket's end, whatever the clock
// says later.
func (b *Table) Begin(seq, digest uint64, expires time.Time) (State, *job.Answer, error) {
	e, ok := b.entries[seq]
	if !ok && !expires.After(b.horizon) {
		return Answered, nil, failure.New(failure.TicketExpired, "the ticket's time is over")
	}
	if !ok && b.used.has(seq) {
		return Answered, nil, failure.New(failure.RecordLost, "the answer is no longer held")
	}
	if !ok {
		b.used.add(seq, expires)
		b.entries[seq] = &entry{digest: digest}
		return Fresh, nil, nil
	}
	if e.digest != digest && !e.void {
		return Answered, nil, failure.New(failure.TicketReused, "the ticket was used for another job")
	}
	if e.answer == nil {
		return Running, nil, nil
	}
	return Answered, e.answer, nil
}

// Void uses up a ticket that was not used, with the answer that a later
// submission gets. It reports whether the ticket was unused.
func (b *Table) Void(seq uint64, expires time.Time, answer *job.Answer) bool {
	if b.used.has(seq) || !expires.After(b.horizon) {
		return false
	}
	b.used.add(seq, expires)
	b.entries[seq] = &entry{void: true}
	b.Finish(seq, answer)
	return true
}

// Forget drops the record of a job that started nothing, so that a
// resubmission may start it.
func (b *Table) Forget(seq uint64) {
	delete(b.entries, seq)
	b.used.remove(seq)
}

// Finish stores the answer to the job of ticket seq. A job has one answer: a
// second one is ignored.
func (b *Table) Finish(seq uint64, answer *job.Answer) {
	e, ok := b.entries[seq]
	if !ok || e.answer != nil {
		return
	}
	e.answer = answer
	e.size = answerSize(answer)
	b.bytes += e.size
	b.stored = append(b.stored, seq)
	for len(b.stored) > b.config.MaxAnswers || b.bytes > b.config.MaxAnswerBytes {
		b.dropOldest()
	}
}

// Expire drops the marks of tickets that have expired by now. The horizon
// keeps such a ticket from being taken for an unused one after the clock went
// back.
func (b *Table) Expire(now time.Time) {
	if !now.After(b.horizon) {
		return
	}
	b.horizon = now
	b.used.expire(now)
}

// Running returns the number of jobs in progress.
func (b *Table) Running() int { return len(b.entries) - len(b.stored) }

// Stored returns the number of answers kept.
func (b *Table) Stored() int { return len(b.stored) }

func (b *Table) dropOldest() {
	seq := b.stored[0]
	b.stored = b.stored[1:]
	b.bytes -= b.entries[seq].size
	delete(b.entries, seq)
}

const entryBytes = 256 // an entry without its outputs, bytes

func answerSize(a *job.Answer) int64 {
	size := int64(entryBytes)
	for _, o := range a.Outputs {
		size += int64(len(o.ID) + len(o.Output))
	}
	return size
}
