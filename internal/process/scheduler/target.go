package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minEjection and maxEjection bound the time for which a target that failed
	// tasks gets no work; it doubles with each consecutive ejection. They equal the
	// durations of a short and of a long fault in the users' requirements.
	minEjection = 1 * time.Second
	maxEjection = 8 * time.Second
	// ejectionThreshold is the number of consecutive failures that eject a target.
	// Single failures are caused by the tasks themselves: about one task in 500 by
	// the users' sheet.
	ejectionThreshold = 2
	// noRoomPause is how long a target gets no work after it refused a task for lack
	// of capacity: long enough for it to report the runs that ended there. It doubles
	// with each further refusal, up to maxNoRoomPause: the target's capacity may have
	// shrunk, which shows only with its next announcement.
	noRoomPause    = 30 * time.Millisecond
	maxNoRoomPause = 480 * time.Millisecond
	// stallTimeout is how long a run that its target keeps reporting may show no
	// progress. One percent of the longest task on the users' sheets takes 36 ms,
	// and reports arrive up to 300 ms apart.
	stallTimeout = 250 * time.Millisecond
	// newestSlowdownWeight is the weight of the newest run in the moving average of
	// a target's slowdown.
	newestSlowdownWeight = 0.15
	// slowdownGranularity is the smallest difference in slowdown that affects
	// placement. Smaller ones are lost in the error of the estimates, which are off
	// by up to two fifths.
	slowdownGranularity = 0.25
)

// target is a target with the scheduler's state of it.
type target struct {
	Target
	used                 Resources // by runs
	runs                 map[Run]*run
	consecutiveFailures  int       // since the last success or ejection
	consecutiveEjections int       // since the last success
	pausedUntil          time.Time // gets no work before this; ejected or without capacity
	noRoomCount          int       // refusals for lack of capacity since the last start or change of capacity
	unansweredCount      int       // unanswered requests and renewals since the last answer
	unresponsiveUntil    time.Time // gets no work before this unless it answers
	slowdown             float64   // moving average of run time divided by estimate
	clearing             bool      // gets no work: runs of a former holder may still be there
	aloneRuns            int       // runs beside which nothing is started
	reservedFor          *task     // suspect that gets the target once it is idle; nil for none
	leaseLimit           LeaseLimit
}

// run is one execution of a task, from the start request until it ended or was
// stopped.
type run struct {
	id           Run
	job          *jobState // in progress or dropped
	need         Resources
	targetID     string
	incarnation  uint64    // of the target, for which the start was requested; 0 if unknown
	requestedAt  time.Time // when the start was requested, or the run imported
	state        runState
	estimate     time.Duration
	alone        bool      // of a suspect; nothing is started beside it
	confirmed    bool      // the target has answered that it started the run, or listed it
	lost         bool      // with a former incarnation of the target; only its stop is awaited
	percentDone  int       // as reported last
	progressedAt time.Time // when percentDone was first reported
	listedAt     time.Time // when the target reported the run last
}

// on reports whether the run was started on this incarnation of its target, as far as that
// is known.
func (r *run) on(t *target) bool { return r.incarnation == 0 || r.incarnation == t.Incarnation }

// runState is the state of a run as known from its target's answers.
type runState int

const (
	starting runState = iota // start requested, not answered
	running
	stopping // stop requested, not confirmed
)

// recordProgress records that the target reports the run with this progress.
func (r *run) recordProgress(percent int, now time.Time) {
	if percent != r.percentDone || r.progressedAt.IsZero() {
		r.percentDone = percent
		r.progressedAt = now
	}
	r.listedAt = now
	r.confirmed = true
	if r.state == starting {
		r.state = running
	}
}

// stalled reports whether the target has reported the run for longer than
// stallTimeout without progress.
func (r *run) stalled() bool {
	return r.state == running && r.listedAt.Sub(r.progressedAt) > stallTimeout
}

func newTarget(t Target) *target {
	return &target{Target: t, runs: map[Run]*run{}, slowdown: 1}
}

// sortedRuns returns the runs in a fixed order, so that equal inputs produce equal
// effects.
func (t *target) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(t.runs), compareRuns)
}

func compareRuns(a, b *run) int { return a.id.compare(b.id) }

// compare orders runs by job, task and number.
func (r Run) compare(o Run) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Step, o.Step), cmp.Compare(r.Index, o.Index), cmp.Compare(r.Number, o.Number))
}

// free returns the capacity that runs don't use.
func (t *target) free() Resources { return t.Capacity.Minus(t.used) }

// usable reports whether the target may get new work now.
func (t *target) usable(now time.Time) bool {
	return !t.Draining && !t.clearing && !now.Before(t.blockedUntil()) && t.leaseLimit.allowsStart(now)
}

