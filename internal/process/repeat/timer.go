package repeat

import (
	"sync"
	"time"
)

const (
	// MinTimeout covers the pauses of a busy host: a target answers a request within a
	// few milliseconds.
	MinTimeout = 20 * time.Millisecond
	// MaxTimeout is how long the answer to any request is awaited.
	MaxTimeout = 250 * time.Millisecond
	// The weights of the newest answer time in the mean and in the deviation are those of
	// RFC 6298.
	newestAnswerTimeWeight = 1.0 / 8
	newestDeviationWeight  = 1.0 / 4
	deviationFactor        = 4
	// spuriousShare is the share of requests that may be sent again or given up although
	// their answer is only late, and MaxSpurious how many of these may be saved up. On a
	// link that is nearly full, copies would delay further answers. Requests whose answer
	// is still open count as spurious, because a burst is sent again before the first late
	// answer comes.
	spuriousShare = 0.01
	MaxSpurious   = 5
)

// Timer estimates how long to wait for the answer to a request, from the times of former
// answers, as TCP does (RFC 6298). A timeout is spurious if the answer comes after it, as
// in RFC 3522; a budget bounds these. It is safe for concurrent use.
type Timer struct {
	mu        sync.Mutex
	mean      time.Duration // moving average of answer times; zero before the first
	deviation time.Duration // moving average of their absolute differences from mean
	spurious  float64       // spurious timeouts that are not made up for by later requests
	open      int           // timeouts of which it is not known yet whether the answer is only late
	answerAt  time.Time     // when the last answer came
}

// RecordRequest records that a request is sent for the first time.
func (t *Timer) RecordRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spurious = max(0, t.spurious-spuriousShare)
}

// TryCharge reports whether a request may be sent again or given up before its answer, and
// charges the budget for it. Settle ends the charge.
func (t *Timer) TryCharge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exhausted() {
		return false
	}
	t.open++
	return true
}

// exhausted reports whether no further timeout may be acted on. The caller holds the lock.
func (t *Timer) exhausted() bool { return t.spurious+float64(t.open) > MaxSpurious-1 }

// Settle ends a charge. It stays spent if the answer was only late.
func (t *Timer) Settle(late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	if late {
		t.spurious++
	}
}

// BudgetUsed returns the share of the budget that is spent or charged, from 0 to 1.
func (t *Timer) BudgetUsed() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min((t.spurious+float64(t.open))/MaxSpurious, 1)
}

// Open returns the number of charges that are not settled.
func (t *Timer) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// Timeout returns the time to wait for an answer.
func (t *Timer) Timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return MaxTimeout
	}
	return min(max(t.mean+deviationFactor*t.deviation, MinTimeout), MaxTimeout)
}

// Observe records an answer that came now and the time that it took.
func (t *Timer) Observe(took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answerAt = now
	t.observe(took)
}

// observe records an answer time. The caller holds the lock.
func (t *Timer) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = max(took, 1), took/2
		return
	}
	difference := took - t.mean
	t.deviation += time.Duration(newestDeviationWeight * float64(difference.Abs()-t.deviation))
	t.mean = max(1, t.mean+time.Duration(newestAnswerTimeWeight*float64(difference)))
}

// ObserveUnanswered records that no answer came to a request that was sent at sentAt and
// awaited for the given time. If no other request was answered since, it counts as an answer
// after twice that time, so that the timeout grows while all answers are slow. Otherwise
// the request was lost, which shows nothing of how long answers take.
func (t *Timer) ObserveUnanswered(waited time.Duration, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.answerAt.After(sentAt) {
		t.observe(2 * waited)
	}
}
