package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// jobBuckets are the bounds of the histogram of answers: 1 ms to about 4 s.
var jobBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// watch counts what a pool does.
type watch struct {
	scope  tally.Scope
	free   tally.Gauge
	queued tally.Gauge
}

func newWatch(m *metrics.Metrics, pool string) *watch {
	scope := m.Scope().Tagged(map[string]string{"pool": pool})
	return &watch{scope: scope, free: scope.Gauge("pool_free_tasks"), queued: scope.Gauge("pool_queued_tasks")}
}

// job counts an answer and how long it took.
func (w *watch) job(a scheduler.Answer, took time.Duration) {
	tags := map[string]string{"outcome": a.Outcome.String(), "kind": string(a.Kind)}
	w.scope.Tagged(tags).Histogram("pool_job", jobBuckets).RecordDuration(took)
}

// start counts a target's answer to a start.
func (w *watch) start(r scheduler.StartResult) {
	w.scope.Tagged(map[string]string{"result": r.String()}).Counter("starts").Inc(1)
}

// load notes what the pool could take.
func (w *watch) load(free, queued int) {
	w.free.Update(float64(free))
	w.queued.Update(float64(queued))
}
