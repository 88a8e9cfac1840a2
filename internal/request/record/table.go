package record

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Config limits the answers that a Table or an AnswerCopies keeps.
type Config struct {
	MaxAnswers     int   // number of answers
	MaxAnswerBytes int64 // total size of the answers, bytes
}

// Table maps the tickets of one incarnation to their jobs. It is not safe for
// concurrent use.
type Table struct {
	config        Config
	used          usedSet
	entries       map[uint64]*entry
	answeredSeqs  []uint64 // tickets with a stored answer, oldest answer first
	answerBytes   int64
	expiryHorizon time.Time // unused tickets that expire at or before it are refused permanently
}

type entry struct {
	digest uint64
	answer *job.Answer // nil while the job is in progress
	size   int64
	void   bool // the ticket was voided: the answer applies to any job content
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	return &Table{config: config, used: newUsedSet(), entries: make(map[uint64]*entry)}
}

// State is the state of a ticket when a job is submitted under it.
type State int

// The states of a ticket.
const (
	Fresh    State = iota // the ticket was unused: the job may be started
	Running               // the job is in progress: the submission waits for its answer
	Answered              // the answer is stored
)

// Begin records a submission under ticket seq of a job with the given content
// digest. The answer is nil unless the state is Answered. The error kinds are
// TicketReused if the ticket was used for another job, RecordLost if the answer
// was dropped, and TicketExpired if the ticket has no entry and Expire was called
// with a time at or after its expiry, even if the clock was set back since.
func (t *Table) Begin(seq, digest uint64, expires time.Time) (State, *job.Answer, error) {
	e, ok := t.entries[seq]
	if !ok && !expires.After(t.expiryHorizon) {
		return Answered, nil, failure.New(failure.TicketExpired, "the ticket has expired")
	}
	if !ok && t.used.has(seq) {
		return Answered, nil, failure.New(failure.RecordLost, "the stored answer was dropped")
	}
	if !ok {
		t.used.add(seq, expires)
		t.entries[seq] = &entry{digest: digest}
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

// Void marks an unused ticket as used and stores the answer that any later
// submission under it gets. It returns false and changes nothing if the ticket
// was used or has expired.
func (t *Table) Void(seq uint64, expires time.Time, answer *job.Answer) bool {
	if t.used.has(seq) || !expires.After(t.expiryHorizon) {
		return false
	}
	t.used.add(seq, expires)
	t.entries[seq] = &entry{void: true}
	t.Finish(seq, answer)
	return true
}

// Forget removes the record of a job of which no task was started, so that a
// resubmission under the same ticket may start the job.
func (t *Table) Forget(seq uint64) {
	delete(t.entries, seq)
	t.used.remove(seq)
}

// Finish stores the answer to the job of ticket seq and drops the oldest answers
// beyond the limits of Config. A job has one answer; a second one is ignored.
func (t *Table) Finish(seq uint64, answer *job.Answer) {
	e, ok := t.entries[seq]
	if !ok || e.answer != nil {
		return
	}
	e.answer = answer
	e.size = answerSize(answer)
	t.answerBytes += e.size
	t.answeredSeqs = append(t.answeredSeqs, seq)
	for len(t.answeredSeqs) > t.config.MaxAnswers || t.answerBytes > t.config.MaxAnswerBytes {
		t.dropOldest()
	}
}

// Expire drops the used marks of tickets that have expired by now. The expiry
// horizon prevents such a ticket from counting as unused after the clock was set
// back.
func (t *Table) Expire(now time.Time) {
	if !now.After(t.expiryHorizon) {
		return
	}
	t.expiryHorizon = now
	t.used.expire(now)
}

// Running returns the number of jobs in progress.
func (t *Table) Running() int { return len(t.entries) - len(t.answeredSeqs) }

// Stored returns the number of stored answers.
func (t *Table) Stored() int { return len(t.answeredSeqs) }

func (t *Table) dropOldest() {
	seq := t.answeredSeqs[0]
	t.answeredSeqs = t.answeredSeqs[1:]
	t.answerBytes -= t.entries[seq].size
	delete(t.entries, seq)
}

const entryBytes = 256 // size that an entry without its outputs counts as, bytes

func answerSize(a *job.Answer) int64 {
	size := int64(entryBytes)
	for _, o := range a.Outputs {
		size += int64(len(o.ID) + len(o.Output))
	}
	return size
}
