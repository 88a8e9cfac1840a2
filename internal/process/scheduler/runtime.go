package scheduler

import (
	"math"
	"time"
)

const (
	// usualSamples is the number of runs after which a queue's usual run time
	// counts as known.
	usualSamples = 20
	// usualTimeWeight is the weight of the newest run in it: about 50 runs count.
	usualTimeWeight = 0.02
)

// runTimes learns the usual run time of each queue's tasks. Run times spread by
// a factor, so the mean is that of their logarithms.
type runTimes struct{ byQueue map[string]*usualTime }

type usualTime struct {
	samples int
	log     float64 // of seconds
}

func newRunTimes() runTimes { return runTimes{byQueue: map[string]*usualTime{}} }

// see takes in how long a run took, less the target's own pace.
func (r runTimes) see(queue string, took time.Duration, pace float64) {
	if took <= 0 || pace <= 0 {
		return
	}
	value := math.Log(took.Seconds() / pace)
	u, ok := r.byQueue[queue]
	if !ok {
		u = &usualTime{log: value}
		r.byQueue[queue] = u
	}
	u.samples++
	weight := max(usualTimeWeight, 1/float64(u.samples))
	u.log += weight * (value - u.log)
}

// estimate joins a declared run time with the queue's usual one. Both are off
// by about the same factor, so each counts by a half.
func (r runTimes) estimate(queue string, declared time.Duration, weight float64) time.Duration {
	u, ok := r.byQueue[queue]
	if !ok || u.samples < usualSamples {
		return declared
	}
	if declared <= 0 {
		return time.Duration(math.Exp(u.log) * float64(time.Second))
	}
	log := (1-weight)*math.Log(declared.Seconds()) + weight*u.log
	return time.Duration(math.Exp(log) * float64(time.Second))
}
