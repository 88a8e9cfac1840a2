package caller

import (
	"context"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// lostAnswerDelay is the time between a lost answer and the resubmission.
const lostAnswerDelay = 50 * time.Millisecond

// CallerConfig configures a Caller.
type CallerConfig struct {
	Team          string
	Client        *http.Client // nil makes one
	History       *history.Writer
	Entries       []string      // HTTP addresses of entry hosts, tried in turn
	Deadline      time.Duration // of each job
	FirstEntry    int           // index of the entry host to begin with
	AnswerTimeout time.Duration // an answer that takes longer counts as lost; 0 waits for ever
	RetryTimeout  time.Duration // no resubmission after this time
}

// Caller submits one job at a time. It is not safe for concurrent use.
type Caller struct {
	config     CallerConfig
	sender     *Sender
	entryIndex int
	ticket     string
}

// NewCaller returns a Caller without a ticket.
func NewCaller(config CallerConfig) *Caller {
	sender := NewSender(SenderConfig{Team: config.Team, Client: config.Client, History: config.History})
	return &Caller{config: config, sender: sender, entryIndex: config.FirstEntry}
}

// Result is what became of one job.
type Result struct {
	Job      string
	Answered bool       // false if every answer was lost
	Answer   job.Answer // the last answer
	Attempts int
	Elapsed  time.Duration
}

// Submit submits the job under label and resubmits it, with the same ticket,
// until it has an answer that no resubmission would change.
func (c *Caller) Submit(ctx context.Context, label string, tasks []job.Task) Result {
	startedAt := time.Now()
	result := Result{Job: label}
	for {
		wait, done := c.attempt(ctx, &result, tasks)
		result.Elapsed = time.Since(startedAt)
		if done || ctx.Err() != nil || result.Elapsed+wait > c.config.RetryTimeout {
			return result
		}
		sleep(ctx, wait)
	}
}

// attempt sends the job once. It returns when to send it again.
func (c *Caller) attempt(ctx context.Context, result *Result, tasks []job.Task) (wait time.Duration, done bool) {
	if c.ticket == "" && !c.requestTicket(ctx) {
		c.useNextEntry()
		return lostAnswerDelay, false
	}
	result.Attempts++
	answer, err := c.send(ctx, Submission{
		Job: result.Job, Attempt: result.Attempts, Ticket: c.ticket, Deadline: c.config.Deadline, Tasks: tasks,
	})
	if err != nil {
		c.useNextEntry()
		return lostAnswerDelay, false
	}
	result.Answered, result.Answer = true, answer
	return c.updateTicket(answer)
}

func (c *Caller) send(ctx context.Context, submission Submission) (job.Answer, error) {
	if c.config.AnswerTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, c.config.AnswerTimeout)
		defer cancel()
		ctx = limited
	}
	return c.sender.Submit(ctx, c.address(), submission)
}

// updateTicket takes over the answer's ticket, or keeps the old one for another
// attempt.
func (c *Caller) updateTicket(answer job.Answer) (wait time.Duration, done bool) {
	if answer.Error == nil || answer.Error.RetryAfterMS == nil {
		c.ticket = answer.NextTicket
		return 0, true
	}
	if needsTicket(failure.Kind(answer.Error.Kind)) {
		c.ticket = answer.NextTicket
	}
	c.useNextEntry()
	return time.Duration(*answer.Error.RetryAfterMS) * time.Millisecond, false
}

// needsTicket returns whether a job refused with k never ran and must come
// back with another ticket.
func needsTicket(k failure.Kind) bool {
	return k == failure.TicketRequired || k == failure.TicketInvalid
}

func (c *Caller) requestTicket(ctx context.Context) bool {
	ticket, err := c.sender.Ticket(ctx, c.address())
	c.ticket = ticket
	return err == nil
}

func (c *Caller) address() string {
	return c.config.Entries[c.entryIndex%len(c.config.Entries)]
}

// useNextEntry goes to the next entry host.
func (c *Caller) useNextEntry() { c.entryIndex++ }

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
