package host

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"wasabifield.example/wasabifield/internal/connection/intake"
)

// ErrJobsAborted is returned by Run if jobs were still in progress when the
// drain ended.
var ErrJobsAborted = errors.New("jobs in progress were aborted at the end of the drain")

const drainPollInterval = 20 * time.Millisecond // between two counts of the jobs in progress

// drain stops gracefully: readiness fails, jobs in progress finish, then the
// servers close and the records are handed over to another host. It stops at
// once when abort is cancelled, and returns ErrJobsAborted if jobs are still in
// progress then or after the drain limit.
func (h *Host) drain(abort context.Context, httpServer *intake.Server, peerServer *grpc.Server) error {
	h.log.Info("Draining.")
	h.draining.Store(true)
	if err := h.loop.Drain(); err != nil {
		h.log.Warn("The loop did not accept the drain request.", "error", err)
	}
	sleep(abort, h.settings.Timing.DrainDelay)
	drainCtx, cancel := context.WithTimeout(abort, h.settings.Timing.DrainTimeout)
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

// stopPeerServer waits until the calls in progress end and closes the
// connections. Connections that are still open when ctx ends, such as those of
// hosts that no longer respond, are closed then.
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

// waitForJobs waits until no job is in progress or ctx ends, and returns the
// number of jobs in progress.
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
