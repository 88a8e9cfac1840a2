package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

const ticketTimeout = 2 * time.Second

// SenderConfig configures a Sender.
type SenderConfig struct {
	Team    string
	Client  *http.Client // nil selects a new client
	History *history.Writer
}

// Sender sends single requests of callers. It records submissions and their answers in
// the history. It is safe for concurrent use.
type Sender struct {
	config SenderConfig
}

// Submission is one attempt to submit a job.
type Submission struct {
	Job      string // the caller's label, the same in each attempt
	Attempt  int    // from 1
	Ticket   string
	Deadline time.Duration
	Tasks    []job.Task
}

// NewSender returns a Sender with the given configuration.
func NewSender(config SenderConfig) *Sender {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &Sender{config: config}
}

// Ticket returns a first ticket, issued by the entry host at address entry.
func (s *Sender) Ticket(ctx context.Context, entry string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	var grant wire.TicketGrant
	status, err := s.post(ctx, entry, wire.PathTickets, struct{}{}, &grant)
	if err != nil {
		return "", err
	}
	if grant.Ticket == "" {
		return "", fmt.Errorf("status %d without a ticket", status)
	}
	return grant.Ticket, nil
}

// Submit sends one attempt to the entry host at address entry. An error means that the
// answer was lost.
func (s *Sender) Submit(ctx context.Context, entry string, submission Submission) (job.Answer, error) {
	event := history.Event{Job: submission.Job, Attempt: submission.Attempt, Entry: entry, Ticket: submission.Ticket}
	s.recordSubmit(event, submission.Tasks)
	spec := job.Spec{
		Ticket:     submission.Ticket,
		Team:       s.config.Team,
		DeadlineMS: submission.Deadline.Milliseconds(),
		Tasks:      submission.Tasks,
	}
	var answer job.Answer
	status, err := s.post(ctx, entry, wire.PathJobs, spec, &answer)
	if err == nil && answer.Outcome == "" {
		err = fmt.Errorf("status %d without an outcome", status)
	}
	if err != nil {
		event.Kind, event.Reason = history.Lost, err.Error()
		s.config.History.Write(event)
		return job.Answer{}, err
	}
	event.Kind, event.Answer, event.Status = history.Answer, &answer, status
	s.config.History.Write(event)
	return answer, nil
}

func (s *Sender) recordSubmit(event history.Event, tasks []job.Task) {
	event.Kind = history.Submit
	for _, t := range tasks {
		event.Tasks = append(event.Tasks, t.ID)
	}
	s.config.History.Write(event)
}

// Cancel cancels the job of a ticket at the entry host at address entry.
func (s *Sender) Cancel(ctx context.Context, entry, ticket string) error {
	url := "http://" + entry + wire.PathJobs + "?ticket=" + ticket
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	response, err := s.config.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("cancel: %s: %s", response.Status, body)
	}
	return nil
}

// post posts one JSON document and decodes the answer into out.
func (s *Sender) post(ctx context.Context, entry, path string, in, out any) (status int, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	url := "http://" + entry + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.config.Client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, nil
}
