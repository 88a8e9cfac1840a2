package fleet

import (
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

func hostMessage(h discovery.Host, age time.Duration) *fleetpb.Host {
	return &fleetpb.Host{
		Address: h.Address, Name: h.Name, Domain: h.Domain, Disk: h.HasDisk, Entry: h.Entry,
		Incarnation: h.Incarnation, Leaving: h.Leaving, AgeMs: uint32(age.Milliseconds()),
		CpuMilli: uint32(h.CPUMilli), LinkKbps: uint32(h.LinkKbps), BusyPercent: uint32(h.BusyPercent),
	}
}

func hostFrom(m *fleetpb.Host) (discovery.Host, time.Duration) {
	return discovery.Host{
		Address: m.GetAddress(), Name: m.GetName(), Domain: m.GetDomain(), HasDisk: m.GetDisk(), Entry: m.GetEntry(),
		Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(),
		CPUMilli: int(m.GetCpuMilli()), LinkKbps: int(m.GetLinkKbps()), BusyPercent: int(m.GetBusyPercent()),
	}, time.Duration(m.GetAgeMs()) * time.Millisecond
}

// Announcement is a target's report about itself, with the time at which a host received
// it.
type Announcement struct {
	Target       scheduler.Target
	Sequence     uint64 // rises with each announcement of one incarnation of the target
	Deregistered bool
	ClockMS      int64 // on the target's clock, when it sent the announcement
	ReceivedAt   time.Time
}

// isNewerThan reports whether a was sent after o. A deregistration has the sequence number
// of the last announcement that was known where it was received. What a target has announced
// replaces what was assumed of it after its restart.
func (a Announcement) isNewerThan(o Announcement) bool {
	if a.Target.Incarnation != o.Target.Incarnation {
		return a.Target.Incarnation > o.Target.Incarnation
	}
	if !a.Deregistered && !o.Deregistered && a.Target.LabelsUnknown != o.Target.LabelsUnknown {
		return o.Target.LabelsUnknown
	}
	if a.Deregistered && !o.Deregistered {
		return !o.follows(a)
	}
	if !a.Deregistered && o.Deregistered {
		return a.follows(o)
	}
	return a.Sequence > o.Sequence
}

// follows reports whether a target has announced itself after its deregistration, which
// another target or a former incarnation of it has sent.
func (a Announcement) follows(deregistration Announcement) bool {
	return a.Sequence > deregistration.Sequence && a.ReceivedAt.After(deregistration.ReceivedAt)
}

func announcementMessage(a Announcement, now time.Time) *fleetpb.Announcement {
	t := a.Target
	return &fleetpb.Announcement{
		Id: t.ID, Service: t.Service, Address: t.Address, Domain: t.Domain, Born: t.Incarnation, Sequence: a.Sequence,
		Draining: t.Draining, Gone: a.Deregistered, CpuMilli: t.Capacity.CPUMilli, MemoryMb: t.Capacity.MemoryMB,
		Gpus: t.Capacity.GPUs, Labels: t.Labels, ClockMs: a.ClockMS, AgeMs: uint32(max(0, now.Sub(a.ReceivedAt).Milliseconds())),
		ColdRemainingMs: coldRemainingMS(t.ColdUntil, now), LabelsUnknown: t.LabelsUnknown,
	}
}

// coldRemainingMS returns for how long a target is still slow after its start, 0 if it is
// not.
func coldRemainingMS(coldUntil, now time.Time) uint32 {
	if !coldUntil.After(now) {
		return 0
	}
	return uint32(coldUntil.Sub(now).Milliseconds())
}

// coldUntilOf is the inverse of coldRemainingMS; the zero time stands for a target that
// is not slow.
func coldUntilOf(remainingMS uint32, now time.Time) time.Time {
	if remainingMS == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(remainingMS) * time.Millisecond)
}

func announcementFrom(m *fleetpb.Announcement, now time.Time) Announcement {
	return Announcement{
		Target: scheduler.Target{
			ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), Domain: m.GetDomain(), Incarnation: m.GetBorn(),
			Capacity: scheduler.Resources{CPUMilli: m.GetCpuMilli(), MemoryMB: m.GetMemoryMb(), GPUs: m.GetGpus()},
			Labels:   m.GetLabels(), LabelsUnknown: m.GetLabelsUnknown(), Draining: m.GetDraining(), ColdUntil: coldUntilOf(m.GetColdRemainingMs(), now),
		},
		Sequence: m.GetSequence(), Deregistered: m.GetGone(), ClockMS: m.GetClockMs(),
		ReceivedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

func jobMessage(j scheduler.Job, now time.Time) *fleetpb.JobRequest {
	m := &fleetpb.JobRequest{
		Id: j.ID, Queue: j.Queue, Service: j.Service, Priority: int32(j.Priority), Attempts: uint32(j.MaxAttempts),
		TargetLatencyMs: uint32(j.TargetLatency.Milliseconds()), SlackFactor: j.SlackFactor, Spec: j.Spec,
		RemainingMs: uint32(max(0, j.Deadline.Sub(now).Milliseconds())), AgeMs: uint32(max(0, now.Sub(j.ArrivedAt).Milliseconds())),
		Spilled: j.Spilled, Resubmitted: j.Resubmitted, OnlyAtOnce: j.OnlyAtOnce, Returned: j.Returned, FirstTask: uint32(j.FirstTask),
	}
	for _, s := range j.Steps {
		m.Steps = append(m.Steps, stepMessage(s))
	}
	return m
}

func stepMessage(s scheduler.Step) *fleetpb.Step {
	m := &fleetpb.Step{
		Count: uint32(s.Count), CpuMilli: s.Need.CPUMilli, MemoryMb: s.Need.MemoryMB, Gpus: s.Need.GPUs,
		EstimateMs: uint32(s.Estimate.Milliseconds()), Label: s.Label, DataRack: s.DataRack, AntiAffinity: uint32(s.AntiAffinity),
	}
	for _, a := range s.After {
		m.After = append(m.After, uint32(a))
	}
	return m
}

func jobFrom(m *fleetpb.JobRequest, now time.Time) scheduler.Job {
	j := scheduler.Job{
		ID: m.GetId(), Queue: m.GetQueue(), Service: m.GetService(), Priority: int(m.GetPriority()),
		MaxAttempts: int(m.GetAttempts()), SlackFactor: m.GetSlackFactor(), Spec: m.GetSpec(), Spilled: m.GetSpilled(), Resubmitted: m.GetResubmitted(),
		OnlyAtOnce: m.GetOnlyAtOnce(), Returned: m.GetReturned(), FirstTask: int(m.GetFirstTask()),
		TargetLatency: time.Duration(m.GetTargetLatencyMs()) * time.Millisecond,
		ArrivedAt:     now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		Deadline:      now.Add(time.Duration(m.GetRemainingMs()) * time.Millisecond),
	}
	for _, s := range m.GetSteps() {
		step := scheduler.Step{
			Count:    int(s.GetCount()),
			Need:     scheduler.Resources{CPUMilli: s.GetCpuMilli(), MemoryMB: s.GetMemoryMb(), GPUs: s.GetGpus()},
			Estimate: time.Duration(s.GetEstimateMs()) * time.Millisecond,
			Label:    s.GetLabel(), DataRack: s.GetDataRack(), AntiAffinity: int(s.GetAntiAffinity()),
		}
		for _, a := range s.GetAfter() {
			step.After = append(step.After, int(a))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}
