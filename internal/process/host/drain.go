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

const drainPollInterval = 20 * time.Millisecond // between two looks at the jobs in progress

// drain stops gracefully: readiness fails, jobs in progress finish, then the
// servers close. It stops at once when cut is cancelled.
func (h *Host) drain(abort context.Context, httpServer *http.Server, peerServer *grpc.Server) error {
	h.log.Info("Draining.")
	h.draining.Store(true)
	if err := h.loop.Drain(); err != nil {
		h.log.Warn("The loop is busy.", "error", err)
	}
	sleep(abort, h.settings.Timing.DrainNotice)
	drainCtx, cancel := context.WithTimeout(abort, h.settings.Timing.DrainLimit)
	defer cancel()
	remaining := h.waitForJobs(drainCtx)
	if remaining > 0 {
		h.log.Error("Jobs in progress were cut.", "jobs", remaining)
		peerServer.Stop()
		return errors.Join(ErrJobsAborted, httpServer.Close())
	}
	err := httpServer.Shutdown(drainCtx)
	stopPeerServer(drainCtx, peerServer)
	h.handOver(abort)
	h.log.Info("Stopped.")
	return err
}

// stopPeerServer lets calls in progress end and closes the connections. Those that
// are silent are closed when ctx ends.
func stopPeerServer(ctx context.Context, server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		server.Stop()
		<-stopped
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitForJobs waits until no job is in progress and returns the number left.
func (h *Host) waitForJobs(ctx context.Context) int {
	remaining := 0
	for {
		if s, err := h.loop.Status(context.Background()); err == nil {
			remaining = s.Jobs
		}
		if remaining == 0 || ctx.Err() != nil {
			return remaining
		}
		sleep(ctx, drainPollInterval)
	}
}
