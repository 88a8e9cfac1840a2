package workers

import (
	"context"
	"errors"
	"time"
)

// Task is a task that runs on a worker.
type Task struct {
	ID       uint64 // of its start, unique in this process
	Name     string // of its start, unique in this process
	Target   string
	Address  string // IP:port of the target
	Worker   string
	LeaseEnd time.Time // the worker ends the task then at the latest
}

// ErrUnsupported says that a task cannot be stopped; it ends with its lease.
var ErrUnsupported = errors.New("the task cannot be stopped")

// Platform is what the owner of the workers offers. Every call may be repeated.
type Platform interface {
	// Stop ends a task. A nil error means that it no longer runs. It returns
	// ErrUnsupported if asking again would not help.
	Stop(ctx context.Context, t Task) error
	// Checkpoint saves a task's state.
	Checkpoint(ctx context.Context, t Task) error
	// Throttle limits a task to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, t Task, share float64) error
}
