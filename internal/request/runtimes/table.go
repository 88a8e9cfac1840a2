package runtimes

import (
	"container/list"
	"time"
)

// Key names tasks of like run time.
type Key struct {
	Team string
	Kind string
}

// Estimate is what is known of a key's run times.
type Estimate struct {
	Mean    time.Duration
	P50     time.Duration
	P99     time.Duration
	Longest time.Duration // of those not yet forgotten, rounded up
	Learned bool          // from tasks that ran; else from the declared time
	Samples float64       // run times behind the estimate, after decay
}

// Table holds the histograms of a bounded number of keys. It is not safe for
// concurrent use.
type Table struct {
	limit int
	keys  map[Key]*list.Element // of *row
	used  *list.List            // the key used last comes first
}

type row struct {
	key  Key
	hist histogram
}

// NewTable returns a Table for at most limit keys.
func NewTable(limit int) *Table {
	return &Table{limit: limit, keys: make(map[Key]*list.Element), used: list.New()}
}

// Len returns the number of keys held.
func (t *Table) Len() int { return len(t.keys) }

// Observe adds the run time of a task that ran to its end.
func (t *Table) Observe(now time.Time, key Key, ran time.Duration) {
	t.row(key).hist.add(now, ran)
}

func (t *Table) row(key Key) *row {
	if e, ok := t.keys[key]; ok {
		t.used.MoveToFront(e)
		return e.Value.(*row)
	}
	if len(t.keys) >= t.limit {
		last := t.used.Back()
		delete(t.keys, last.Value.(*row).key)
		t.used.Remove(last)
	}
	r := &row{key: key}
	t.keys[key] = t.used.PushFront(r)
	return r
}

const (
	// enough is the number of run times, after decay, that replace the declared time.
	enough = 5
	// declaredLimit bounds a declared time before anything is known.
	declaredLimit = 10 * time.Second
	// unknownMean is the estimate for a kind that was never seen or declared.
	unknownMean = 300 * time.Millisecond
	// spread is the factor from the mean to the 99th percentile of a guess.
	spread = 10
)

// Estimate returns what is known of a key, given the time that the caller
// declared (0 for none).
func (t *Table) Estimate(now time.Time, key Key, declared time.Duration) Estimate {
	if e, ok := t.keys[key]; ok {
		h := &e.Value.(*row).hist
		h.decay(now)
		if h.total >= enough {
			return Estimate{Mean: h.mean(), P50: h.quantile(0.5), P99: h.quantile(0.99), Longest: h.longest(), Learned: true, Samples: float64(h.total)}
		}
	}
	guess := unknownMean
	if declared > 0 {
		guess = min(declared, declaredLimit)
	}
	return Estimate{Mean: guess, P50: guess, P99: spread * guess, Longest: spread * guess}
}
