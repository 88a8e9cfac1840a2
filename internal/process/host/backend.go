package host

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Submit implements callerapi.Backend.
func (h *Host) Submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer {
	answer := h.submit(ctx, spec, body)
	h.observer.answered(answer)
	return answer
}

func (h *Host) submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer {
	t, err := ticket.Parse(spec.Ticket)
	if err != nil {
		return job.Refuse(err)
	}
	if t.Host == h.settings.Host {
		return h.SubmitLocal(ctx, spec)
	}
	answer, err := h.client.Forward(ctx, t.Host, body)
	if err != nil {
		return job.RefuseElsewhere(err)
	}
	return answer
}

// SubmitLocal implements peer.Backend.
func (h *Host) SubmitLocal(ctx context.Context, spec *job.Spec) *job.Answer {
	answer, err := h.loop.Submit(ctx, spec)
	if err != nil {
		return job.RefuseElsewhere(err)
	}
	return answer
}

// Cancel implements callerapi.Backend.
func (h *Host) Cancel(ctx context.Context, text string) error {
	t, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	if t.Host == h.settings.Host {
		return h.CancelLocal(text)
	}
	return h.client.Cancel(ctx, t.Host, text)
}

// CancelLocal implements peer.Backend.
func (h *Host) CancelLocal(text string) error { return h.loop.Cancel(text) }

const renewsPerLease = 3 // a target may miss all but one renewal

// Announce implements callerapi.Backend.
func (h *Host) Announce(a wire.Announcement) (wire.Lease, error) {
	target, err := h.targets.announce(time.Now(), a)
	if err != nil {
		return wire.Lease{}, err
	}
	if err := h.loop.SetTargets([]dispatch.Target{target}); err != nil {
		return wire.Lease{}, err
	}
	lease := h.settings.Timing.TargetLease
	return wire.Lease{
		LeaseMS: lease.Milliseconds(),
		RenewMS: (lease / renewsPerLease).Milliseconds(),
		Host:    h.settings.Host,
	}, nil
}

// Targets implements callerapi.Backend.
func (h *Host) Targets(ctx context.Context) ([]wire.TargetStatus, error) {
	s, err := h.loop.Status(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	list := make([]wire.TargetStatus, 0, len(s.Targets))
	for _, t := range s.Targets {
		list = append(list, wire.TargetStatus{
			Announcement: t.Announcement,
			Alive:        t.Alive(now),
			Busy:         t.Busy(),
			LeaseMS:      t.LeaseEnd.Sub(now).Milliseconds(),
		})
	}
	return list, nil
}

// Hosts implements callerapi.Backend.
func (h *Host) Hosts(context.Context) ([]wire.HostStatus, error) {
	self := wire.HostStatus{
		Host:        h.settings.Host,
		Domain:      h.settings.Domain,
		Region:      h.settings.Region,
		Incarnation: h.incarnation,
		State:       "self",
	}
	return append([]wire.HostStatus{self}, h.peers.list(time.Now())...), nil
}

// Ready implements callerapi.Backend.
func (h *Host) Ready() error {
	if h.draining.Load() {
		return failure.New(failure.Draining, "the host is stopping")
	}
	return nil
}

// Bundle implements callerapi.Backend.
func (h *Host) Bundle() uint64 { return 0 }
