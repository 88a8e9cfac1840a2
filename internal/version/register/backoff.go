package register

import (
	"math/rand/v2"
	"time"
)

const (
	backoffStart   = 10 * time.Millisecond // about one attempt with two synced writes
	backoffCeiling = 640 * time.Millisecond
)

// Backoff returns a random delay before an attempt is repeated. Its mean
// doubles with each failed attempt, so that one of several racing proposers
// gets through.
func Backoff(failed int, random *rand.Rand) time.Duration {
	limit := backoffStart
	for range failed {
		limit = min(2*limit, backoffCeiling)
	}
	return time.Duration(random.Int64N(int64(limit))) + time.Millisecond
}
