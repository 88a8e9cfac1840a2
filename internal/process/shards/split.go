package shards

import "time"

const (
	// splitDelay is how long a domain must have too many targets before it is split. A
	// target that is lost without a word counts for 5 s beside its successor, and a split
	// is never undone.
	splitDelay = 6 * time.Second
	// maxCountGap is the longest time between two counts of one series: four of the
	// intervals at which a holder counts. A host that was not the holder for longer does
	// not know what the count was meanwhile.
	maxCountGap = time.Second
)

// CountedTarget is what the size of a domain follows from, for each target that was
// announced lately.
type CountedTarget struct {
	Address     string
	Incarnation uint64
	Leaving     bool // draining or deregistered
}

// CountTargets returns the number of targets that will still be there: those that are
// not leaving, and of several at one address only one, as the later incarnation has
// replaced the others.
func CountTargets(targets []CountedTarget) int {
	newest := make(map[string]CountedTarget, len(targets)) // by address
	for _, t := range targets {
		if known, ok := newest[t.Address]; !ok || t.Incarnation > known.Incarnation {
			newest[t.Address] = t
		}
	}
	count := 0
	for _, t := range newest {
		if !t.Leaving {
			count++
		}
	}
	return count
}

// SplitTimer reports when a domain is split. The zero value is ready for use.
type SplitTimer struct {
	largeSince time.Time // of the series of counts that call for a split; zero if the last one did not
	countedAt  time.Time // when the targets were last counted
	lowest     int       // number of shards that the lowest count of the series calls for
}

// ShardCount returns the number of shards for a domain that has shardCount shards so
// far, where wanted is the number that follows from its targets now. The number rises
// once wanted has been higher for splitDelay, to what was wanted throughout, or at once
// if the host has just started: after a loss of power no host knows the former number.
func (s *SplitTimer) ShardCount(shardCount, wanted int, hostJustStarted bool, now time.Time) int {
	gap := now.Sub(s.countedAt)
	s.countedAt = now
	if wanted <= shardCount || hostJustStarted {
		s.largeSince = time.Time{}
		return max(shardCount, wanted)
	}
	if s.largeSince.IsZero() || gap > maxCountGap {
		s.largeSince, s.lowest = now, wanted
	}
	s.lowest = min(s.lowest, wanted)
	if now.Sub(s.largeSince) < splitDelay {
		return shardCount
	}
	s.largeSince = time.Time{}
	return s.lowest
}
