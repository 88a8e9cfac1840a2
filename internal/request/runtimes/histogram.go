package runtimes

import (
	"math"
	"time"
)

const (
	bucketCount    = 36               // the last one ends at 1 ms * sqrt(2)^35, about 3 min, and counts longer times too
	firstBucketEnd = time.Millisecond // greatest run time in the first bucket
	halfLife       = 30 * time.Second // of the counts
	decayInterval  = halfLife / 8     // least time between two decays
	resetAfter     = 32 * halfLife    // idle time after which the counts are reset
)

// histogram counts run times in buckets that grow by a factor of sqrt(2). The zero
// value is empty.
type histogram struct {
	counts     [bucketCount]float32
	total      float32   // sum of the counts
	sumSeconds float64   // sum of the run times, decayed like the counts
	decayedAt  time.Time // when the counts were decayed last
}

// bucketIndex returns the index of the bucket for a run time.
func bucketIndex(d time.Duration) int {
	if d <= firstBucketEnd {
		return 0
	}
	b := int(math.Ceil(2 * math.Log2(float64(d)/float64(firstBucketEnd))))
	return min(b, bucketCount-1)
}

// bucketEnd returns the greatest run time in bucket b; the last bucket also counts
// longer ones.
func bucketEnd(b int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Pow(2, float64(b)/2))
}

// add counts a run time.
func (h *histogram) add(now time.Time, d time.Duration) {
	h.decay(now)
	h.counts[bucketIndex(d)]++
	h.total++
	h.sumSeconds += d.Seconds()
}

// decay multiplies all counts by 2^(-elapsed/halfLife) once at least decayInterval
// has elapsed since the last decay.
func (h *histogram) decay(now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
	}
	elapsed := now.Sub(h.decayedAt)
	if elapsed < decayInterval {
		return
	}
	if elapsed > resetAfter {
		*h = histogram{}
	}
	factor := float32(math.Exp2(-float64(elapsed) / float64(halfLife)))
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
	h.sumSeconds *= float64(factor)
	h.decayedAt = now
}

// quantile returns the end of the bucket that contains the q-quantile.
func (h *histogram) quantile(q float32) time.Duration {
	remaining := q * h.total
	for b, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return bucketEnd(b)
		}
	}
	return bucketEnd(bucketCount - 1)
}

// minCount is the decayed count up to which a bucket is ignored by longestBucketEnd.
// One run time decays to it in about four half-lives.
const minCount = 0.06

// longestBucketEnd returns the end of the highest bucket with a count above minCount,
// or of the first bucket if there is none.
func (h *histogram) longestBucketEnd() time.Duration {
	for b := bucketCount - 1; b > 0; b-- {
		if h.counts[b] > minCount {
			return bucketEnd(b)
		}
	}
	return bucketEnd(0)
}

// mean returns the mean run time. The histogram must not be empty.
func (h *histogram) mean() time.Duration {
	return time.Duration(h.sumSeconds / float64(h.total) * float64(time.Second))
}
