package runtimes

import (
	"math"
	"time"
)

const (
	buckets    = 36               // the last one ends at 1 ms * sqrt(2)^36, about 4 min
	firstEnd   = time.Millisecond // end of the first bucket
	halfLife   = 30 * time.Second // of the counts
	decayEvery = halfLife / 8     // counts are decayed in steps
	cutOff     = 32 * halfLife    // after this idle time nothing is left
)

// histogram counts run times. The zero value is empty.
type histogram struct {
	counts  [buckets]float32
	total   float32
	sum     float64   // seconds, decayed like the counts
	decayed time.Time // when the counts were decayed last
}

func bucketOf(d time.Duration) int {
	if d <= firstEnd {
		return 0
	}
	b := int(math.Ceil(2 * math.Log2(float64(d)/float64(firstEnd))))
	return min(b, buckets-1)
}

// bucketEnd returns the greatest run time in bucket b.
func bucketEnd(b int) time.Duration {
	return time.Duration(float64(firstEnd) * math.Pow(2, float64(b)/2))
}

func (h *histogram) add(now time.Time, d time.Duration) {
	h.decay(now)
	h.counts[bucketOf(d)]++
	h.total++
	h.sum += d.Seconds()
}

// decay multiplies all counts by 2^(-elapsed/halfLife).
func (h *histogram) decay(now time.Time) {
	if h.decayed.IsZero() {
		h.decayed = now
	}
	elapsed := now.Sub(h.decayed)
	if elapsed < decayEvery {
		return
	}
	if elapsed > cutOff {
		*h = histogram{}
	}
	factor := float32(math.Exp2(-float64(elapsed) / float64(halfLife)))
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
	h.sum *= float64(factor)
	h.decayed = now
}

// quantile returns the end of the bucket that holds the q-quantile.
func (h *histogram) quantile(q float32) time.Duration {
	rest := q * h.total
	for b, n := range h.counts {
		rest -= n
		if rest <= 0 {
			return bucketEnd(b)
		}
	}
	return bucketEnd(buckets - 1)
}

// forgotten is the decayed count below which a run time no longer counts: one
// that was seen about four half-lives ago.
const forgotten = 0.06

// longest returns the end of the highest bucket that is not forgotten.
func (h *histogram) longest() time.Duration {
	for b := buckets - 1; b > 0; b-- {
		if h.counts[b] > forgotten {
			return bucketEnd(b)
		}
	}
	return bucketEnd(0)
}

func (h *histogram) mean() time.Duration {
	return time.Duration(h.sum / float64(h.total) * float64(time.Second))
}
