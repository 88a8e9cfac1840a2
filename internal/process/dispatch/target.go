package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Target is a back end with its last announcement, its lease and its state at this
// host.
type Target struct {
	wire.Announcement
	LeaseEnd time.Time

	starts      int // attempts in progress from this host
	healthState health.State
	workerLost  bool // its worker or rack is considered lost
	evacuated   bool // its failure domain is evacuated
}

// Alive reports whether the target may get new work: its lease is valid and it is
// not leaving.
func (t *Target) Alive(now time.Time) bool {
	return !t.Leaving && now.Before(t.LeaseEnd)
}

// InUse is the UseStatus of a target that gets work without restriction.
const InUse = "in use"

// UseStatus returns the reason why the target gets little or no work from this host
// ("evacuated", "worker lost", "ejected" or "on trial"), or InUse.
func (t *Target) UseStatus() string {
	switch {
	case t.evacuated:
		return "evacuated"
	case t.workerLost:
		return "worker lost"
	case t.healthState != health.Healthy:
		return t.healthState.String()
	}
	return InUse
}

// StartsInProgress returns the number of attempts in progress from this host.
func (t *Target) StartsInProgress() int { return t.starts }
