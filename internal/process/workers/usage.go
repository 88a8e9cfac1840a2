package workers

import "time"

// Usage is the load of a worker as reported by its platform.
type Usage struct {
	Worker               string
	MeasuredAt           time.Time
	ProcessorUtilization float64 // 0 to 1
	MemoryUtilization    float64 // 0 to 1
}

const (
	usageMaxAge       = 10 * time.Second // a report of this age has no weight any more
	overloadThreshold = 0.8              // weighted load from which on a worker gets no more tasks
	maxReports        = 8192             // largest number of reports held
)

// Usages holds the latest report of each worker and weights it by its age.
type Usages struct {
	latest map[string]Usage // by worker
}

// NewUsages returns a Usages without reports.
func NewUsages() *Usages { return &Usages{latest: make(map[string]Usage)} }

// Record records a report. It ignores a report that is not newer than the one held for the
// worker, and any report while maxReports unexpired ones are held.
func (u *Usages) Record(now time.Time, r Usage) {
	if held, ok := u.latest[r.Worker]; ok && !r.MeasuredAt.After(held.MeasuredAt) {
		return
	}
	if len(u.latest) >= maxReports {
		u.dropExpired(now)
	}
	if len(u.latest) < maxReports {
		u.latest[r.Worker] = r
	}
}

// dropExpired drops the reports that have no weight any more.
func (u *Usages) dropExpired(now time.Time) {
	for name, r := range u.latest {
		if now.Sub(r.MeasuredAt) >= usageMaxAge {
			delete(u.latest, name)
		}
	}
}

// Empty reports whether no report is held.
func (u *Usages) Empty() bool { return len(u.latest) == 0 }

// Load returns the greater of the two reported utilizations, weighted linearly from 1 for a
// new report to 0 for one of usageMaxAge. A report from the future counts as new. Without a
// report the load is 0.
func (u *Usages) Load(now time.Time, worker string) float64 {
	r, ok := u.latest[worker]
	if !ok {
		return 0
	}
	age := max(0, now.Sub(r.MeasuredAt))
	weight := max(0, 1-float64(age)/float64(usageMaxAge))
	return max(r.ProcessorUtilization, r.MemoryUtilization) * weight
}

// Overloaded reports whether a worker should get no more tasks for now.
func (u *Usages) Overloaded(now time.Time, worker string) bool {
	return u.Load(now, worker) >= overloadThreshold
}
