package record

import (
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// TicketID identifies a ticket, and the job submitted under it, across all hosts
// and incarnations.
type TicketID struct {
	ticket.Issuer
	Seq uint64
}

// AnswerCopies holds copies of answers that other hosts gave, for use after such a
// host is lost. A missing copy does not prove that a job did not run. AnswerCopies
// has the same limits as a Table and is not safe for concurrent use.
type AnswerCopies struct {
	config  Config
	entries map[TicketID]answerCopy
	order   []TicketID // keys of entries, oldest first
	bytes   int64
}

type answerCopy struct {
	digest uint64
	answer *job.Answer
	size   int64
}

// NewAnswerCopies returns an empty AnswerCopies.
func NewAnswerCopies(config Config) *AnswerCopies {
	return &AnswerCopies{config: config, entries: make(map[TicketID]answerCopy)}
}

// Put stores the answer to a job with the given content digest. A key that is
// stored already keeps its first answer.
func (c *AnswerCopies) Put(key TicketID, digest uint64, answer *job.Answer) {
	if _, ok := c.entries[key]; ok {
		return
	}
	e := answerCopy{digest: digest, answer: answer, size: answerSize(answer)}
	c.entries[key] = e
	c.order = append(c.order, key)
	c.bytes += e.size
	for len(c.order) > c.config.MaxAnswers || c.bytes > c.config.MaxAnswerBytes {
		c.bytes -= c.entries[c.order[0]].size
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
}

// Get returns the answer to a job, or nil if there is no copy for a job with that
// content digest.
func (c *AnswerCopies) Get(key TicketID, digest uint64) *job.Answer {
	e, ok := c.entries[key]
	if !ok || e.digest != digest {
		return nil
	}
	return e.answer
}
