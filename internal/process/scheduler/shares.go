package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// shareMemory is the time over which demand is averaged: the shortest burst
	// in the users' letter lasts a few of these.
	shareMemory = 3 * time.Second
	// shareBurst is how much of its share a queue may save up.
	shareBurst = time.Second
)

// shares divides a pool's capacity between queues by max-min fairness (Bertsekas
// and Gallager, "Data Networks", 1992): a queue that asks for less than an equal
// part gets all it asks for, and the others divide what is left equally.
type shares struct {
	queues map[string]*share
	most   float64 // of one queue's demand, as it was worked out last
}

// share is one queue's demand and what it may still use, in core-milliseconds.
type share struct {
	offered float64 // decaying sum of the work of all jobs, refused ones too
	credit  float64
	at      time.Time // of offered
	filled  time.Time // of credit
}

func newShares() shares { return shares{queues: map[string]*share{}} }

func (s *share) advance(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	s.offered *= math.Exp(-now.Sub(s.at).Seconds() / shareMemory.Seconds())
	s.at = now
}

// offer takes in a job's work and reports whether it lies within the queue's
// share of the capacity, in cores.
func (s *shares) offer(queue string, work, cores float64, now time.Time) bool {
	q, ok := s.queues[queue]
	if !ok {
		q = &share{credit: math.Inf(1)}
		s.queues[queue] = q
	}
	elapsed := now.Sub(q.filled)
	q.filled = now
	for _, each := range s.queues {
		each.advance(now)
	}
	q.offered += work
	level := s.level(cores * float64(shareMemory.Milliseconds()))
	s.most = level
	if q.offered <= level {
		q.credit = math.Inf(1)
		return true
	}
	rate := level / float64(shareMemory.Milliseconds()) // core-milliseconds a millisecond
	most := rate * float64(shareBurst.Milliseconds())
	q.credit = min(most, q.credit+rate*float64(elapsed.Milliseconds()))
	if q.credit < 0 {
		return false
	}
	q.credit -= work
	return true
}

// level returns the greatest demand that is met in full: the water level at
// which the queues' demands, cut off there, fill the capacity.
func (s shares) level(capacity float64) float64 {
	demands := make([]float64, 0, len(s.queues))
	for _, q := range s.queues {
		demands = append(demands, q.offered)
	}
	slices.Sort(demands)
	for i, d := range demands {
		equal := capacity / float64(len(demands)-i)
		if d > equal {
			return equal
		}
		capacity -= d
	}
	return math.Inf(1)
}

// explain says for the log what a queue asks for beside what it may have.
func (s shares) explain(queue string) string {
	q, ok := s.queues[queue]
	if !ok {
		return "the pool is full"
	}
	cores := func(work float64) float64 { return work / float64(shareMemory.Milliseconds()) }
	return fmt.Sprintf("the pool is full, and the queue asks for %.1f cores where its share is %.1f", cores(q.offered), cores(s.most))
}
