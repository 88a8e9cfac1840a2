package bootclock

import (
	"sync/atomic"
	"time"
)

const (
	// maxReadTime bounds how far apart the readings of two clocks may be that are compared.
	maxReadTime = 100 * time.Microsecond
	maxReads    = 5 // before the closest readings so far are taken
	// noticedStep is the change of the time of day against the monotonic clock that makes Now
	// look for a suspension. Corrections of the time of day reach it rarely.
	noticedStep = time.Millisecond
)

// Source reads the clocks that a Clock compares.
type Source struct {
	Now       func() time.Time                  // with a reading of the monotonic clock
	TimeOfDay func(now time.Time) time.Duration // since the Unix epoch
	Monotonic func() time.Duration              // stands still while the machine is suspended
	Boot      func() time.Duration              // goes on; nil if there is no such clock
}

// Clock is a monotonic clock that counts suspensions. It is safe for concurrent use.
type Clock struct {
	source    Source
	startedAt time.Time
	lead      atomic.Int64 // of the time of day over the monotonic clock, when the suspensions were read
	before    time.Duration
	suspended atomic.Int64 // since startedAt, nanoseconds
}

var process = New(system)

// sinceEpoch returns the time of day of t since the Unix epoch.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Now returns the time, with a monotonic reading that counts suspensions of the machine since
// the process started. The time of day that it shows is ahead by these.
func Now() time.Time { return process.Now() }

// Suspended returns how long the machine was suspended since the process started.
func Suspended() time.Duration { return process.Suspended() }

// New returns a Clock that has seen no suspension yet.
func New(s Source) *Clock {
	c := &Clock{source: s, startedAt: s.Now()}
	c.before = c.difference()
	c.lead.Store(c.leadAt(c.startedAt))
	return c
}

// Now returns the time, with a monotonic reading that counts suspensions.
func (c *Clock) Now() time.Time {
	t := c.source.Now()
	if step := c.leadAt(t) - c.lead.Load(); step > int64(noticedStep) || step < -int64(noticedStep) {
		c.read(t)
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// Suspended returns how long the machine was suspended since the clock was made. It also finds
// a suspension that the time of day does not show.
func (c *Clock) Suspended() time.Duration {
	c.read(c.source.Now())
	return time.Duration(c.suspended.Load())
}

// leadAt returns how far the time of day is ahead of the monotonic clock. It changes when the
// time of day is set, and by each suspension.
func (c *Clock) leadAt(t time.Time) int64 {
	return int64(c.source.TimeOfDay(t) - t.Sub(c.startedAt))
}

// read reads the suspensions until now. They never decrease, so that Now never goes back.
func (c *Clock) read(t time.Time) {
	total := int64(c.difference() - c.before)
	for {
		known := c.suspended.Load()
		if total < known+int64(noticedStep) || c.suspended.CompareAndSwap(known, total) {
			break
		}
	}
	c.lead.Store(c.leadAt(t))
}

// difference returns how far the boot clock is ahead of the monotonic clock.
func (c *Clock) difference() time.Duration {
	if c.source.Boot == nil {
		return 0
	}
	var best, bestTook time.Duration
	for i := range maxReads {
		before := c.source.Monotonic()
		boot := c.source.Boot()
		took := c.source.Monotonic() - before
		if i == 0 || took < bestTook {
			best, bestTook = boot-before-took/2, took
		}
		if took <= maxReadTime {
			break
		}
	}
	return best
}
