package host

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

const forwardMargin = time.Second // added to a job's deadline for network delay

// forward passes a submission to another host and returns its answer. The call
// ends when the job's deadline plus forwardMargin has passed or the connection
// no longer responds. For a suspect host it sends nothing and returns
// HolderUnreachable.
func (h *Host) forward(ctx context.Context, host string, spec *job.Spec, body []byte) (*job.Answer, error) {
	if h.peerHosts.isSuspect(time.Now(), host) {
		return nil, failure.New(failure.HolderUnreachable, "host "+host+", which holds the record, does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, h.forwardTimeout(spec))
	defer cancel()
	return h.peerClient.Forward(ctx, host, body)
}

// forwardTimeout returns the longest time that another host may take to answer
// a job: the job's deadline plus forwardMargin.
func (h *Host) forwardTimeout(spec *job.Spec) time.Duration {
	return spec.Deadline(h.policy.current().Deadlines.Default) + forwardMargin
}
