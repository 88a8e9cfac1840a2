package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/connection/health"
	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Target is a back end as the Core sees it.
type Target struct {
	wire.Announcement
	LeaseEnd time.Time

	starts      int // starts in progress from this host
	healthState health.State
	workerLost  bool // its worker or rack is taken as lost
}

// Alive reports whether the target may get new work.
func (t *Target) Alive(now time.Time) bool {
	return !t.Leaving && now.Before(t.LeaseEnd)
}

// InUse is the Use of a target that gets work.
const InUse = "in use"

// UseStatus returns why the target gets no or little work from this host: "ejected",
// "on trial", "worker lost", or InUse.
func (t *Target) UseStatus() string {
	switch {
	case t.workerLost:
		return "worker lost"
	case t.healthState != health.Healthy:
		return t.healthState.String()
	}
	return InUse
}

// StartsInProgress returns the number of starts in progress from this host.
func (t *Target) StartsInProgress() int { return t.starts }
