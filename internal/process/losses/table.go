package losses

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// retention is how long a loss is remembered: longer than a caller waits for a job,
	// which it may send again after each broken answer.
	retention = time.Minute
	// maxLosses bounds the table. The oldest loss is dropped for a new one.
	maxLosses = 8192
	// survivalDelay is how long after a loss an announcement of the lost incarnation
	// must arrive to show that it survived. An earlier one may have been under way.
	survivalDelay = time.Second
)

// Task identifies a task, whichever host runs its job.
type Task struct {
	Job         string
	Step, Index int
}

// Life is one incarnation of a target.
type Life struct {
	Target      string
	Address     string
	Incarnation uint64 // time of the target's start in Unix milliseconds
}

// Verdict is what became of a target that was lost.
type Verdict int

// The verdicts.
const (
	Unresolved Verdict = iota // nothing was heard of the target since
	Survived                  // the same incarnation announced itself again
	Crashed                   // a later incarnation has the target's id or address, and the task had been started
)

var verdictNames = [...]string{"unresolved", "survived", "crashed"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Loss is the loss of a target on which a task was running.
type Loss struct {
	Task    Task
	Life    Life
	LostAt  time.Time
	Started bool // the target had confirmed that it started the task
	Verdict Verdict
}

// Resolve sets the verdict. A crash is only ascribed to a task that the target is known
// to have started; the loss of any other stays unresolved.
func (l *Loss) Resolve(v Verdict) {
	if v == Survived || l.Started {
		l.Verdict = v
	}
}

// Count is how many targets were lost under a task, without those that survived.
type Count struct{ Crashed, Unresolved int }

// Sum returns how many targets may have crashed.
func (c Count) Sum() int { return c.Crashed + c.Unresolved }

// Table holds the losses of recent tasks.
type Table struct {
	mu    sync.Mutex
	byJob map[string][]*Loss
	all   []*Loss // in the order in which they were recorded
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{byJob: map[string][]*Loss{}} }

// Record adds a loss and reports whether it is new to the table. Of a known loss, it
// keeps the more certain verdict.
func (t *Table) Record(l Loss, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, known := range t.byJob[l.Task.Job] {
		if known.Task == l.Task && known.Life == l.Life {
			known.Started = known.Started || l.Started
			known.Verdict = max(known.Verdict, l.Verdict)
			return false
		}
	}
	added := &l
	t.byJob[l.Task.Job] = append(t.byJob[l.Task.Job], added)
	t.all = append(t.all, added)
	return true
}

// forget drops the losses older than retention, and the oldest ones beyond maxLosses.
func (t *Table) forget(now time.Time) {
	drop := max(0, len(t.all)-maxLosses+1)
	for drop < len(t.all) && now.Sub(t.all[drop].LostAt) > retention {
		drop++
	}
	for _, l := range t.all[:drop] {
		rest := slices.DeleteFunc(t.byJob[l.Task.Job], func(other *Loss) bool { return other == l })
		if len(rest) == 0 {
			delete(t.byJob, l.Task.Job)
		} else {
			t.byJob[l.Task.Job] = rest
		}
	}
	t.all = slices.Delete(t.all, 0, drop)
}

// Count returns how many targets were lost under a task.
func (t *Table) Count(task Task) Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Count
	for _, l := range t.byJob[task.Job] {
		if l.Task != task {
			continue
		}
		switch l.Verdict {
		case Crashed:
			c.Crashed++
		case Unresolved:
			c.Unresolved++
		}
	}
	return c
}

// Knows reports whether a target was lost under any task of a job.
func (t *Table) Knows(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byJob[job]) > 0
}

// OfJob returns the losses under the tasks of a job, the oldest first.
func (t *Table) OfJob(job string) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Loss
	for _, l := range t.byJob[job] {
		out = append(out, *l)
	}
	return out
}

// Heard is the newest incarnation that was heard from under a target's id or at its
// address, and when.
type Heard struct {
	Incarnation uint64
	At          time.Time
}

// Resolve decides the unresolved losses by what was heard since, and returns those that
// it decided, ordered by job. It calls newest once, with the lives that are in question;
// newest returns what was heard of each of them, and leaves out the others.
func (t *Table) Resolve(newest func([]Life) map[Life]Heard, now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var open []*Loss
	var lives []Life
	for _, l := range t.all {
		if l.Verdict == Unresolved {
			open = append(open, l)
			lives = append(lives, l.Life)
		}
	}
	if len(open) == 0 {
		return nil
	}
	heard := newest(lives)
	var decided []Loss
	for _, l := range open {
		h, ok := heard[l.Life]
		switch {
		case ok && h.Incarnation > l.Life.Incarnation:
			l.Resolve(Crashed)
		case ok && h.Incarnation == l.Life.Incarnation && h.At.Sub(l.LostAt) > survivalDelay:
			l.Resolve(Survived)
		default:
			continue
		}
		if l.Verdict != Unresolved {
			decided = append(decided, *l)
		}
	}
	slices.SortFunc(decided, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return decided
}
