package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// jobDurationBuckets are the bounds of the histogram of the time to answer a job: 1 ms
// to about 4 s.
var jobDurationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// poolMetrics records the metrics of one pool.
type poolMetrics struct {
	scope       tally.Scope
	freeTasks   tally.Gauge
	queuedTasks tally.Gauge
	lossy       tally.Gauge
	suspected   tally.Gauge
	budgetUsed  tally.Gauge
}

func newPoolMetrics(m *metrics.Metrics, pool string) *poolMetrics {
	scope := m.Scope().Tagged(map[string]string{"pool": pool})
	return &poolMetrics{
		scope: scope, freeTasks: scope.Gauge("pool_free_tasks"), queuedTasks: scope.Gauge("pool_queued_tasks"),
		lossy: scope.Gauge("pool_lossy_targets"), suspected: scope.Gauge("pool_suspected_targets"),
		budgetUsed: scope.Gauge("request_copies_budget_used"),
	}
}

// recordBusyness sets the processor time that this host has used lately, of its share.
func (n *Node) recordBusyness(percent int) {
	n.busyPercent.Store(int64(percent))
	n.config.Metrics.Scope().Gauge("host_busy_percent").Update(float64(percent))
	n.config.Metrics.Scope().Gauge("host_carried_targets").Update(float64(capacityOf(n.config.Self).CarriedTargets()))
}

// reportPause logs and counts a time in which this host did not run. The monotonic clock, which
// all other times in logs follow, counts that of a freeze and not that of a suspension.
func (n *Node) reportPause(p pause) {
	cause := "frozen"
	if p.suspended > deafGap {
		cause = "suspended"
	}
	n.config.Metrics.Scope().Tagged(map[string]string{"cause": cause}).Counter("host_pauses").Inc(1)
	n.config.Metrics.Scope().Gauge("host_last_pause_seconds").Update(p.length.Seconds())
	n.log.Warn("This host did not run for a while.", "cause", cause, "length", p.length, "not_on_monotonic_clock", p.suspended)
}

// recordBalancing counts a pool that is handed over for the capacity or the load of the
// hosts.
func (m *poolMetrics) recordBalancing(h shards.HandOver) {
	cause := "capacity"
	if h.Busy {
		cause = "busy"
	}
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("pools_given_away").Inc(1)
}

// recordJob counts an answer and records how long it took.
func (m *poolMetrics) recordJob(a scheduler.Answer, took time.Duration) {
	tags := map[string]string{"outcome": a.Outcome.String(), "kind": string(a.Kind)}
	m.scope.Tagged(tags).Histogram("pool_job", jobDurationBuckets).RecordDuration(took)
}

// recordRequestedStart counts a start request by what the task's former run was taken for
// over by.
func (m *poolMetrics) recordRequestedStart(former scheduler.Evidence) {
	m.scope.Tagged(map[string]string{"former": former.String()}).Counter("starts_requested").Inc(1)
}

// recordStart counts a target's answer to a start request.
func (m *poolMetrics) recordStart(r scheduler.StartResult) {
	m.scope.Tagged(map[string]string{"result": r.String()}).Counter("starts").Inc(1)
}

// recordCopy counts a copy of a request that was sent because no answer had come.
func (m *poolMetrics) recordCopy(request string) {
	m.scope.Tagged(map[string]string{"request": request}).Counter("request_copies").Inc(1)
}

// recordSilentConnection counts a connection to a target that was found silent by a request.
func (m *poolMetrics) recordSilentConnection(request string) {
	m.scope.Tagged(map[string]string{"request": request}).Counter("silent_target_connections").Inc(1)
}

// recordGivenUpStart counts a start request that was given up before its answer, by
// whether the target answered it late or not at all.
func (m *poolMetrics) recordGivenUpStart(answered bool) {
	result := "silent"
	if answered {
		result = "late"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("starts_given_up").Inc(1)
}

// recordTargets sets how many targets have lately left requests unanswered and how many are
// suspected, and the share of the budget of copies that is used.
func (m *poolMetrics) recordTargets(lossy, suspected int, budgetUsed float64) {
	m.lossy.Update(float64(lossy))
	m.suspected.Update(float64(suspected))
	m.budgetUsed.Update(budgetUsed)
}

// recordWithheldCopy counts a request that was not sent again because the budget of
// spurious timeouts is used up.
func (m *poolMetrics) recordWithheldCopy(request string) {
	m.scope.Tagged(map[string]string{"request": request}).Counter("request_copies_withheld").Inc(1)
}

// recordLoss counts a run that was lost with its target.
func (m *poolMetrics) recordLoss(c scheduler.LossCause) {
	m.scope.Tagged(map[string]string{"cause": c.String()}).Counter("runs_lost").Inc(1)
}

// recordDroppedRun counts a run of a dropped job by what it was taken for over by, and records
// how long it went on after its caller was last known to wait.
func (m *poolMetrics) recordDroppedRun(by scheduler.Evidence, age time.Duration) {
	m.scope.Tagged(map[string]string{"over_by": by.String()}).Histogram("dropped_run", jobDurationBuckets).RecordDuration(age)
}

// recordLeaseLimit counts a lease that was limited, or that ended at its limit with other runs.
func (m *poolMetrics) recordLeaseLimit(counter string, cause scheduler.LimitCause, otherRuns int) {
	scope := m.scope.Tagged(map[string]string{"cause": cause.String()})
	scope.Counter("leases_" + counter).Inc(1)
	if otherRuns > 0 {
		scope.Counter("leases_" + counter + "_other_runs").Inc(int64(otherRuns))
	}
}

// recordSuspect counts a decision about a task under which a target was lost.
func (m *poolMetrics) recordSuspect(d scheduler.SuspectDecision) {
	m.scope.Tagged(map[string]string{"decision": d.String()}).Counter("suspects").Inc(1)
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

// localWaitBuckets are the bounds of the histogram of waits for local places: 1 ms to about
// 2 s.
var localWaitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// recordLocalWait counts a wait for a local place by its outcome and records its length.
func (m *poolMetrics) recordLocalWait(e scheduler.LocalWaitEnded) {
	scope := m.scope.Tagged(map[string]string{"outcome": e.Outcome.String()})
	scope.Counter("local_waits").Inc(1)
	scope.Histogram("local_wait", localWaitBuckets).RecordDuration(e.Waited)
}

// recordLoad sets the numbers of tasks that would start at once and that wait.
func (m *poolMetrics) recordLoad(free, queued int) {
	m.freeTasks.Update(float64(free))
	m.queuedTasks.Update(float64(queued))
}
