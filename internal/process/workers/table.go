package workers

import "time"

// Placement states where a target runs. An empty name means unknown.
type Placement struct {
	Target string
	Worker string
	Rack   string
}

// failureMaxAge is how long a failure to answer counts against a worker or rack.
const failureMaxAge = 5 * time.Second

// Table groups targets by worker and rack and determines which workers and racks are lost.
//
// A single target that does not answer has no effect on others. A worker counts as lost
// when at least two and at least half of its targets have failed to answer since their
// last sign of life. A rack counts as lost when at least two and at least half of its
// workers have at least one such target. The other targets of a lost worker or rack get no
// work until each has given a sign of life of its own.
type Table struct {
	placements      map[string]Placement // by target
	targetsByWorker map[string][]string
	workersByRack   map[string][]string  // a target without a known worker counts as a worker
	lastFailureAt   map[string]time.Time // by target; a sign of life removes the entry
	lastContactAt   map[string]time.Time // by target: when it last gave a sign of life
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{lastFailureAt: make(map[string]time.Time), lastContactAt: make(map[string]time.Time)}
}

// SetPlacements replaces the list of targets.
func (t *Table) SetPlacements(placements []Placement) {
	t.placements = make(map[string]Placement, len(placements))
	t.targetsByWorker = make(map[string][]string)
	t.workersByRack = make(map[string][]string)
	for _, p := range placements {
		if p.Worker == "" {
			p.Worker = "target " + p.Target
		}
		t.placements[p.Target] = p
		if len(t.targetsByWorker[p.Worker]) == 0 && p.Rack != "" {
			t.workersByRack[p.Rack] = append(t.workersByRack[p.Rack], p.Worker)
		}
		t.targetsByWorker[p.Worker] = append(t.targetsByWorker[p.Worker], p.Target)
	}
	t.dropUnlisted()
}

// dropUnlisted drops the times of targets that are no longer listed.
func (t *Table) dropUnlisted() {
	for _, times := range []map[string]time.Time{t.lastFailureAt, t.lastContactAt} {
		for name := range times {
			if _, ok := t.placements[name]; !ok {
				delete(times, name)
			}
		}
	}
}

// RecordNoAnswer records that a target did not answer.
func (t *Table) RecordNoAnswer(now time.Time, target string) {
	if _, ok := t.placements[target]; ok {
		t.lastFailureAt[target] = now
	}
}

// RecordContact records a target's sign of life: an answer or an announcement.
func (t *Table) RecordContact(now time.Time, target string) {
	if _, ok := t.placements[target]; ok {
		t.lastContactAt[target] = now
		delete(t.lastFailureAt, target)
	}
}

// Lost reports whether the worker or rack of a target counts as lost and the target has
// given no sign of life since the latest failure on it.
func (t *Table) Lost(now time.Time, target string) bool {
	if len(t.lastFailureAt) < 2 {
		return false
	}
	p, ok := t.placements[target]
	if !ok {
		return false
	}
	failedAt, lost := t.lostWorker(now, p.Worker)
	if rackFailedAt, rackLost := t.lostRack(now, p.Rack); rackLost && (!lost || rackFailedAt.After(failedAt)) {
		failedAt, lost = rackFailedAt, true
	}
	return lost && !t.lastContactAt[target].After(failedAt)
}

// recentFailure returns when a target last failed to answer, and false if it has given a
// sign of life since or the failure is older than failureMaxAge.
func (t *Table) recentFailure(now time.Time, target string) (time.Time, bool) {
	at, ok := t.lastFailureAt[target]
	return at, ok && now.Sub(at) < failureMaxAge
}

// lostWorker reports whether a worker is lost, and the time of the latest failure of its
// targets.
func (t *Table) lostWorker(now time.Time, worker string) (time.Time, bool) {
	targets := t.targetsByWorker[worker]
	var last time.Time
	failedTargets := 0
	for _, name := range targets {
		if at, ok := t.recentFailure(now, name); ok {
			failedTargets++
			last = later(last, at)
		}
	}
	return last, failedTargets >= 2 && 2*failedTargets >= len(targets)
}

// lostRack reports whether a rack is lost, and the time of the latest failure on it. A
// worker counts as failed if any of its targets has a recent failure.
func (t *Table) lostRack(now time.Time, rack string) (time.Time, bool) {
	workers := t.workersByRack[rack]
	var last time.Time
	failedWorkers := 0
	for _, worker := range workers {
		if at, ok := t.recentWorkerFailure(now, worker); ok {
			failedWorkers++
			last = later(last, at)
		}
	}
	return last, failedWorkers >= 2 && 2*failedWorkers >= len(workers)
}

// recentWorkerFailure returns the time of the latest recent failure of a worker's
// targets, and false if there is none.
func (t *Table) recentWorkerFailure(now time.Time, worker string) (time.Time, bool) {
	var last time.Time
	found := false
	for _, name := range t.targetsByWorker[worker] {
		if at, ok := t.recentFailure(now, name); ok {
			found = true
			last = later(last, at)
		}
	}
	return last, found
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
