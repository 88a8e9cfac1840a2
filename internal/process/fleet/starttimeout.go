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
	// these would delay further answers.
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
}

// recordRequest records that a request is sent.
func (s *startTimeout) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spurious = max(0, s.spurious-spuriousTimeoutShare)
}

// observeAnswer records the result of a request that took so long, for which timeout was
// to be waited, and whether it had been given up.
func (s *startTimeout) observeAnswer(result scheduler.StartResult, took, timeout time.Duration, givenUp bool) {
	if result == scheduler.Unanswered {
		s.observeUnanswered(timeout)
		return
	}
	s.observe(took)
	if givenUp {
		s.recordSpuriousTimeout()
	}
}

// recordSpuriousTimeout records that a request was answered after it had been given up.
func (s *startTimeout) recordSpuriousTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spurious++
}

// get returns the time to wait for an answer.
func (s *startTimeout) get() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 || s.spurious > maxSpuriousTimeouts-1 {
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
