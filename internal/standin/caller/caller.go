package caller

import (
	"context"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// lostAnswerDelay is the time between the loss of an answer and the resubmission.
const lostAnswerDelay = 50 * time.Millisecond

// CallerConfig configures a Caller.
type CallerConfig struct {
	Team          string
	Client        *http.Client // nil selects a new client
	History       *history.Writer
	Entries       []string      // HTTP addresses of entry hosts, tried in turn
	Deadline      time.Duration // of each job
	FirstEntry    int           // index of the entry host for the first request
	AnswerTimeout time.Duration // an answer that takes longer counts as lost; 0 means no timeout
	RetryTimeout  time.Duration // no resubmission later than this after the start of Submit
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

// Result is the result of one job.
type Result struct {
	Job      string
	Answered bool       // false if all answers were lost
	Answer   job.Answer // the last answer
	Attempts int
	Elapsed  time.Duration
}

// Submit submits the job named label and resubmits it with the same ticket until it has an
// answer that a resubmission would not change, RetryTimeout would be exceeded or ctx
// ends.
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

// attempt sends the job once. If done is false, the job is to be sent again after wait.
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

// updateTicket stores the next ticket of a final answer. Before another attempt it keeps
// the ticket, unless the answer states that the job needs another one, and selects the next
// entry host. It returns the time to wait before that attempt and whether the answer is
// final.
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

// needsTicket reports whether a job refused with k never ran and must be sent again with
// another ticket.
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

// useNextEntry selects the next entry host for the following requests.
func (c *Caller) useNextEntry() { c.entryIndex++ }

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
