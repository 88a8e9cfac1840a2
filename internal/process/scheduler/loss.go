package scheduler

import "time"

// LossCause is how a target was lost while runs were on it.
type LossCause int

// The causes of a loss.
const (
	LeasesExpired   LossCause = iota // the target did not answer until all leases had expired
	TargetRestarted                  // a later incarnation has its id
	TargetReplaced                   // another target has its address
	TargetLeft                       // it deregistered
	TargetMoved                      // it belongs to another shard now
)

var lossCauseNames = [...]string{"leases_expired", "target_restarted", "target_replaced", "target_left", "target_moved"}

// String returns the cause's name.
func (c LossCause) String() string { return lossCauseNames[c] }

// RunLost reports that a run was lost with its target.
type RunLost struct {
	Target      string
	Incarnation uint64
	Run         Run
	Cause       LossCause
	OtherRuns   int           // that were lost with the target at the same time
	Age         time.Duration // since the run's start was requested
}

func (RunLost) effect() {}

// loseRuns reports the runs of a target that was lost, and returns them.
func (c *Core) loseRuns(t *target, cause LossCause, now time.Time) []*run {
	runs := t.sortedRuns()
	for _, r := range runs {
		c.emit(RunLost{
			Target: t.ID, Incarnation: t.Incarnation, Run: r.id, Cause: cause, OtherRuns: len(runs) - 1, Age: now.Sub(r.requestedAt),
		})
	}
	return runs
}
