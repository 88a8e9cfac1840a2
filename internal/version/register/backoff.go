package register

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 10 * time.Millisecond // about the duration of an attempt with two synced writes
	maxBackoff     = 640 * time.Millisecond
)

// Backoff returns a random delay before an attempt is retried. Its mean doubles
// with each failed attempt up to a limit, so that one of several competing
// proposers succeeds. The delay is at least 1 ms and less than 641 ms.
func Backoff(failedAttempts int, random *rand.Rand) time.Duration {
	limit := initialBackoff
	for range failedAttempts {
		limit = min(2*limit, maxBackoff)
	}
	return time.Duration(random.Int64N(int64(limit))) + time.Millisecond
}
