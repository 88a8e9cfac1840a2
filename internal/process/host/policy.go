package host

import (
	"fmt"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// policy holds the bundle in force. It is safe for concurrent use.
type policy struct {
	inForce atomic.Pointer[inForce]
}

// inForce is a bundle and when it came into force at this host.
type inForce struct {
	bundle.Bundle
	since time.Time
}

func newPolicy(now time.Time) *policy {
	p := &policy{}
	p.inForce.Store(&inForce{bundle.Default(), now})
	return p
}

// replace puts b in force and reports whether it is newer than the bundle in
// force. An older one is never put back.
func (p *policy) replace(now time.Time, b bundle.Bundle) bool {
	for {
		held := p.inForce.Load()
		if b.Version <= held.Version {
			return false
		}
		if p.inForce.CompareAndSwap(held, &inForce{b, now}) {
			return true
		}
	}
}

func (p *policy) current() *inForce { return p.inForce.Load() }

// leaseExchanges is the number of exchanges without news after which a peer
// loses its slots.
const leaseExchanges = 8

// probeRetry is the time between two requests for slots under SharesProbing.
const probeRetry = 10 * time.Millisecond

// dispatchConfig is what b means for the dispatch core of a host.
func dispatchConfig(b bundle.Bundle, s settings.Settings) dispatch.Config {
	c := dispatch.DefaultConfig()
	c.Host = s.Host
	c.PeerLease = leaseExchanges * s.ExchangeInterval()
	c.MaxQueuedTasks = s.Limits.QueuedTasks
	c.MaxQueuedBytes = s.Limits.QueuedBytes
	c.AttemptTimeout = b.AttemptTimeout
	c.DefaultDeadline = b.Deadlines.Default
	c.MaxAttempts = b.Retry.Attempts
	c.SpillEnabled = b.Routing.Spill.Enabled
	c.SpillWaitThreshold = b.Routing.Spill.After
	c.RestartIdempotent = b.Retry.RestartIdempotent
	c.Health.Failures = b.Ejection.Failures
	c.Health.FirstPause = b.Ejection.Pause
	c.Health.LongPause = b.Ejection.GreatestPause
	c.Health.MaxEjected = float64(b.Ejection.GreatestPercent) / 100
	if b.SlotPolicyOf(s.Domain) == bundle.SharesProbing {
		c.ProbeBusyPeers = true
		c.SlotRequestInterval = probeRetry
	}
	c.Teams = make(map[string]dispatch.Team, len(b.Teams))
	for _, t := range b.Teams {
		c.Teams[t.Name] = dispatch.Team{Quota: t.InProgress, MaxQueued: t.Queued}
	}
	if len(b.Teams) > 0 {
		c.Teams[dispatch.OtherTeams] = dispatch.Team{Quota: b.OtherTeams.InProgress, MaxQueued: b.OtherTeams.Queued}
	}
	return c
}

// checkLimits refuses a job that the bundle in force does not allow.
func (b *inForce) checkLimits(spec *job.Spec) error {
	if most := b.Limits.TasksPerJob; len(spec.Tasks) > most {
		message := fmt.Sprintf("the bundle allows %d tasks, this job has %d", most, len(spec.Tasks))
		return &failure.Error{Kind: failure.TooLarge, Field: "tasks", Message: message}
	}
	if most := b.Deadlines.Greatest.Milliseconds(); spec.DeadlineMS > most {
		return failure.Invalid("deadline_ms", fmt.Sprintf("the bundle allows %d", most))
	}
	for i, t := range spec.Tasks {
		if most := b.Limits.PayloadBytes; int64(len(t.Payload)) > most {
			message := fmt.Sprintf("the bundle allows %d bytes, this payload has %d", most, len(t.Payload))
			return &failure.Error{Kind: failure.TooLarge, Field: fmt.Sprintf("tasks[%d].payload", i), Message: message}
		}
	}
	return nil
}

// setBundle puts b in force at this host if it is newer than the one in force.
func (h *Host) setBundle(b bundle.Bundle, digest bundle.Digest) {
	if !h.policy.replace(time.Now(), b) {
		return
	}
	config := dispatchConfig(b, h.settings)
	if err := h.loop.SetConfig(config); err != nil {
		h.log.Error("The bundle is not in force.", "version", b.Version, "error", err)
		return
	}
	h.recorder.InForce(time.Now(), b.Version, digest)
	h.log.Info("A bundle is in force.", "version", b.Version)
}
