package metrics_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/process/metrics"
)

func scrape(m *metrics.Metrics) string {
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	return response.Body.String()
}

func TestExpositionFormat(t *testing.T) {
	g := NewWithT(t)
	m := metrics.NewMetrics(map[string]string{"host": `a"1`})
	scope := m.Scope()
	scope.Counter("starts").Inc(3)
	scope.Gauge("queued").Update(1.5)
	scope.Timer("restore").Record(2 * time.Second)
	run := scope.Tagged(map[string]string{"outcome": "done"}).
		Histogram("run", tally.DurationBuckets{10 * time.Millisecond, time.Second})
	run.RecordDuration(time.Millisecond)
	run.RecordDuration(500 * time.Millisecond)
	run.RecordDuration(time.Minute)
	sizes := scope.Histogram("size", tally.ValueBuckets{1, 210})
	sizes.RecordValue(210)
	g.Expect(m.Close()).To(Succeed())
	g.Expect(scrape(m)).To(Equal(`# TYPE wasabifield_queued gauge
wasabifield_queued{host="a\"1"} 1.5
# TYPE wasabifield_restore_seconds summary
wasabifield_restore_seconds_sum{host="a\"1"} 2
wasabifield_restore_seconds_count{host="a\"1"} 1
# TYPE wasabifield_run_seconds histogram
wasabifield_run_seconds_bucket{host="a\"1",outcome="done",le="0.01"} 1
wasabifield_run_seconds_bucket{host="a\"1",outcome="done",le="1"} 2
wasabifield_run_seconds_bucket{host="a\"1",outcome="done",le="+Inf"} 3
wasabifield_run_seconds_count{host="a\"1",outcome="done"} 3
# TYPE wasabifield_size histogram
wasabifield_size_bucket{host="a\"1",le="1"} 0
wasabifield_size_bucket{host="a\"1",le="210"} 1
wasabifield_size_bucket{host="a\"1",le="+Inf"} 1
wasabifield_size_count{host="a\"1"} 1
# TYPE wasabifield_starts counter
wasabifield_starts{host="a\"1"} 3
`))
}

func TestCountersAccumulateOverReports(t *testing.T) {
	g := NewWithT(t)
	m := metrics.NewMetrics(nil)
	for want := range 3 {
		m.Scope().Counter("starts").Inc(1)
		line := "wasabifield_starts " + string(rune('1'+want)) + "\n"
		g.Eventually(func() string { return scrape(m) }, "20s", "10ms").Should(ContainSubstring(line))
	}
	g.Expect(m.Close()).To(Succeed())
}

func TestRuntimeGaugesAreServed(t *testing.T) {
	g := NewWithT(t)
	m := metrics.NewMetrics(nil)
	metrics.SampleRuntime(m.Scope())
	g.Expect(m.Close()).To(Succeed())
	g.Expect(scrape(m)).To(MatchRegexp(`wasabifield_goroutines [1-9]`))
	g.Expect(scrape(m)).To(MatchRegexp(`wasabifield_heap_allocated_objects [1-9]`))
}
