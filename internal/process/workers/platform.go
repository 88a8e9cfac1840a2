package workers

import (
	"context"
	"time"
)

// Task is a task that runs on a worker.
type Task struct {
	Name     string // the name of its start, unique among all hosts
	Target   string
	Worker   string
	LeaseEnd time.Time // the worker ends the task then at the latest
}

// Platform is what the owner of the workers offers. Every call may be repeated.
type Platform interface {
	// Stop ends a task. A nil error means that it no longer runs.
	Stop(ctx context.Context, t Task) error
	// Checkpoint saves a task's state.
	Checkpoint(ctx context.Context, t Task) error
	// Throttle limits a task to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, t Task, share float64) error
}
