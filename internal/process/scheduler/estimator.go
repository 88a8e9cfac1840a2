package scheduler

import (
	"math"
	"time"
)

const (
	// minRunTimeSamples is the number of runs after which a queue's learned run
	// time is used.
	minRunTimeSamples = 20
	// newestRunTimeWeight is the weight of the newest run in a queue's moving
	// average, which thus covers about 50 runs.
	newestRunTimeWeight = 0.02
)

// runTimeEstimator learns the typical run time of each queue's tasks. Run times
// vary by a factor rather than by an offset, so their logarithms are averaged.
type runTimeEstimator struct{ byQueue map[string]*runTimeAverage }

// runTimeAverage is the moving average of one queue.
type runTimeAverage struct {
	sampleCount    int
	meanLogSeconds float64 // mean of the natural logarithms of the seconds
}

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{byQueue: map[string]*runTimeAverage{}}
}

// observe records the run time of a completed run, divided by the slowdown of its
// target. It ignores values that are not positive.
func (r runTimeEstimator) observe(queue string, took time.Duration, slowdown float64) {
	if took <= 0 || slowdown <= 0 {
		return
	}
	logSeconds := math.Log(took.Seconds() / slowdown)
	average, ok := r.byQueue[queue]
	if !ok {
		average = &runTimeAverage{meanLogSeconds: logSeconds}
		r.byQueue[queue] = average
	}
	average.sampleCount++
	weight := max(newestRunTimeWeight, 1/float64(average.sampleCount))
	average.meanLogSeconds += weight * (logSeconds - average.meanLogSeconds)
}

// estimate combines a declared run time with the queue's learned one by a weighted
// geometric mean. Both are off by about the same factor, so each normally has a
// weight of one half.
func (r runTimeEstimator) estimate(queue string, declared time.Duration, learnedWeight float64) time.Duration {
	average, ok := r.byQueue[queue]
	if !ok || average.sampleCount < minRunTimeSamples {
		return declared
	}
	if declared <= 0 {
		return time.Duration(math.Exp(average.meanLogSeconds) * float64(time.Second))
	}
	logSeconds := (1-learnedWeight)*math.Log(declared.Seconds()) + learnedWeight*average.meanLogSeconds
	return time.Duration(math.Exp(logSeconds) * float64(time.Second))
}
