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

func (c *Core) releaseRuns(runs []*run, by Evidence, now time.Time) {
	for _, r := range runs {
		c.releaseRun(r, by, now)
	}
}

// releaseRun frees the resources of a run; its task waits again.
func (c *Core) releaseRun(r *run, by Evidence, now time.Time) {
	if t, ok := c.targets[r.targetID]; ok {
		t.removeRun(r)
	}
	if c.formerRuns[r.id.ofTask()] == r {
		delete(c.formerRuns, r.id.ofTask())
	}
	if r.job.dropped {
		c.emit(DroppedRunEnded{Target: r.targetID, Run: r.id, Evidence: by, AwaitedAt: r.job.awaitedAt})
	}
	s := c.jobOf(r.id)
	if s == nil {
		return
	}
	t := s.taskOf(r.id)
	if t.run != r {
		return
	}
	t.run = nil
	t.released = Release{Target: r.targetID, Evidence: by, At: now}
	s.pendingTasks++
	if s.pendingTasks == 1 {
		c.enqueue(s)
	}
}
