package metrics

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// familyType is the type of a metric family as named in the exposition format.
type familyType string

const (
	counterType   familyType = "counter"
	gaugeType     familyType = "gauge"
	histogramType familyType = "histogram"
	summaryType   familyType = "summary"
)

// family holds all series of one metric name.
type family struct {
	kind   familyType
	series map[string]*series // keyed by formatted labels
}

// series holds the values of one metric with one set of labels.
type series struct {
	labels  string    // formatted by formatLabels
	value   float64   // counter, gauge, or sum of a summary in seconds
	count   int64     // observations of a summary
	bounds  []float64 // upper bounds of a histogram's buckets, ascending
	buckets []int64   // observations in each bucket
}

// reporter implements tally.StatsReporter and serves the reported values.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

func newReporter() *reporter {
	return &reporter{families: make(map[string]*family)}
}

// seriesFor returns the series of name and tags and creates it if necessary. The caller
// must hold mu.
func (r *reporter) seriesFor(name string, kind familyType, tags map[string]string) *series {
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, series: make(map[string]*series)}
		r.families[name] = f
	}
	labels := formatLabels(tags)
	s := f.series[labels]
	if s == nil {
		s = &series{labels: labels}
		f.series[labels] = s
	}
	return s
}

// ReportCounter implements tally.StatsReporter.
func (r *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesFor(name, counterType, tags).value += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (r *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesFor(name, gaugeType, tags).value = value
}

// ReportTimer implements tally.StatsReporter.
func (r *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesFor(name+"_seconds", summaryType, tags)
	s.value += interval.Seconds()
	s.count++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *reporter) ReportHistogramValueSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesFor(name, histogramType, tags).observe(buckets.AsValues(), upper, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *reporter) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64) {
	bounds := make([]float64, 0, buckets.Len())
	for _, d := range buckets.AsDurations() {
		bounds = append(bounds, d.Seconds())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesFor(name+"_seconds", histogramType, tags).observe(bounds, upper.Seconds(), samples)
}

// observe adds samples to the bucket whose upper bound is upper. The last bucket is
// unbounded and counts the samples above all bounds.
func (s *series) observe(bounds []float64, upper float64, samples int64) {
	if s.buckets == nil {
		s.bounds = append(append(s.bounds, bounds...), math.Inf(1))
		s.buckets = make([]int64, len(s.bounds))
	}
	for i, bound := range s.bounds {
		if upper <= bound {
			s.buckets[i] += samples
			return
		}
	}
}

// Capabilities implements tally.StatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (r *reporter) Flush() {}
