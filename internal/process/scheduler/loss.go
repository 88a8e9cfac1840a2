package scheduler

import (
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// crashLimit is how many targets may crash under a task before it is given up. One
// crash shows nothing: the tasks that ran beside the one that caused it are lost too.
const crashLimit = 2

// crashedAnswer is the answer to a job with a task that is given up.
var crashedAnswer = Answer{Outcome: Failed, Kind: failure.TaskCrashed, Reason: fmt.Sprintf("%d targets have crashed under a task", crashLimit)}

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

// LossRecorded asks to report a loss to the hosts that may run the task next.
type LossRecorded struct{ Loss losses.Loss }

func (RunLost) effect()      {}
func (LossRecorded) effect() {}

// showsCrash reports whether the cause shows that the target has crashed. It is false for
// a target that may only be silent.
func (c LossCause) showsCrash() bool { return c == TargetRestarted || c == TargetReplaced }

// mayHaveCrashedTarget reports whether a run that was lost with a target may have crashed
// it. A target that left, moved or drained did not crash. A start request that is still
// under way when a later incarnation answers reached no target: to come back takes a
// target longer than the timeout of the request.
func mayHaveCrashedTarget(r *run, t *target, cause LossCause) bool {
	if cause == TargetLeft || cause == TargetMoved || t.Draining || r.lost || !r.on(t) {
		return false
	}
	return !cause.showsCrash() || r.state != starting
}

// ExcuseTarget makes the loss of the runs that were requested on a target by a time no sign that
// one of them crashed it.
func (c *Core) ExcuseTarget(id string, by time.Time) {
	if t, ok := c.targets[id]; ok {
		for _, r := range t.runs {
			r.lost = r.lost || !r.requestedAt.After(by)
		}
	}
}

// loseRuns records and reports the runs of a target that was lost, and returns them.
func (c *Core) loseRuns(t *target, cause LossCause, now time.Time) []*run {
	runs := t.sortedRuns()
	c.recordLostRuns(t, runs, cause, now)
	return runs
}

func (c *Core) recordLostRuns(t *target, runs []*run, cause LossCause, now time.Time) {
	for _, r := range runs {
		c.emit(RunLost{
			Target: t.ID, Incarnation: t.Incarnation, Run: r.id, Cause: cause, OtherRuns: len(runs) - 1, Age: now.Sub(r.requestedAt),
		})
		if mayHaveCrashedTarget(r, t, cause) {
			c.recordLoss(r, t, cause, now)
		}
		r.lost = true
	}
}

// recordLoss records the loss of a target under a run's task, which becomes a suspect.
func (c *Core) recordLoss(r *run, t *target, cause LossCause, now time.Time) {
	loss := losses.Loss{
		Task: lossTask(r.id), Life: losses.Life{Target: t.ID, Address: t.Address, Incarnation: t.Incarnation}, LostAt: now, Started: r.confirmed,
	}
	if cause.showsCrash() {
		loss.Resolve(losses.Crashed)
	}
	if c.losses.Record(loss, now) {
		c.emit(LossRecorded{loss})
	}
	if s := c.jobOf(r.id); s != nil {
		s.taskOf(r.id).suspect = true
	}
}

func lossTask(r Run) losses.Task { return losses.Task{Job: r.Job, Step: r.Step, Index: r.Index} }

// recallLosses marks the tasks of a job under which targets were lost before: the job
// was handed over or is sent again.
func (c *Core) recallLosses(s *jobState) {
	if !c.losses.Knows(s.ID) {
		return
	}
	for _, t := range s.tasks {
		t.suspect = c.lossCount(s, t).Sum() > 0
	}
}

func (c *Core) lossCount(s *jobState, t *task) losses.Count {
	return c.losses.Count(losses.Task{Job: s.ID, Step: t.step, Index: t.index})
}

// mayStart reports whether a task may be started, as far as lost targets tell. A task
// that may have crashed crashLimit targets waits until it is known what became of them.
func (c *Core) mayStart(s *jobState, t *task) bool {
	return !t.suspect || c.lossCount(s, t).Sum() < crashLimit
}

// deadlyTask returns a task of the job under which crashLimit targets have crashed, or
// nil if there is none.
func (c *Core) deadlyTask(s *jobState) *task {
	for _, t := range s.tasks {
		if t.suspect && !t.done && c.lossCount(s, t).Crashed >= crashLimit {
			return t
		}
	}
	return nil
}

// giveUpDeadly answers a job with a deadly task, and reports whether there is one.
func (c *Core) giveUpDeadly(s *jobState, now time.Time) bool {
	t := c.deadlyTask(s)
	if t == nil {
		return false
	}
	c.emitSuspect(SuspectGivenUp, s, t, "", now)
	c.answerJob(s, crashedAnswer)
	return true
}
