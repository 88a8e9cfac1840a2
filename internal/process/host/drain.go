package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/grpc"
)

// ErrJobsAborted is returned by Run if jobs in progress were cut.
var ErrJobsAborted = errors.New("jobs in progress were cut")

const drainPoll = 20 * time.Millisecond // between two looks at the jobs in progress

// drain stops gracefully: readiness fails, jobs in progress finish, then the
// servers close. It stops at once when cut is cancelled.
func (h *Host) drain(cut context.Context, web *http.Server, link *grpc.Server) error {
	h.log.Info("Draining.")
	h.draining.Store(true)
	if err := h.loop.Drain(); err != nil {
		h.log.Warn("The loop is busy.", "error", err)
	}
	wait(cut, h.settings.Timing.DrainNotice)
	limit, cancel := context.WithTimeout(cut, h.settings.Timing.DrainLimit)
	defer cancel()
	left := h.awaitJobs(limit)
	if left > 0 {
		h.log.Error("Jobs in progress were cut.", "jobs", left)
		link.Stop()
		return errors.Join(ErrJobsAborted, web.Close())
	}
	err := web.Shutdown(limit)
	stopLink(limit, link)
	h.handOn(cut)
	h.log.Info("Stopped.")
	return err
}

// stopLink lets calls in progress end and closes the connections. Those that
// are silent are closed when ctx ends.
func stopLink(ctx context.Context, link *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		link.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		link.Stop()
		<-stopped
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitJobs waits until no job is in progress and returns the number left.
func (h *Host) awaitJobs(ctx context.Context) int {
	left := 0
	for {
		if s, err := h.loop.Status(context.Background()); err == nil {
			left = s.Jobs
		}
		if left == 0 || ctx.Err() != nil {
			return left
		}
		wait(ctx, drainPoll)
	}
}
