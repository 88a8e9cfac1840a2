package scenario

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

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
	attempts []*attempt
}

// attempt is one submission of a job. Its result is valid once done is closed.
type attempt struct {
	done     chan struct{}
	verdict  string // "complete", "OUTCOME KIND" or "lost"
	comeBack bool   // whether a resubmission may have another answer
}

// Job declares a job.
func (w *World) Job(label string, config JobConfig) {
	w.jobs[label] = &jobState{
		tasks:    jobTasks(label, config.Tasks, config.Fault, config.Run),
		deadline: config.Deadline,
	}
}

type task = job.Task

// jobTasks returns tasks that run for the given time. Fault is done to the
// first one.
func jobTasks(label string, count int, fault history.Payload, run time.Duration) []task {
	var tasks []task
	for i := range count {
		payload := history.Payload{}
		if i == 0 {
			payload = fault
		}
		payload.Job, payload.Task = label, fmt.Sprintf("t%d", i+1)
		payload.RunMS = new(run.Milliseconds())
		tasks = append(tasks, caller.Task(payload))
	}
	return tasks
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
	one := &attempt{done: make(chan struct{})}
	state.attempts = append(state.attempts, one)
	submission := caller.Submission{
		Job: label, Attempt: len(state.attempts), Ticket: state.ticket,
		Deadline: state.deadline, Tasks: state.tasks,
	}
	go func() {
		defer close(one.done)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		one.settle(w.sender.Submit(ctx, link.Address(), submission))
	}()
	return nil
}

func (a *attempt) settle(answer job.Answer, err error) {
	a.verdict = verdict(answer, err)
	a.comeBack = err != nil || answer.Error != nil && answer.Error.RetryAfterMS != nil
}

// Persist submits the job to host, again when its answers say to come back,
// until there is an answer that no resubmission would change.
func (w *World) Persist(label, host string) error {
	return poll(func() error {
		if err := w.Submit(label, host, waitLimit); err != nil {
			return err
		}
		last, err := w.last(label)
		if err == nil && last.comeBack {
			err = fmt.Errorf("%s: still answered %q", label, last.verdict)
		}
		return err
	})
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

// last waits for the end of the latest submission of a job.
func (w *World) last(label string) (*attempt, error) {
	state, ok := w.jobs[label]
	if !ok || len(state.attempts) == 0 {
		return nil, fmt.Errorf("%s: no such job was submitted", label)
	}
	one := state.attempts[len(state.attempts)-1]
	<-one.done
	return one, nil
}

// await waits for the end of all submissions of all jobs.
func (w *World) await() {
	for _, state := range w.jobs {
		for _, one := range state.attempts {
			<-one.done
		}
	}
}

// Answer checks that the answer to the latest submission is one of those
// given: "complete", "OUTCOME KIND" or "lost".
func (w *World) Answer(label string, allowed ...string) error {
	last, err := w.last(label)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, last.verdict) {
		return fmt.Errorf("%s: the answer is %q, not %s", label, last.verdict, strings.Join(allowed, " or "))
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
	return w.sender.Cancel(context.Background(), link.Address(), state.ticket)
}

// Started waits until at least count tasks of the job were started.
func (w *World) Started(label string, count int) error {
	return poll(func() error {
		n, err := w.count(startOf(label))
		if err == nil && n < count {
			err = fmt.Errorf("%s: %d tasks started, not %d", label, n, count)
		}
		return err
	})
}

// Starts checks that exactly count tasks of the job were started so far.
func (w *World) Starts(label string, count int) error {
	n, err := w.count(startOf(label))
	if err == nil && n != count {
		err = fmt.Errorf("%s: %d tasks started, not %d", label, n, count)
	}
	return err
}

// Refused waits until the target has refused at least count tasks.
func (w *World) Refused(target string, count int) error {
	return poll(func() error {
		n, err := w.count(func(e history.Event) bool { return e.Kind == history.Refuse && e.Target == target })
		if err == nil && n < count {
			err = fmt.Errorf("%s: %d tasks refused, not %d", target, n, count)
		}
		return err
	})
}

// Left waits until the target has recorded its leaving.
func (w *World) Left(target string) error {
	return poll(func() error {
		n, err := w.count(func(e history.Event) bool { return e.Kind == history.Leaving && e.Target == target })
		if err == nil && n == 0 {
			err = fmt.Errorf("%s: has not left", target)
		}
		return err
	})
}

func startOf(label string) func(history.Event) bool {
	return func(e history.Event) bool { return e.Kind == history.Start && e.Job == label }
}

// count returns how many events so far are of the kind that is asked for.
func (w *World) count(is func(history.Event) bool) (int, error) {
	events, err := w.events()
	n := 0
	for _, e := range events {
		if is(e) {
			n++
		}
	}
	return n, err
}
