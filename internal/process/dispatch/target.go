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

// alive reports whether the target may get new work.
func (t *Target) alive(now time.Time) bool {
	return !t.Leaving && now.Before(t.LeaseEnd)
}

// Alive reports whether the target may get new work.
func (t *Target) Alive(now time.Time) bool { return t.alive(now) }

// Use returns why the target gets no or little work from this host: "ejected",
// "on trial", "worker lost", or "in use".
func (t *Target) Use() string {
	switch {
	case t.lost:
		return "worker lost"
	case t.state != health.Healthy:
		return t.state.String()
	}
	return "in use"
}

// Busy returns the number of starts in progress from this host.
func (t *Target) Busy() int { return t.busy }
