package runtimes

import (
	"container/list"
	"time"
)

// Key identifies tasks that are expected to have similar run times.
type Key struct {
	Team string
	Kind string
}

// Estimate describes the expected run times of a key's tasks.
type Estimate struct {
	Mean    time.Duration
	P50     time.Duration
	P99     time.Duration
	Longest time.Duration // of the run times seen within about four half-lives, rounded up to a bucket's end
	Learned bool          // from tasks that ran; otherwise from the declared time or the default
	Samples float64       // decayed number of run times that the estimate is based on; 0 unless Learned
}

// Table holds the run-time histograms of a bounded number of keys. It is not safe
// for concurrent use.
type Table struct {
	limit     int
	keys      map[Key]*list.Element // of *row
	byRecency *list.List            // of *row, the most recently used first
}

type row struct {
	key      Key
	runTimes histogram
}

// NewTable returns an empty Table for at most limit keys.
func NewTable(limit int) *Table {
	return &Table{limit: limit, keys: make(map[Key]*list.Element), byRecency: list.New()}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.keys) }

// Observe records the run time of a task that ran to its end.
func (t *Table) Observe(now time.Time, key Key, ran time.Duration) {
	t.rowOf(key).runTimes.add(now, ran)
}

// rowOf returns the row of a key and marks it as used. A new key evicts the least
// recently used one if the table is full.
func (t *Table) rowOf(key Key) *row {
	if e, ok := t.keys[key]; ok {
		t.byRecency.MoveToFront(e)
		return e.Value.(*row)
	}
	if len(t.keys) >= t.limit {
		oldest := t.byRecency.Back()
		delete(t.keys, oldest.Value.(*row).key)
		t.byRecency.Remove(oldest)
	}
	r := &row{key: key}
	t.keys[key] = t.byRecency.PushFront(r)
	return r
}

const (
	// minSamples is the decayed number of run times from which on they are used
	// instead of the declared time.
	minSamples = 5
	// maxDeclaredTime caps a declared time that is used as the estimate.
	maxDeclaredTime = 10 * time.Second
	// defaultMean is the estimate for a key without enough run times and without a
	// declared time.
	defaultMean = 300 * time.Millisecond
	// p99Factor is the ratio of the 99th percentile to the mean in an estimate that
	// isn't learned.
	p99Factor = 10
)

// Estimate returns the estimate for a key: the learned one, or else one based on the
// run time that the caller declared (0 for none).
func (t *Table) Estimate(now time.Time, key Key, declared time.Duration) Estimate {
	if e, ok := t.keys[key]; ok {
		h := &e.Value.(*row).runTimes
		h.decay(now)
		if h.total >= minSamples {
			return Estimate{Mean: h.mean(), P50: h.quantile(0.5), P99: h.quantile(0.99), Longest: h.longestBucketEnd(), Learned: true, Samples: float64(h.total)}
		}
	}
	guess := defaultMean
	if declared > 0 {
		guess = min(declared, maxDeclaredTime)
	}
	return Estimate{Mean: guess, P50: guess, P99: p99Factor * guess, Longest: p99Factor * guess}
}
