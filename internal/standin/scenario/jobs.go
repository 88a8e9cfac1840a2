package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

const defaultDeadline = 30 * time.Second

// senderConfig gives each submission a connection of its own, so that a cut
// meets only the submissions that a scenario means.
func senderConfig(writer *history.Writer) caller.SenderConfig {
	return caller.SenderConfig{
		Team:    "scenario",
		Client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		History: writer,
	}
}

// JobConfig describes a job of a scenario. Fault is done to its first task.
type JobConfig struct {
	Tasks    int
	Run      time.Duration // run time of each task
	Fault    history.Payload
	Deadline time.Duration
}

// jobState is a job and its submissions.
type jobState struct {
	tasks    []job.Task
	deadline time.Duration
	ticket   string
	open     sync.WaitGroup

	mu       sync.Mutex
	attempts int
	last     string // verdict of the last answer: "complete", "OUTCOME KIND" or "lost"
}

// Job declares a job.
func (w *World) Job(label string, config JobConfig) {
	state := &jobState{deadline: config.Deadline}
	for i := range config.Tasks {
		payload := history.Payload{}
		if i == 0 {
			payload = config.Fault
		}
		payload.Job, payload.Task = label, fmt.Sprintf("t%d", i+1)
		payload.RunMS = new(config.Run.Milliseconds())
		state.tasks = append(state.tasks, caller.Task(payload))
	}
	w.jobs[label] = state
}

// Ticket gets the job a ticket issued by host.
func (w *World) Ticket(label, host string) error {
	state, ok := w.jobs[label]
	if !ok {
		return fmt.Errorf("%s: no such job", label)
	}
	link, err := w.Link("caller-" + host)
	if err != nil {
		return err
	}
	state.ticket, err = w.sender.Ticket(context.Background(), link.Address())
	return err
}

// Submit sends the job to host, under a ticket of that host if it has none
// yet, and does not wait for the answer.
func (w *World) Submit(label, host string, timeout time.Duration) error {
	state, ok := w.jobs[label]
	if !ok {
		return fmt.Errorf("%s: no such job", label)
	}
	if state.ticket == "" {
		if err := w.Ticket(label, host); err != nil {
			return err
		}
	}
	link, err := w.Link("caller-" + host)
	if err != nil {
		return err
	}
	submission := caller.Submission{
		Job: label, Attempt: state.attempt(), Ticket: state.ticket,
		Deadline: state.deadline, Tasks: state.tasks,
	}
	state.open.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		state.settle(w.sender.Submit(ctx, link.Address(), submission))
	})
	return nil
}

// attempt returns the number of the next submission.
func (s *jobState) attempt() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	return s.attempts
}

func (s *jobState) settle(answer job.Answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = verdict(answer, err)
}

func verdict(answer job.Answer, err error) string {
	switch {
	case err != nil:
		return "lost"
	case answer.Error != nil:
		return string(answer.Outcome) + " " + answer.Error.Kind
	default:
		return string(answer.Outcome)
	}
}

// Await waits for the answers to all submissions of a job.
func (w *World) Await(label string) error {
	state, ok := w.jobs[label]
	if !ok {
		return fmt.Errorf("%s: no such job", label)
	}
	state.open.Wait()
	return nil
}

// Answer waits for all submissions and checks that the last answer is one of
// those given: "complete", "OUTCOME KIND" or "lost".
func (w *World) Answer(label string, allowed ...string) error {
	if err := w.Await(label); err != nil {
		return err
	}
	state := w.jobs[label]
	state.mu.Lock()
	defer state.mu.Unlock()
	if !slices.Contains(allowed, state.last) {
		return fmt.Errorf("%s: the answer is %q, not %s", label, state.last, strings.Join(allowed, " or "))
	}
	return nil
}

// Cancel withdraws the job at host.
func (w *World) Cancel(label, host string) error {
	state, ok := w.jobs[label]
	if !ok {
		return fmt.Errorf("%s: no such job", label)
	}
	link, err := w.Link("caller-" + host)
	if err != nil {
		return err
	}
	url := "http://" + link.Address() + wire.PathJobs + "?ticket=" + state.ticket
	request, err := http.NewRequest(http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("cancel %s: %s: %s", label, response.Status, body)
	}
	return nil
}

// Started waits until at least count tasks of the job were started.
func (w *World) Started(label string, count int) error {
	return poll(func() error {
		n, err := w.starts(label)
		if err == nil && n < count {
			err = fmt.Errorf("%s: %d tasks started, not %d", label, n, count)
		}
		return err
	})
}

// Starts checks that exactly count tasks of the job were started so far.
func (w *World) Starts(label string, count int) error {
	n, err := w.starts(label)
	if err == nil && n != count {
		err = fmt.Errorf("%s: %d tasks started, not %d", label, n, count)
	}
	return err
}

func (w *World) starts(label string) (int, error) {
	events, err := w.events()
	n := 0
	for _, e := range events {
		if e.What == history.Start && e.Job == label {
			n++
		}
	}
	return n, err
}
