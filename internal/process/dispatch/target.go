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

	busy  int // starts in progress from this host
	state health.State
	lost  bool // its worker or rack is taken as lost
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
	case t.lost:
		return "worker lost"
	case t.state != health.Healthy:
		return t.state.String()
	}
	return InUse
}

// StartsInProgress returns the number of starts in progress from this host.
func (t *Target) StartsInProgress() int { return t.busy }
