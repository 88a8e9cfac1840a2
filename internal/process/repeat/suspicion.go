package repeat

import (
	"math"
	"sync"
)

const (
	// newestAttemptWeight is the weight of the newest attempt in the shares.
	newestAttemptWeight = 1.0 / 16
	// minMissShare is assumed of a target that has answered everything so far: one
	// unanswered request is no evidence.
	minMissShare = 1.0 / 64
	// falseAlarmShare is how likely it may be that a target that still answers is
	// suspected.
	falseAlarmShare = 1.0 / 1000
	// maxStreak bounds the number of unanswered attempts that a target is allowed.
	maxStreak = 8
)

// Suspicion is what the answers to one kind of request show of a target. Like the accrual
// detector of Hayashibara et al. (2004), it compares the silence with what was observed of
// the target before: a target is suspected once so many attempts in a row stayed unanswered
// as losses of single requests do not explain. It is safe for concurrent use.
type Suspicion struct {
	mu        sync.Mutex
	missShare float64 // share of the attempts before the streak that were not answered in time
	lostShare float64 // share of the attempts that were lost: a later one was answered first
	streak    int     // attempts since the last answer that were not answered in time
}

// RecordUnanswered records an attempt that was not answered within its timeout.
func (s *Suspicion) RecordUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streak++
}

// RecordAnswered records an answer, and how many attempts before it were lost. The others
// of the streak were only late.
func (s *Suspicion) RecordAnswered(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range min(s.streak, maxStreak) {
		raise(&s.missShare)
	}
	for range min(lost, maxStreak) {
		raise(&s.lostShare)
	}
	s.missShare -= newestAttemptWeight * s.missShare
	s.lostShare -= newestAttemptWeight * s.lostShare
	s.streak = 0
}

// RecordLost records an attempt that stayed unanswered while a later one was answered.
func (s *Suspicion) RecordLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	raise(&s.missShare)
	raise(&s.lostShare)
}

// raise takes an attempt that was missed into a share.
func raise(share *float64) { *share += newestAttemptWeight * (1 - *share) }

// Suspected reports whether the target is probably lost.
func (s *Suspicion) Suspected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streak >= s.allowedStreak()
}

// LosesRequests reports whether requests to the target have lately been lost. Answers that
// are only late, as on a link that is nearly full, are no sign of that.
func (s *Suspicion) LosesRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostShare > minMissShare
}

// allowedStreak returns how many attempts in a row must stay unanswered for the target to
// be suspected. The caller holds the lock.
func (s *Suspicion) allowedStreak() int {
	share := max(s.missShare, minMissShare)
	if share >= 1 {
		return maxStreak
	}
	return min(int(math.Ceil(math.Log(falseAlarmShare)/math.Log(share))), maxStreak)
}
