package workers

import "time"

// Placement says where a target runs. Empty names stand for unknown.
type Placement struct {
	Target string
	Worker string
	Rack   string
}

// evidenceAge is how long a failed attempt counts against a worker or rack.
const evidenceAge = 5 * time.Second

// Table groups targets by worker and rack and judges which are lost.
//
// One target without an answer is that target's matter. When two targets of a
// worker and at least half of them, or two workers of a rack and at least half
// of them, have failed to answer since they last gave a sign of life, the whole
// worker or rack is taken as lost: its other targets get no work until each has
// given a sign of life of its own.
type Table struct {
	places  map[string]Placement // by target
	workers map[string][]string
	racks   map[string][]string // workers, or targets without a known worker
	failed  map[string]time.Time
	alive   map[string]time.Time // last sign of life
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{failed: make(map[string]time.Time), alive: make(map[string]time.Time)}
}

// SetPlacements replaces the list of targets.
func (t *Table) SetPlacements(places []Placement) {
	t.places = make(map[string]Placement, len(places))
	t.workers = make(map[string][]string)
	t.racks = make(map[string][]string)
	for _, p := range places {
		if p.Worker == "" {
			p.Worker = "target " + p.Target
		}
		t.places[p.Target] = p
		if len(t.workers[p.Worker]) == 0 && p.Rack != "" {
			t.racks[p.Rack] = append(t.racks[p.Rack], p.Worker)
		}
		t.workers[p.Worker] = append(t.workers[p.Worker], p.Target)
	}
	t.forget()
}

// forget drops what is known of targets that are no longer listed.
func (t *Table) forget() {
	for _, known := range []map[string]time.Time{t.failed, t.alive} {
		for name := range known {
			if _, ok := t.places[name]; !ok {
				delete(known, name)
			}
		}
	}
}

// RecordNoAnswer notes that a target did not answer.
func (t *Table) RecordNoAnswer(now time.Time, target string) {
	if _, ok := t.places[target]; ok {
		t.failed[target] = now
	}
}

// RecordContact notes a target's sign of life: an answer or an announcement.
func (t *Table) RecordContact(now time.Time, target string) {
	if _, ok := t.places[target]; ok {
		t.alive[target] = now
		delete(t.failed, target)
	}
}

// Lost reports whether a target's worker or rack is taken as lost.
func (t *Table) Lost(now time.Time, target string) bool {
	if len(t.failed) < 2 {
		return false
	}
	p, ok := t.places[target]
	if !ok {
		return false
	}
	since, lost := t.lostWorker(now, p.Worker)
	if rackSince, rackLost := t.lostRack(now, p.Rack); rackLost && (!lost || rackSince.After(since)) {
		since, lost = rackSince, true
	}
	return lost && !t.alive[target].After(since)
}

// silent returns when a target last failed to answer, false if it has given a
// sign of life since or the failure is too old.
func (t *Table) silent(now time.Time, target string) (time.Time, bool) {
	at, ok := t.failed[target]
	return at, ok && now.Sub(at) < evidenceAge
}

// lostWorker returns since when a worker is lost.
func (t *Table) lostWorker(now time.Time, worker string) (time.Time, bool) {
	targets := t.workers[worker]
	var last time.Time
	silent := 0
	for _, name := range targets {
		if at, ok := t.silent(now, name); ok {
			silent++
			last = later(last, at)
		}
	}
	return last, silent >= 2 && 2*silent >= len(targets)
}

// lostRack returns since when a rack is lost. A worker counts as silent if all
// that was heard of it lately was failures.
func (t *Table) lostRack(now time.Time, rack string) (time.Time, bool) {
	names := t.racks[rack]
	var last time.Time
	silent := 0
	for _, worker := range names {
		if at, ok := t.silentWorker(now, worker); ok {
			silent++
			last = later(last, at)
		}
	}
	return last, silent >= 2 && 2*silent >= len(names)
}

func (t *Table) silentWorker(now time.Time, worker string) (time.Time, bool) {
	var last time.Time
	found := false
	for _, name := range t.workers[worker] {
		if at, ok := t.silent(now, name); ok {
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
