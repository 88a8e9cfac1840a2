package workers

import (
	"context"
	"errors"
	"time"
)

// Task is a task that runs, or may run, on a worker.
type Task struct {
	ID       uint64 // identifies the start of the task; unique in this process
	Name     string // name of the start; unique in this process
	Target   string
	Address  string // IP:port of the target
	Worker   string
	LeaseEnd time.Time // when the worker ends the task at the latest
}

// ErrUnsupported means that a task cannot be stopped; the task ends with its lease at the
// latest.
var ErrUnsupported = errors.New("the task cannot be stopped")

// Platform is the interface to the owner of the workers. All calls are idempotent.
type Platform interface {
	// Stop ends a task. A nil error means that the task no longer runs. Stop returns
	// ErrUnsupported if repeating the request would not help.
	Stop(ctx context.Context, t Task) error
	// Checkpoint saves the state of a task.
	Checkpoint(ctx context.Context, t Task) error
	// Throttle limits a task to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, t Task, share float64) error
}
