package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

const (
	lostPause     = 50 * time.Millisecond // between a lost answer and the resubmission
	ticketTimeout = 2 * time.Second
)

// CallerConfig configures a Caller.
type CallerConfig struct {
	Entries       []string // HTTP addresses of entry hosts, tried in turn
	First         int      // index of the entry host to begin with
	Team          string
	Deadline      time.Duration
	ResubmitAfter time.Duration // an answer that takes longer counts as lost; 0 waits for ever
	GiveUpAfter   time.Duration // no resubmission after this time
	Client        *http.Client
	History       *history.Writer
}

// Caller submits one job at a time. It is not safe for concurrent use.
type Caller struct {
	config CallerConfig
	entry  int
	ticket string
}

// NewCaller returns a Caller without a ticket.
func NewCaller(config CallerConfig) *Caller {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &Caller{config: config, entry: config.First}
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
	begin := time.Now()
	result := Result{Job: label}
	for {
		wait, done := c.attempt(ctx, &result, tasks)
		result.Elapsed = time.Since(begin)
		if done || ctx.Err() != nil || result.Elapsed+wait > c.config.GiveUpAfter {
			return result
		}
		pause(ctx, wait)
	}
}

// attempt sends the job once. It returns when to send it again.
func (c *Caller) attempt(ctx context.Context, result *Result, tasks []job.Task) (wait time.Duration, done bool) {
	if c.ticket == "" && c.firstTicket(ctx) != nil {
		c.turn()
		return lostPause, false
	}
	result.Attempts++
	event := history.Event{Job: result.Job, Attempt: result.Attempts, Entry: c.address(), Ticket: c.ticket}
	c.recordSubmit(event, tasks)
	answer, status, err := c.post(ctx, tasks)
	if err != nil {
		event.What, event.Reason = history.Lost, err.Error()
		c.config.History.Write(event)
		c.turn()
		return lostPause, false
	}
	event.What, event.Answer, event.Status = history.Answer, &answer, status
	c.config.History.Write(event)
	result.Answered, result.Answer = true, answer
	return c.next(answer)
}

// next takes over the answer's ticket, or keeps the old one for another
// attempt.
func (c *Caller) next(answer job.Answer) (wait time.Duration, done bool) {
	if answer.Error == nil || answer.Error.RetryAfterMS == nil {
		c.ticket = answer.NextTicket
		return 0, true
	}
	if needsTicket(failure.Kind(answer.Error.Kind)) {
		c.ticket = answer.NextTicket
	}
	c.turn()
	return time.Duration(*answer.Error.RetryAfterMS) * time.Millisecond, false
}

// needsTicket returns whether a job refused with k never ran and must come
// back with another ticket.
func needsTicket(k failure.Kind) bool {
	return k == failure.TicketRequired || k == failure.TicketInvalid
}

func (c *Caller) recordSubmit(event history.Event, tasks []job.Task) {
	event.What = history.Submit
	for _, t := range tasks {
		event.Tasks = append(event.Tasks, t.ID)
	}
	c.config.History.Write(event)
}

func (c *Caller) address() string {
	return c.config.Entries[c.entry%len(c.config.Entries)]
}

// turn goes to the next entry host.
func (c *Caller) turn() { c.entry++ }

func (c *Caller) post(ctx context.Context, tasks []job.Task) (job.Answer, int, error) {
	spec := job.Spec{Ticket: c.ticket, Team: c.config.Team, DeadlineMS: c.config.Deadline.Milliseconds(), Tasks: tasks}
	if c.config.ResubmitAfter > 0 {
		limited, cancel := context.WithTimeout(ctx, c.config.ResubmitAfter)
		defer cancel()
		ctx = limited
	}
	var answer job.Answer
	status, err := c.exchange(ctx, wire.PathJobs, spec, &answer)
	if err == nil && answer.Outcome == "" {
		err = fmt.Errorf("status %d without an outcome", status)
	}
	return answer, status, err
}

func (c *Caller) firstTicket(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	var grant wire.TicketGrant
	status, err := c.exchange(ctx, wire.PathTickets, struct{}{}, &grant)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("ticket: status %d", status)
	}
	if err == nil {
		c.ticket = grant.Ticket
	}
	return err
}

// exchange posts one document and reads the whole answer.
func (c *Caller) exchange(ctx context.Context, path string, in, out any) (status int, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	url := "http://" + c.address() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.config.Client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, nil
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
