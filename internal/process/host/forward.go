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
	if h.peerHosts.isSuspect(time.Now(), host) {
		return nil, failure.New(failure.HolderUnreachable, "host "+host+" holds the record and does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, h.forwardTimeout(spec))
	defer cancel()
	return h.peerClient.Forward(ctx, host, body)
}

// forwardTimeout is how long another host may take to answer a job.
func (h *Host) forwardTimeout(spec *job.Spec) time.Duration {
	return spec.Deadline(h.policy.current().Deadlines.Default) + forwardMargin
}
