package metrics

import (
	"runtime/metrics"

	"github.com/uber-go/tally/v4"
)

// runtimeGauges maps names of package runtime/metrics to the gauges that serve their
// values.
var runtimeGauges = map[string]string{
	"/gc/heap/allocs:objects":            "heap_allocated_objects",
	"/gc/heap/allocs:bytes":              "heap_allocated_bytes",
	"/memory/classes/heap/objects:bytes": "heap_live_bytes",
	"/sched/goroutines:goroutines":       "goroutines",
}

// SampleRuntime reads the metrics of the Go runtime and sets their gauges in scope.
func SampleRuntime(scope tally.Scope) {
	samples := make([]metrics.Sample, 0, len(runtimeGauges))
	for name := range runtimeGauges {
		samples = append(samples, metrics.Sample{Name: name})
	}
	metrics.Read(samples)
	for _, s := range samples {
		scope.Gauge(runtimeGauges[s.Name]).Update(float64(s.Value.Uint64()))
	}
}
