package fleet

import "time"

const (
	// maxClockLag is by how much of the time a target's clock lags behind at most: one
	// millisecond in so many.
	maxClockLag = 50
	// clockReadingLife is how long a reading of a target's clock counts beside later ones
	// that say less: until two announcements may have come since.
	clockReadingLife = 4 * time.Second
)

// targetClock bounds a target's clock from below. A lease that is computed from the bound
// ends no later than it should, however long ago the target was heard from. Times are in
// milliseconds.
type targetClock struct {
	offset    int64     // of the target's clock from the local monotonic clock, at the least, when it was read
	readAt    time.Time // when the reading arrived; it may have been under way
	maxOffset int64     // the most that answers of the target allow, as its clock is not fast
	answered  bool      // maxOffset is known
}

// at returns the least that the target's clock shows at a local time.
func (c targetClock) at(t time.Time) int64 {
	lag := (max(0, t.Sub(c.readAt).Milliseconds()) + maxClockLag - 1) / maxClockLag
	return monotonicMillis(t) + c.offset - lag
}

// record records a reading of the clock.
func (c *targetClock) record(clock int64, arrivedAt time.Time) {
	c.offset, c.readAt = clock-monotonicMillis(arrivedAt), arrivedAt
}

// recordAnswer records a reading that the answer to a request carries.
func (c *targetClock) recordAnswer(clock int64, sentAt, arrivedAt time.Time) {
	c.record(clock, arrivedAt)
	latest := clock - monotonicMillis(sentAt) + 1
	if !c.answered || c.offset > c.maxOffset || latest < c.maxOffset { // above it if this host was suspended
		c.maxOffset, c.answered = latest, true
	}
}

// recordAnnounced records a reading that an announcement carries, unless a former one says
// more: an announcement may have been under way for long. It may also come from another
// writer, so it counts for no more than the target's answers allow.
func (c *targetClock) recordAnnounced(clock int64, arrivedAt time.Time) {
	if c.answered {
		clock = min(clock, monotonicMillis(arrivedAt)+c.maxOffset)
	}
	age := arrivedAt.Sub(c.readAt)
	if age > 0 && (clock >= c.at(arrivedAt) || age > clockReadingLife) {
		c.record(clock, arrivedAt)
	}
}
