package membership

import (
	"math/rand/v2"
	"time"
)

const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a host that starts at now: the
// time in milliseconds followed by random bits. Two starts in the same
// millisecond, or at the same reading of a clock that went back, most likely
// differ in the random bits.
func NewIncarnation(now time.Time, random *rand.Rand) uint64 {
	low := random.Uint64() >> (64 - incarnationRandomBits)
	return uint64(now.UnixMilli())<<incarnationRandomBits | low
}
