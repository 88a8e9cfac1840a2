package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of demand.
	// The shortest burst in the users' requirements lasts a few times as long.
	demandTimeConstant = 3 * time.Second
	// creditWindow limits the unused share that a queue may accumulate: its share
	// for this long.
	creditWindow = time.Second
)

// fairShares divides a pool's capacity between queues by max-min fairness
// (Bertsekas and Gallager, "Data Networks", 1992): a queue that demands less than
// an equal share gets all of its demand, and the others divide the rest equally.
type fairShares struct {
	queues    map[string]*queueShare
	lastLevel float64 // greatest demand of one queue that was met in full, as computed last
}

// queueShare is the demand of one queue and the work that it may still admit, both
// in core-milliseconds.
type queueShare struct {
	offeredWork float64   // decaying sum of the work of all jobs, including refused ones
	credit      float64   // infinite while the queue demands no more than its share
	decayedAt   time.Time // when offeredWork was decayed last
	creditedAt  time.Time // when credit was refilled last
}

func newFairShares() fairShares { return fairShares{queues: map[string]*queueShare{}} }

// decay multiplies the offered work by exp(-elapsed/demandTimeConstant).
func (s *queueShare) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	s.offeredWork *= math.Exp(-now.Sub(s.decayedAt).Seconds() / demandTimeConstant.Seconds())
	s.decayedAt = now
}

// offer adds a job's work (in core-milliseconds) to the demand of its queue, unless it
// is counted already, and reports whether the job is within the queue's share of the
// capacity (in cores).
func (s *fairShares) offer(queue string, work, cores float64, counted bool, now time.Time) bool {
	q, ok := s.queues[queue]
	if !ok {
		q = &queueShare{credit: math.Inf(1)}
		s.queues[queue] = q
	}
	elapsed := now.Sub(q.creditedAt)
	q.creditedAt = now
	for _, each := range s.queues {
		each.decay(now)
	}
	if !counted {
		q.offeredWork += work
	}
	level := s.waterLevel(cores * float64(demandTimeConstant.Milliseconds()))
	s.lastLevel = level
	if q.offeredWork <= level {
		q.credit = math.Inf(1)
		return true
	}
	rate := level / float64(demandTimeConstant.Milliseconds()) // core-milliseconds per millisecond
	creditLimit := rate * float64(creditWindow.Milliseconds())
	q.credit = min(creditLimit, q.credit+rate*float64(elapsed.Milliseconds()))
	if q.credit < 0 {
		return false
	}
	q.credit -= work
	return true
}

// waterLevel returns the greatest demand that is met in full: the level at which
// the queues' demands, capped there, add up to the capacity. It is infinite if the
// capacity covers all demands.
func (s fairShares) waterLevel(capacity float64) float64 {
	demands := make([]float64, 0, len(s.queues))
	for _, q := range s.queues {
		demands = append(demands, q.offeredWork)
	}
	slices.Sort(demands)
	for i, d := range demands {
		equalShare := capacity / float64(len(demands)-i)
		if d > equalShare {
			return equalShare
		}
		capacity -= d
	}
	return math.Inf(1)
}

// overShareReason describes a queue's demand and its share in cores for the log.
func (s fairShares) overShareReason(queue string) string {
	q, ok := s.queues[queue]
	if !ok {
		return "the pool is full"
	}
	cores := func(work float64) float64 { return work / float64(demandTimeConstant.Milliseconds()) }
	return fmt.Sprintf("the pool is full, and the queue demands %.1f cores while its share is %.1f", cores(q.offeredWork), cores(s.lastLevel))
}
