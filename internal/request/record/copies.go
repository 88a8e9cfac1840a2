package record

import (
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// TicketID names the job of one ticket in the whole system.
type TicketID struct {
	ticket.Issuer
	Seq uint64
}

// AnswerCopies holds answers that another host gave, in case that host is lost. It
// proves nothing about a job that it does not hold. It is bounded like a Book
// and not safe for concurrent use.
type AnswerCopies struct {
	config  Config
	entries map[TicketID]copied
	order   []TicketID // oldest first
	bytes   int64
}

type copied struct {
	digest uint64
	answer *job.Answer
	size   int64
}

// NewAnswerCopies returns an empty Copies.
func NewAnswerCopies(config Config) *AnswerCopies {
	return &AnswerCopies{config: config, entries: make(map[TicketID]copied)}
}

// Put stores the answer to a job with the given content digest.
func (c *AnswerCopies) Put(key TicketID, digest uint64, answer *job.Answer) {
	if _, ok := c.entries[key]; ok {
		return
	}
	e := copied{digest: digest, answer: answer, size: answerSize(answer)}
	c.entries[key] = e
	c.order = append(c.order, key)
	c.bytes += e.size
	for len(c.order) > c.config.MaxAnswers || c.bytes > c.config.MaxAnswerBytes {
		c.bytes -= c.entries[c.order[0]].size
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
}

// Get returns the answer to a job, nil if it is not held for that content.
func (c *AnswerCopies) Get(key TicketID, digest uint64) *job.Answer {
	e, ok := c.entries[key]
	if !ok || e.digest != digest {
		return nil
	}
	return e.answer
}
