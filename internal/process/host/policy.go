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
	inForce atomic.Pointer[bundleInForce]
}

// bundleInForce is a bundle and the time at which it came into force at this
// host.
type bundleInForce struct {
	bundle.Bundle
	inForceSince time.Time
}

func newPolicy(now time.Time) *policy {
	p := &policy{}
	p.inForce.Store(&bundleInForce{bundle.Default(), now})
	return p
}

// replace puts b in force if its version is greater than that of the bundle in
// force, and reports whether it did. An older bundle never replaces a newer one.
func (p *policy) replace(now time.Time, b bundle.Bundle) bool {
	for {
		current := p.inForce.Load()
		if b.Version <= current.Version {
			return false
		}
		if p.inForce.CompareAndSwap(current, &bundleInForce{b, now}) {
			return true
		}
	}
}

func (p *policy) current() *bundleInForce { return p.inForce.Load() }

// peerLeaseExchanges is the lease of a peer's slots in exchange intervals: a peer
// without a message for this many intervals loses its slots.
const peerLeaseExchanges = 8

// slotProbeInterval is the time between two requests for a peer's idle slots
// under the policy SharesProbing.
const slotProbeInterval = 10 * time.Millisecond

// dispatchConfig returns the configuration of the dispatch core. Parameter active
// is the bundle in force, hostSettings the settings of this host.
func dispatchConfig(active bundle.Bundle, hostSettings settings.Settings) dispatch.Config {
	config := dispatch.DefaultConfig()
	config.Host = hostSettings.Host
	config.PeerLease = peerLeaseExchanges * hostSettings.ExchangeInterval()
	config.MaxQueuedTasks = hostSettings.Limits.MaxQueuedTasks
	config.MaxQueuedBytes = hostSettings.Limits.MaxQueuedBytes
	config.AttemptTimeout = active.AttemptTimeout
	config.DefaultDeadline = active.Deadlines.Default
	config.MaxAttempts = active.Retry.Attempts
	config.SpillEnabled = active.Routing.Spill.Enabled
	config.SpillWaitThreshold = active.Routing.Spill.After
	config.RestartIdempotent = active.Retry.RestartIdempotent
	config.Health.ConsecutiveFailures = active.Ejection.Failures
	config.Health.InitialPause = active.Ejection.Pause
	config.Health.MaxPause = active.Ejection.GreatestPause
	config.Health.MaxEjectedFraction = float64(active.Ejection.GreatestPercent) / 100
	if active.SlotPolicyOf(hostSettings.Domain) == bundle.SharesProbing {
		config.ProbeBusyPeers = true
		config.SlotRequestInterval = slotProbeInterval
	}
	config.Teams = make(map[string]dispatch.Team, len(active.Teams))
	for _, t := range active.Teams {
		config.Teams[t.Name] = dispatch.Team{Quota: t.InProgress, MaxQueued: t.Queued}
	}
	if len(active.Teams) > 0 {
		config.Teams[dispatch.OtherTeams] = dispatch.Team{Quota: active.OtherTeams.InProgress, MaxQueued: active.OtherTeams.Queued}
	}
	return config
}

// checkLimits returns TooLarge or InvalidRequest, with the field, for a job that
// exceeds a limit of the bundle: tasks per job, payload bytes or deadline.
func (b *bundleInForce) checkLimits(spec *job.Spec) error {
	if limit := b.Limits.TasksPerJob; len(spec.Tasks) > limit {
		message := fmt.Sprintf("the bundle allows at most %d tasks per job, this job has %d", limit, len(spec.Tasks))
		return &failure.Error{Kind: failure.TooLarge, Field: "tasks", Message: message}
	}
	if limit := b.Deadlines.Greatest.Milliseconds(); spec.DeadlineMS > limit {
		return failure.Invalid("deadline_ms", fmt.Sprintf("the bundle allows at most %d ms", limit))
	}
	for i, t := range spec.Tasks {
		if limit := b.Limits.PayloadBytes; int64(len(t.Payload)) > limit {
			message := fmt.Sprintf("the bundle allows payloads of at most %d bytes, this payload has %d", limit, len(t.Payload))
			return &failure.Error{Kind: failure.TooLarge, Field: fmt.Sprintf("tasks[%d].payload", i), Message: message}
		}
	}
	return nil
}

// setBundle puts b in force at this host if it is newer than the bundle in
// force.
func (h *Host) setBundle(b bundle.Bundle, digest bundle.Digest) {
	if !h.policy.replace(time.Now(), b) {
		return
	}
	config := dispatchConfig(b, h.settings)
	if err := h.loop.SetConfig(config); err != nil {
		h.log.Error("The loop did not accept the bundle.", "version", b.Version, "error", err)
		return
	}
	h.recorder.RecordBundleInForce(time.Now(), b.Version, digest)
	h.log.Info("A bundle is in force.", "version", b.Version)
}
