package scheduler

import "time"

// Evidence is what a run was taken for over by, so that its task may start again.
type Evidence int

// The evidence that a run is over.
const (
	EvidenceNone     Evidence = iota // the task has not run here
	EvidenceReported                 // the target listed the run as ended
	EvidenceStopped                  // the target confirmed its stop
	EvidenceRefused                  // the target refused its start, or the request was not sent
	EvidenceLease                    // all leases that were sent for it have expired
)

var evidenceNames = [...]string{"none", "reported", "stopped", "refused", "lease"}

// String returns the evidence's name.
func (e Evidence) String() string { return evidenceNames[e] }

// Release is the end of a task's run, as the scheduler learned it.
type Release struct {
	Target   string
	Evidence Evidence
	At       time.Time
}
