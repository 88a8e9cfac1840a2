package controlplane

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// accepted is a bundle that an operator's roll put in force.
type accepted struct {
	bundle bundle.Bundle
	digest bundle.Digest
}

// maxScheduled bounds a schedule. A bundle over it comes into force at once.
const maxScheduled = 64

// schedule holds the accepted bundles whose turn in this domain is still to
// come. Each keeps its own time, so that changes that follow each other faster
// than the roll do not put one another off.
type schedule struct {
	items []scheduled // by version, the oldest first
}

type scheduled struct {
	accepted
	at time.Time
}

// add schedules a bundle. One that is not newer than the last is passed over.
func (s *schedule) add(a accepted, at time.Time) {
	if last := len(s.items) - 1; last >= 0 && a.bundle.Version <= s.items[last].bundle.Version {
		return
	}
	s.items = append(s.items, scheduled{a, at})
}

// take returns the newest bundle whose time has come at now, and drops it and
// those before it.
func (s *schedule) take(now time.Time) (accepted, bool) {
	for i := len(s.items) - 1; i >= 0; i-- {
		over := len(s.items) - i - 1
		if !now.Before(s.items[i].at) || over >= maxScheduled {
			a := s.items[i].accepted
			s.items = append([]scheduled(nil), s.items[i+1:]...)
			return a, true
		}
	}
	return accepted{}, false
}

// wait returns the time until the next bundle's turn; false if there is none.
func (s *schedule) wait(now time.Time) (time.Duration, bool) {
	if len(s.items) == 0 {
		return 0, false
	}
	next := s.items[0].at
	for _, item := range s.items {
		if item.at.Before(next) {
			next = item.at
		}
	}
	return max(0, next.Sub(now)), true
}
