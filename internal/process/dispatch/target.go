package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Target is a back end as the Core sees it.
type Target struct {
	wire.Announcement
	LeaseEnd time.Time

	busy int // starts in progress from this host
}

// alive reports whether the target may get new work.
func (t *Target) alive(now time.Time) bool {
	return !t.Leaving && now.Before(t.LeaseEnd)
}

// Alive reports whether the target may get new work.
func (t *Target) Alive(now time.Time) bool { return t.alive(now) }

// Busy returns the number of starts in progress from this host.
func (t *Target) Busy() int { return t.busy }