// blockedUntil returns the time before which the target gets no work; zero or past
// if it is not paused.
func (t *target) blockedUntil() time.Time {
	if t.unresponsiveUntil.After(t.pausedUntil) {
		return t.unresponsiveUntil
	}
	return t.pausedUntil
}

// probing reports whether no task has succeeded on the target since its last
// ejection.
func (t *target) probing() bool { return t.consecutiveEjections > 0 }

func (t *target) addRun(r *run) {
	t.runs[r.id] = r
	t.used = t.used.Plus(r.need)
	if r.alone {
		t.aloneRuns++
	}
}

func (t *target) removeRun(r *run) {
	if _, ok := t.runs[r.id]; ok {
		delete(t.runs, r.id)
		t.used = t.used.Minus(r.need)
		if r.alone {
			t.aloneRuns--
		}
	}
}

// recordSuccess resets the failure counts and updates the slowdown after a run that
// completed in the time took. A run that took more than ten times its estimate counts
// as ten times.
func (t *target) recordSuccess(took, estimate time.Duration) {
	t.consecutiveFailures = 0
	t.consecutiveEjections = 0
	if estimate > 0 {
		ratio := min(float64(took)/float64(estimate), 10)
		t.slowdown += newestSlowdownWeight * (ratio - t.slowdown)
	}
}

// recordFailure counts a failed run and reports whether the target is ejected for
// it. A target that is being probed is ejected at its first failure.
func (t *target) recordFailure(now time.Time) bool {
	t.consecutiveFailures++
	if t.consecutiveFailures < ejectionThreshold && !t.probing() {
		return false
	}
	t.eject(now)
	return true
}

// maxDoublings keeps a pause from overflowing; every longest pause is reached before.
const maxDoublings = 8

// backoff returns how long a target is excluded from placement after a number of
// previous consecutive exclusions: it doubles with each, from the first to the longest.
func backoff(first, longest time.Duration, previous int) time.Duration {
	return min(first<<min(previous, maxDoublings), longest)
}

// eject excludes the target from placement for longer with each consecutive
// ejection.
func (t *target) eject(now time.Time) {
	t.pauseUntil(now.Add(backoff(minEjection, maxEjection, t.consecutiveEjections)))
	t.consecutiveEjections++
	t.consecutiveFailures = 0
}

// markUnresponsive records that a request or a lease renewal got no answer. The
// target is excluded from placement until it answers, or for a time that grows with
// each unanswered request or renewal.
func (t *target) markUnresponsive(now time.Time) {
	t.unresponsiveUntil = now.Add(backoff(minEjection, maxEjection, t.unansweredCount))
	t.unansweredCount++
}

// markResponsive records that the target answered and ends its exclusion for
// unanswered requests.
func (t *target) markResponsive() {
	t.unansweredCount = 0
	t.unresponsiveUntil = time.Time{}
}

// recordNoRoom records a refusal for lack of capacity.
func (t *target) recordNoRoom(now time.Time) {
	t.pauseUntil(now.Add(backoff(noRoomPause, maxNoRoomPause, t.noRoomCount)))
	t.noRoomCount++
}

// pauseUntil excludes the target from placement until end. It never shortens an
// earlier pause.
func (t *target) pauseUntil(end time.Time) {
	if end.After(t.pausedUntil) {
		t.pausedUntil = end
	}
}

// cold reports whether the target is still slow after its start.
func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// canStart reports whether a task of the step may start on the target now. A target
// that is being probed, has unanswered requests or is cold gets one run at a time.
func (t *target) canStart(s Step, now time.Time) bool {
	if t.withheld() || !t.usable(now) || !t.free().Covers(s.Need) {
		return false
	}
	if (t.probing() || t.unansweredCount > 0 || t.cold(now)) && len(t.runs) > 0 {
		return false
	}
	return t.couldRun(s)
}

// couldRun reports whether the target could run a task of the step if it were idle.
func (t *target) couldRun(s Step) bool {
	return t.Capacity.Covers(s.Need) && (s.Label == "" || slices.Contains(t.Labels, s.Label))
}

// placementCost returns the criteria that rank targets for a task of the step, the
// most significant first; smaller is better. A target in the preferred rack comes
// first, then the faster one, then the one with the least capacity left after the
// placement (best fit), which keeps capacity for large tasks on other targets.
func (t *target) placementCost(s Step) (rackMiss int, slowdownStep int, remainingCPUMilli int64) {
	if s.DataRack != "" && !slices.Contains(t.Labels, s.DataRack) {
		rackMiss = 1
	}
	return rackMiss, int(t.slowdown / slowdownGranularity), t.free().CPUMilli - s.Need.CPUMilli
}
