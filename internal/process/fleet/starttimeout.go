package fleet

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

const (
	// minStartTimeout covers the pauses of a busy host: a target answers a start request
	// within a few milliseconds.
	minStartTimeout = 60 * time.Millisecond
	maxStartTimeout = requestTimeout
	timerSlack      = 5 * time.Millisecond // a timer that fires later than this shows that the host itself was paused
	// The weights of the newest answer time in the mean and in the deviation are those of
	// RFC 6298.
	newestAnswerTimeWeight = 1.0 / 8
	newestDeviationWeight  = 1.0 / 4
	deviationFactor        = 4
	// spuriousTimeoutShare is the share of start requests that may be given up although
	// their answer is only late, and maxSpuriousTimeouts how many of these may be saved
	// up. Each costs a stop, a report and a second start. On a link that is nearly full,
	// these would delay further answers. Requests whose answer is still open count as
	// spurious, because a burst is given up before the first late answer comes.
	spuriousTimeoutShare = 0.01
	maxSpuriousTimeouts  = 5
)

// startTimeout estimates how long to wait for the answer to a start request, from the
// times of former answers, as TCP does (RFC 6298). It answers the load of targets that
// leave single requests unanswered: a task of 60 ms that waits for requestTimeout before
// it is started elsewhere is late. A timeout is spurious if the answer comes after it, as
// in RFC 3522; a budget bounds these. It is safe for concurrent use.
type startTimeout struct {
	mu        sync.Mutex
	mean      time.Duration // moving average of answer times; zero before the first
	deviation time.Duration // moving average of their absolute differences from mean
	spurious  float64       // spurious timeouts that are not made up for by later requests
	open      int           // requests given up of which it is not known yet whether the target answers late
}

// recordRequest records that a request is sent.
func (s *startTimeout) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spurious = max(0, s.spurious-spuriousTimeoutShare)
}

// tryGiveUp reports whether a request may be given up before its answer, and charges the
// budget for it. observeAnswer settles the charge.
func (s *startTimeout) tryGiveUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exhausted() {
		return false
	}
	s.open++
	return true
}

// exhausted reports whether no further request may be given up. The caller holds the lock.
func (s *startTimeout) exhausted() bool { return s.spurious+float64(s.open) > maxSpuriousTimeouts-1 }

// observeAnswer records the result of a request that took so long, for which the
// estimate was timeout, and whether it had been given up. The charge for a request that was given
// up is refunded if the target did not answer at all.
func (s *startTimeout) observeAnswer(result scheduler.StartResult, took, timeout time.Duration, givenUp bool) {
	answered := result != scheduler.Unanswered
	if answered {
		s.observe(took)
	} else {
		s.observeUnanswered(timeout)
	}
	if givenUp {
		s.settle(answered)
	}
}

// settle ends the charge for a request that was given up. It stays spent if the answer
// came late.
func (s *startTimeout) settle(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if answered {
		s.spurious++
	}
}

// get returns the time to wait for an answer.
func (s *startTimeout) get() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 || s.exhausted() {
		return maxStartTimeout
	}
	return min(max(s.mean+deviationFactor*s.deviation, minStartTimeout), maxStartTimeout)
}

// observe records the time that an answer took.
func (s *startTimeout) observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		s.mean, s.deviation = max(took, 1), took/2
		return
	}
	difference := took - s.mean
	s.deviation += time.Duration(newestDeviationWeight * float64(difference.Abs()-s.deviation))
	s.mean = max(1, s.mean+time.Duration(newestAnswerTimeWeight*float64(difference)))
}

// observeUnanswered records that no answer came in the given time. It counts as an
// answer after twice that time, so that the timeout grows while answers are slow.
func (s *startTimeout) observeUnanswered(waited time.Duration) { s.observe(2 * waited) }
