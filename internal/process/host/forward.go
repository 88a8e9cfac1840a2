package host

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

const (
	forwardMargin = time.Second            // added to a job's deadline for the way
	forwardPoll   = 100 * time.Millisecond // between two looks at the holder's state
)

// forward passes a submission to another host. It is given up when the job's
// deadline has passed or the host stops answering exchanges, so that a frozen
// holder does not keep a caller waiting. Nothing is sent to a suspect host.
func (h *Host) forward(ctx context.Context, host string, spec *job.Spec, body []byte) (*job.Answer, error) {
	if h.hosts.suspect(time.Now(), host) {
		return nil, failure.New(failure.HolderUnreachable, "host "+host+" holds the record and does not answer")
	}
	limit := h.defaultDeadline()
	if spec.DeadlineMS > 0 {
		limit = time.Duration(spec.DeadlineMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit+forwardMargin)
	defer cancel()
	go h.watch(ctx, cancel, host)
	return h.client.Forward(ctx, host, body)
}

// watch cancels a forward when its holder becomes suspect.
func (h *Host) watch(ctx context.Context, cancel context.CancelFunc, host string) {
	ticker := time.NewTicker(forwardPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if h.hosts.suspect(now, host) {
				cancel()
				return
			}
		}
	}
}
