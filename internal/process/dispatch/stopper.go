package dispatch

import (
	"context"
	"errors"
	"time"

	"wasabifield.example/wasabifield/internal/process/workers"
)

// Stopper stops tasks. It is the part of workers.Platform that a Loop uses.
type Stopper interface {
	Stop(ctx context.Context, t workers.Task) error
}

// ReportUsage records the load of workers as reported by their platform. It fails
// with Overloaded if the ring is full.
func (l *Loop) ReportUsage(list []workers.Usage) error {
	return l.post(func(now time.Time) { l.config.Core.ReportUsage(now, list) })
}

// stopTasks sends stop requests, each on a goroutine of its own. The number of
// running tasks bounds the number of goroutines.
func (l *Loop) stopTasks(ctx context.Context, list []workers.Task) {
	for _, t := range list {
		if l.config.Stopper == nil {
			l.config.Core.AbandonStop(StartID(t.ID))
			continue
		}
		go l.stopTask(ctx, t)
	}
}

func (l *Loop) stopTask(ctx context.Context, t workers.Task) {
	err := l.config.Stopper.Stop(ctx, t)
	id := StartID(t.ID)
	switch {
	case err == nil:
		_ = l.post(func(now time.Time) { l.config.Core.ConfirmStopped(now, id) })
	case errors.Is(err, workers.ErrUnsupported):
		_ = l.post(func(time.Time) { l.config.Core.AbandonStop(id) })
	}
}
