package host

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

const forwardMargin = time.Second // added to a job's deadline for the way

// forward passes a submission to another host. It is given up when the job's
// deadline has passed or the connection goes silent. Nothing is sent to a
// suspect host.
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
	return h.client.Forward(ctx, host, body)
}
