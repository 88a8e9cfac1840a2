package dispatch

import (
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Target is a back end as the Core sees it.
type Target struct {
	wire.Announcement
	LeaseEnd time.Time

	busy    int       // starts in progress from this host
	avoided time.Time // no start before this time, after a refusal
}

// alive reports whether the target may get new work.
func (t *Target) alive(now time.Time) bool {
	return !t.Leaving && now.Before(t.LeaseEnd)
}

// free reports whether a start would find a slot, as far as this host knows.
func (t *Target) free(now time.Time) bool {
	return t.alive(now) && t.busy < t.Slots && !now.Before(t.avoided)
}

// fits reports whether the target could ever run a task.
func (t *Target) fits(accelerator bool) bool {
	return !accelerator || t.Accelerators > 0
}

// load is the share of the target's slots in use.
func (t *Target) load() float64 { return float64(t.busy) / float64(t.Slots) }

// Alive reports whether the target may get new work.
func (t *Target) Alive(now time.Time) bool { return t.alive(now) }

// Busy returns the number of starts in progress from this host.
func (t *Target) Busy() int { return t.busy }
