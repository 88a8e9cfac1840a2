package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// jobDurationBuckets are the bounds of the histogram of the time to answer a job: 1 ms
// to about 4 s.
var jobDurationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// poolMetrics records the metrics of one pool.
type poolMetrics struct {
	scope       tally.Scope
	freeTasks   tally.Gauge
	queuedTasks tally.Gauge
}

func newPoolMetrics(m *metrics.Metrics, pool string) *poolMetrics {
	scope := m.Scope().Tagged(map[string]string{"pool": pool})
	return &poolMetrics{scope: scope, freeTasks: scope.Gauge("pool_free_tasks"), queuedTasks: scope.Gauge("pool_queued_tasks")}
}

// recordJob counts an answer and records how long it took.
func (m *poolMetrics) recordJob(a scheduler.Answer, took time.Duration) {
	tags := map[string]string{"outcome": a.Outcome.String(), "kind": string(a.Kind)}
	m.scope.Tagged(tags).Histogram("pool_job", jobDurationBuckets).RecordDuration(took)
}

// recordStart counts a target's answer to a start request.
func (m *poolMetrics) recordStart(r scheduler.StartResult) {
	m.scope.Tagged(map[string]string{"result": r.String()}).Counter("starts").Inc(1)
}

// recordLoss counts a run that was lost with its target.
func (m *poolMetrics) recordLoss(c scheduler.LossCause) {
	m.scope.Tagged(map[string]string{"cause": c.String()}).Counter("runs_lost").Inc(1)
}

// partsMetrics counts jobs in parts, at the host that plans the parts.
type partsMetrics struct {
	planned    tally.Counter // parts
	refused    tally.Counter // answers that refused a part
	triedAgain tally.Counter // parts sent to another pool after a refusal
	broken     tally.Counter // jobs in parts whose outcome is unknown
}

func newPartsMetrics(m *metrics.Metrics) partsMetrics {
	scope := m.Scope()
	return partsMetrics{
		planned: scope.Counter("parts_planned"), refused: scope.Counter("parts_refused"),
		triedAgain: scope.Counter("parts_tried_again"), broken: scope.Counter("jobs_in_parts_broken"),
	}
}

// recordLoad sets the numbers of tasks that would start at once and that wait.
func (m *poolMetrics) recordLoad(free, queued int) {
	m.freeTasks.Update(float64(free))
	m.queuedTasks.Update(float64(queued))
}
