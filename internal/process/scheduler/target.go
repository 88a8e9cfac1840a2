package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// ejectFirst and ejectMost bound the time for which a target that failed
	// tasks gets no work; it doubles with each ejection in a row. They are the
	// times of a short fault and of a long one in the users' letter.
	ejectFirst = 1 * time.Second
	ejectMost  = 8 * time.Second
	// ejectAfter is the number of failures in a row that eject a target. Single
	// failures are the tasks' own: about one in 500 by the users' sheet.
	ejectAfter = 2
	// roomPause is how long a target is left alone after it refused a task
	// for want of room: the time for its own ends to be listed.
	roomPause = 30 * time.Millisecond
	// stallAfter is how long a run that is listed again and again may show no
	// progress: a percent of the longest task on the users' sheets takes 36 ms,
	// and lists come up to 300 ms apart.
	stallAfter = 250 * time.Millisecond
	// paceWeight is the weight of the newest run in a target's pace.
	paceWeight = 0.15
	// paceGrain is the difference in pace that counts in placing: below it
	// the estimates, off by up to two fifths, hide it.
	paceGrain = 0.25
)

// target is what the core knows of a target.
type target struct {
	Target
	used      Resources
	runs      map[Run]*run
	failures  int // in a row
	ejections int // in a row
	pausedTo  time.Time
	silences  int       // orders and renewals without an answer since the last one with an answer
	silentTo  time.Time // it gets no work before this unless it answers
	pace      float64   // run time over estimate, averaged
	clearing  bool      // runs of a former holder may still be there
}

// run is one start of a task in progress.
type run struct {
	id       Run
	need     Resources
	target   string
	ordered  time.Time
	state    runState
	estimate time.Duration
	percent  int       // of its work that is done, as listed last
	moved    time.Time // when it was first listed so
	listed   time.Time
}

type runState int

const (
	starting runState = iota // ordered, not answered
	running
	stopping
)

// progress takes in what a list says of the run.
func (r *run) progress(percent int, now time.Time) {
	if percent != r.percent || r.moved.IsZero() {
		r.percent = percent
		r.moved = now
	}
	r.listed = now
	if r.state == starting {
		r.state = running
	}
}

// stalled reports whether the run is listed without progress.
func (r *run) stalled() bool { return r.state == running && r.listed.Sub(r.moved) > stallAfter }

func newTarget(t Target) *target {
	return &target{Target: t, runs: map[Run]*run{}, pace: 1}
}

// sortedRuns returns the runs in a fixed order, so that equal inputs have equal
// effects.
func (t *target) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(t.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step),
			cmp.Compare(a.id.Index, b.id.Index), cmp.Compare(a.id.Number, b.id.Number))
	})
}

func (t *target) free() Resources { return t.Capacity.Minus(t.used) }

// usable reports whether new work may go to the target.
func (t *target) usable(now time.Time) bool {
	return !t.Draining && !t.clearing && !now.Before(t.blockedTo())
}

// blockedTo returns until when the target is left alone.
func (t *target) blockedTo() time.Time {
	if t.silentTo.After(t.pausedTo) {
		return t.silentTo
	}
	return t.pausedTo
}

// probing reports whether the target was ejected and has not proved itself.
func (t *target) probing() bool { return t.ejections > 0 }

func (t *target) add(r *run) {
	t.runs[r.id] = r
	t.used = t.used.Plus(r.need)
}

func (t *target) remove(r *run) {
	if _, ok := t.runs[r.id]; ok {
		delete(t.runs, r.id)
		t.used = t.used.Minus(r.need)
	}
}

// succeed takes in a run that ended well.
func (t *target) succeed(took, estimate time.Duration) {
	t.failures = 0
	t.ejections = 0
	if estimate > 0 {
		ratio := min(float64(took)/float64(estimate), 10)
		t.pace += paceWeight * (ratio - t.pace)
	}
}

// fail takes in a failure and reports whether it ejects the target.
func (t *target) fail(now time.Time) bool {
	t.failures++
	if t.failures < ejectAfter && !t.probing() {
		return false
	}
	t.eject(now)
	return true
}

// pauseAfter returns for how long a target is left alone that was before, a number
// of times in a row.
func pauseAfter(times int) time.Duration { return min(ejectFirst<<min(times, 4), ejectMost) }

func (t *target) eject(now time.Time) {
	t.pause(now.Add(pauseAfter(t.ejections)))
	t.ejections++
	t.failures = 0
}

// silent takes in that an order or renewal got no answer: the target is left alone
// for longer each time, or until it answers.
func (t *target) silent(now time.Time) {
	t.silentTo = now.Add(pauseAfter(t.silences))
	t.silences++
}

// heard takes in that the target answered.
func (t *target) heard() {
	t.silences = 0
	t.silentTo = time.Time{}
}

func (t *target) pause(until time.Time) {
	if until.After(t.pausedTo) {
		t.pausedTo = until
	}
}

// fits reports whether a task of the step may start here now.
func (t *target) fits(s Step, now time.Time) bool {
	if !t.usable(now) || !t.free().Covers(s.Need) {
		return false
	}
	if (t.probing() || t.silences > 0) && len(t.runs) > 0 {
		return false
	}
	return t.suits(s)
}

// suits reports whether the empty target could ever run a task of the step.
func (t *target) suits(s Step) bool {
	return t.Capacity.Covers(s.Need) && (s.Label == "" || slices.Contains(t.Labels, s.Label))
}

// grade orders targets for a step: smaller is better. Faster targets come
// first, then the one that is left with the least room, so that large tasks
// find room elsewhere.
func (t *target) grade(s Step) (rack int, pace int, left int64) {
	if s.DataRack != "" && !slices.Contains(t.Labels, s.DataRack) {
		rack = 1
	}
	return rack, int(t.pace / paceGrain), t.free().CPUMilli - s.Need.CPUMilli
}
