package scheduler

import (
	"math"
	"time"
)

// A task whose step names a data rack takes Config.RemoteFactor times as long on a target
// outside that rack. While the rack is full, the task may start on a remote target now or
// wait up to a bound for a local one. This file decides which; localwait.go applies the
// decision to the pool.

const (
	// initialWaitSuccess is the assumed rate of waits that succeed on a rack of which
	// nothing is known. The rate returns to it with waitSuccessMemory, so that a rack on
	// which waits failed is tried again; the shortest burst of the users lasts about as
	// long.
	initialWaitSuccess = 0.8
	waitSuccessMemory  = 5 * time.Second
	// newestWaitWeight is the weight of the newest wait in the rate of success. The tasks of
	// a wide job wait and fail together: with 0.2, the failure of one job ended all waits for
	// the rack for seconds.
	newestWaitWeight = 0.05
	// minWaitSuccess is the rate below which no task waits. With it, half of the gain of
	// the waits that succeed pays for the others.
	minWaitSuccess = 1.0 / 3
)

// localityOption is what is known when a task could start on a remote target now.
type localityOption struct {
	LocalIn     time.Duration // forecast of the time until a local place is free
	LocalTime   time.Duration // estimated run time on the local target
	RemoteTime  time.Duration // estimated run time on the remote target
	Slack       time.Duration // time left until the job's objective beyond the task's estimate and what follows it
	Backlog     int           // tasks that wait for any place of the pool
	NeedShare   float64       // share of the pool's cores that the task needs
	SuccessRate float64       // of recent waits for the rack, 0 to 1
	MaxWait     time.Duration // longest wait that the settings allow
}

// remoteCost returns by how much longer the task takes on the remote target, with the time
// that the tasks in the backlog lose because it occupies its place for longer. Each of them
// is delayed by the extra work divided by the pool's cores.
func (o localityOption) remoteCost() time.Duration {
	extra := o.RemoteTime - o.LocalTime
	return extra + time.Duration(float64(extra)*o.NeedShare*float64(o.Backlog))
}

// decideLocalWait returns how long to wait for a local place; zero to start on the remote
// target now.
//
// A wait that succeeds gains the remote cost less the time until the local place is free; one
// that fails loses the whole wait. With the recent rate of success p, a wait of at most T
// gains on average if p*(cost-localIn) exceeds (1-p)*T. T is also bounded by the cost, the
// setting and the slack: the job still meets its objective if the task starts on a remote
// target after T or, where even a start now would be too late for that, on a local one. The
// forecast is not used as a bound: it may err, and a wait that has become hopeless ends early.
func decideLocalWait(o localityOption) time.Duration {
	cost := o.remoteCost()
	if o.SuccessRate < minWaitSuccess || o.LocalIn >= cost || o.LocalTime <= 0 {
		return 0
	}
	longest := min(o.MaxWait, cost)
	if p := o.SuccessRate; p < 1 {
		longest = min(longest, time.Duration(p/(1-p)*float64(cost-o.LocalIn)))
	}
	slack := o.Slack - (o.RemoteTime - o.LocalTime)
	if slack < 0 {
		slack = o.Slack
	}
	longest = min(longest, slack)
	if longest < o.LocalIn {
		return 0
	}
	return max(0, longest)
}

// waitSuccess is the decaying rate at which waits for a rack succeed.
type waitSuccess struct {
	rate      float64
	updatedAt time.Time
}

// at returns the rate at a time.
func (w waitSuccess) at(now time.Time) float64 {
	kept := math.Exp(-now.Sub(w.updatedAt).Seconds() / waitSuccessMemory.Seconds())
	return initialWaitSuccess + kept*(w.rate-initialWaitSuccess)
}

// observe adds the outcome of a wait.
func (w waitSuccess) observe(succeeded bool, now time.Time) waitSuccess {
	rate := w.at(now)
	newest := 0.0
	if succeeded {
		newest = 1
	}
	return waitSuccess{rate + newestWaitWeight*(newest-rate), now}
}
