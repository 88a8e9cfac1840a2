package controlplane

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// acceptedBundle is a bundle that operators have accepted for the rollout.
type acceptedBundle struct {
	bundle bundle.Bundle
	digest bundle.Digest
}

// maxScheduled bounds the number of bundles in a schedule. When it is exceeded,
// the oldest bundle becomes due at once.
const maxScheduled = 64

// schedule holds the accepted bundles that are not yet due in this domain. Each
// bundle keeps its own activation time, so that changes made faster than the
// rollout do not postpone the earlier ones.
type schedule struct {
	items []scheduledBundle // by version, the oldest first
}

type scheduledBundle struct {
	acceptedBundle
	activateAt time.Time
}

// add schedules a bundle for activation at the given time. A bundle that is not
// newer than the last one added is ignored.
func (s *schedule) add(a acceptedBundle, at time.Time) {
	if last := len(s.items) - 1; last >= 0 && a.bundle.Version <= s.items[last].bundle.Version {
		return
	}
	s.items = append(s.items, scheduledBundle{a, at})
}

// popDue removes and returns the newest bundle that is due at now. It drops all
// older ones.
func (s *schedule) popDue(now time.Time) (acceptedBundle, bool) {
	for i := len(s.items) - 1; i >= 0; i-- {
		newer := len(s.items) - i - 1
		if !now.Before(s.items[i].activateAt) || newer >= maxScheduled {
			a := s.items[i].acceptedBundle
			s.items = append([]scheduledBundle(nil), s.items[i+1:]...)
			return a, true
		}
	}
	return acceptedBundle{}, false
}

// untilNext returns the time until the next activation, or false if no bundle is
// scheduled.
func (s *schedule) untilNext(now time.Time) (time.Duration, bool) {
	if len(s.items) == 0 {
		return 0, false
	}
	next := s.items[0].activateAt
	for _, item := range s.items {
		if item.activateAt.Before(next) {
			next = item.activateAt
		}
	}
	return max(0, next.Sub(now)), true
}
