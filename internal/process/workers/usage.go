package workers

import "time"

// Usage is a worker's load as its platform reported it.
type Usage struct {
	Worker               string
	MeasuredAt           time.Time // when it was measured
	ProcessorUtilization float64   // used part, 0 to 1
	MemoryUtilization    float64   // used part, 0 to 1
}

const (
	usageAge = 10 * time.Second // a report says nothing from this age on
	fullLoad = 0.8              // judged load from which a worker gets no more tasks
	reports  = 8192             // reports held at most
)

// Usages holds the last report of each worker and judges it by its age.
type Usages struct {
	last map[string]Usage
}

// NewUsages returns Usages without reports.
func NewUsages() *Usages { return &Usages{last: make(map[string]Usage)} }

// Record takes in a report. One that is older than the one held is ignored.
func (u *Usages) Record(now time.Time, r Usage) {
	if held, ok := u.last[r.Worker]; ok && !r.MeasuredAt.After(held.MeasuredAt) {
		return
	}
	if len(u.last) >= reports {
		u.sweep(now)
	}
	if len(u.last) < reports {
		u.last[r.Worker] = r
	}
}

func (u *Usages) sweep(now time.Time) {
	for name, r := range u.last {
		if now.Sub(r.MeasuredAt) >= usageAge {
			delete(u.last, name)
		}
	}
}

// Empty reports whether no report is held.
func (u *Usages) Empty() bool { return len(u.last) == 0 }

// Load returns the greater of the reported loads, fading to 0 with the
// report's age. A report from the future counts as new.
func (u *Usages) Load(now time.Time, worker string) float64 {
	r, ok := u.last[worker]
	if !ok {
		return 0
	}
	age := max(0, now.Sub(r.MeasuredAt))
	weight := max(0, 1-float64(age)/float64(usageAge))
	return max(r.ProcessorUtilization, r.MemoryUtilization) * weight
}

// Overloaded reports whether a worker should get no more tasks for now.
func (u *Usages) Overloaded(now time.Time, worker string) bool {
	return u.Load(now, worker) >= fullLoad
}
