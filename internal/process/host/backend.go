package host

import (
	"context"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/workers"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Submit implements callerapi.Backend.
func (h *Host) Submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer {
	answer := h.submit(ctx, spec, body)
	h.observer.countAnswer(answer)
	h.recorder.CountAnswer(time.Now(), answer)
	return answer
}

func (h *Host) submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer {
	t, err := ticket.Parse(spec.Ticket)
	if err != nil {
		return job.ErrorAnswer(err)
	}
	answer := h.submitTo(ctx, t.Host, spec, body)
	if !holderFailed(answer) {
		return answer
	}
	for _, other := range h.otherHostsOfDomain(t.Host) {
		if otherAnswer := h.submitTo(ctx, other, spec, body); !holderFailed(otherAnswer) {
			return otherAnswer
		}
	}
	return answer
}

// holderFailed reports whether the host that was asked has no record of the
// ticket's incarnation or could not be reached. Another host of the issuer's
// domain may have taken over the records or may hold a copy of the answer.
func holderFailed(a *job.Answer) bool {
	if a.Error == nil {
		return false
	}
	return isHolderFailure(failure.Kind(a.Error.Kind))
}

func isHolderFailure(k failure.Kind) bool {
	return k == failure.RecordLost || k == failure.HolderUnreachable
}

// otherHostsOfDomain returns the hosts that share the failure domain of the
// named host, without that host: this host first if it is one of them, then
// those that are alive and not draining.
func (h *Host) otherHostsOfDomain(name string) []string {
	now := time.Now()
	domain := h.peerHosts.domainOf(now, name)
	if name == h.settings.Host {
		domain = h.settings.Domain
	}
	var list []string
	if domain == h.settings.Domain && name != h.settings.Host {
		list = append(list, h.settings.Host)
	}
	for _, other := range h.peerHosts.availableHosts(now, domain) {
		if other != name {
			list = append(list, other)
		}
	}
	return list
}

func (h *Host) submitTo(ctx context.Context, host string, spec *job.Spec, body []byte) *job.Answer {
	if host == h.settings.Host {
		return h.SubmitLocal(ctx, spec)
	}
	answer, err := h.forward(ctx, host, spec, body)
	if err != nil {
		return job.ErrorAnswerWithoutRecord(err)
	}
	return answer
}

// SubmitLocal implements peer.Backend.
func (h *Host) SubmitLocal(ctx context.Context, spec *job.Spec) *job.Answer {
	answer, err := h.loop.Submit(ctx, spec)
	if err != nil {
		return job.ErrorAnswerWithoutRecord(err)
	}
	return answer
}

// Cancel implements callerapi.Backend.
func (h *Host) Cancel(ctx context.Context, text string) error {
	t, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	err = h.cancelAt(ctx, t.Host, text)
	for _, other := range h.otherHostsOfDomain(t.Host) {
		if !isHolderFailure(failure.KindOf(err)) {
			break
		}
		err = h.cancelAt(ctx, other, text)
	}
	return err
}

func (h *Host) cancelAt(ctx context.Context, host, text string) error {
	if host == h.settings.Host {
		return h.CancelLocal(ctx, text)
	}
	return h.peerClient.Cancel(ctx, host, text)
}

// CancelLocal implements peer.Backend.
func (h *Host) CancelLocal(ctx context.Context, text string) error { return h.loop.Cancel(ctx, text) }

// setTargets passes new and changed targets to the loop. Targets that a full
// ring rejects are passed again with the next full refresh.
func (h *Host) setTargets(list []dispatch.Target) {
	if len(list) == 0 {
		return
	}
	if err := h.loop.SetTargets(list); err != nil {
		h.log.Warn("The loop did not accept updated targets.", "error", err)
	}
}

// renewAfterPercent is the share of a lease after which a target renews it. At
// 40 % a second renewal still arrives within the lease if the first is lost.
const renewAfterPercent = 40

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
		LeaseMS:      lease.Milliseconds(),
		RenewAfterMS: lease.Milliseconds() * renewAfterPercent / 100,
		Host:         h.settings.Host,
	}, nil
}

// ReportUsage implements callerapi.Backend.
func (h *Host) ReportUsage(list []wire.WorkerUsage) error {
	now := time.Now()
	usages := make([]workers.Usage, len(list))
	for i, u := range list {
		usages[i] = workers.Usage{
			Worker:               u.Worker,
			MeasuredAt:           now.Add(-time.Duration(u.AgeMS) * time.Millisecond),
			ProcessorUtilization: u.Processors,
			MemoryUtilization:    u.Memory,
		}
	}
	return h.loop.ReportUsage(usages)
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
			Announcement:     t.Announcement,
			Alive:            t.Alive(now),
			RunningTasks:     t.StartsInProgress(),
			State:            t.UseStatus(),
			LeaseRemainingMS: t.LeaseEnd.Sub(now).Milliseconds(),
		})
	}
	return list, nil
}

// Hosts implements callerapi.Backend.
func (h *Host) Hosts(context.Context) ([]wire.HostStatus, error) {
	self := wire.HostStatus{
		Host:           h.settings.Host,
		Domain:         h.settings.Domain,
		Region:         h.settings.Region,
		Incarnation:    h.peerHosts.incarnation(),
		State:          "self",
		ControlVersion: h.controlPlane.Version(),
	}
	return append([]wire.HostStatus{self}, h.peerHosts.statuses(time.Now())...), nil
}

// Jobs implements operatorapi.JobLister.
func (h *Host) Jobs(ctx context.Context) ([]wire.JobStatus, error) {
	list, err := h.loop.ListJobs(ctx)
	if err != nil {
		return nil, err
	}
	jobs := make([]wire.JobStatus, len(list))
	for i, j := range list {
		jobs[i] = wire.JobStatus{
			Ticket:         j.Host + "/" + strconv.FormatUint(j.TicketSeq, 10),
			Team:           j.Team,
			Tasks:          j.Tasks,
			RunningTasks:   j.RunningTasks,
			CompletedTasks: j.CompletedTasks,
			AgeMS:          j.Age.Milliseconds(),
			RemainingMS:    j.TimeToDeadline.Milliseconds(),
		}
	}
	return jobs, nil
}

// Ready implements callerapi.Backend.
func (h *Host) Ready() error {
	if h.draining.Load() {
		return failure.New(failure.Draining, "the host is stopping")
	}
	return h.checkCaughtUp()
}

// checkCaughtUp returns NotReady while a bundle newer than the one this host
// holds may have been in force in its domain.
func (h *Host) checkCaughtUp() error {
	if h.controlPlane.CaughtUp() {
		return nil
	}
	return failure.New(failure.NotReady, "the host does not know yet which bundle is in force")
}

// checkAdmission returns an error for a new job that this host must not start:
// the host has not caught up, or the job exceeds the limits of the bundle.
func (h *Host) checkAdmission(spec *job.Spec) error {
	if err := h.checkCaughtUp(); err != nil {
		return err
	}
	return h.policy.current().checkLimits(spec)
}

// BundleVersion implements callerapi.Backend. It returns nil until the host has caught
// up.
func (h *Host) BundleVersion() *uint64 {
	if !h.controlPlane.CaughtUp() {
		return nil
	}
	version := h.policy.current().Version
	return &version
}
