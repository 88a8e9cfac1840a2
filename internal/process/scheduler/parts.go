package scheduler

import (
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// partDecisionTime is how long after a part was sent its refusal must have come, if it is
// refused: a round trip between hosts and a wait for the pool's goroutine take a few
// milliseconds. A part that is pending for longer has started.
const partDecisionTime = 20 * time.Millisecond

// Splittable reports whether the job may run in parts. The steps of a job depend on each
// other across pools, so only jobs of a single step are split.
func (j Job) Splittable() bool {
	return len(j.Steps) == 1 && j.FirstTask == 0 && j.Steps[0].Count > 1
}

// PartedJob decides what becomes of a job that runs in parts over several pools, from the
// answers to its parts. It is not safe for concurrent use.
type PartedJob struct {
	job    Job
	parts  []partState
	failed Answer // the first answer other than Completed or Refused; Outcome is Completed if there is none
}

type partState struct {
	shards.Part
	attempt int // 1 for the planned pool, 2 for another, 3 for the pool that queues the part
	sentAt  time.Time
	ended   bool
	answer  Answer // to the last attempt
}

// partAttempts is how often a part is sent: to the planned pool and to another, each of
// which starts it at once or refuses it, and then to a pool that may queue it.
const partAttempts = 3

// PartSubmission is a part of a job that is to be sent to a pool.
type PartSubmission struct {
	Part    int // index among the job's parts
	Pool    string
	Attempt int // from 1
	Job     Job // the part
}

// NewPartedJob returns the job with its planned parts and the submissions of all of them.
func NewPartedJob(j Job, plan []shards.Part, now time.Time) (*PartedJob, []PartSubmission) {
	p := &PartedJob{job: j}
	var out []PartSubmission
	for i, part := range plan {
		p.parts = append(p.parts, partState{Part: part})
		out = append(out, p.send(i, part.Pool, now))
	}
	return p, out
}

func (p *PartedJob) send(i int, pool string, now time.Time) PartSubmission {
	part := &p.parts[i]
	part.Pool, part.sentAt = pool, now
	part.attempt++
	j := p.job
	step := j.Steps[0]
	step.Count = part.Count
	j.Steps, j.FirstTask, j.Spilled = []Step{step}, part.First, true
	j.OnlyAtOnce = part.attempt < partAttempts
	return PartSubmission{Part: i, Pool: pool, Attempt: part.attempt, Job: j}
}

// HandleAnswer processes the answer to the last submission of a part, and returns the next
// submission of that part if there is one. loads are those of the domain's pools.
func (p *PartedJob) HandleAnswer(i int, a Answer, loads []shards.Load, now time.Time) (PartSubmission, bool) {
	part := &p.parts[i]
	part.answer = a
	switch a.Outcome {
	case Completed:
	case Refused, Spill, Moved: // nothing of the part has run
		if pool, ok := p.nextPool(part, loads); ok && !p.anyRefused() {
			return p.send(i, pool, now), true
		}
		part.answer.Outcome = Refused
	default:
		if p.failed.Outcome == Completed {
			p.failed = a
		}
	}
	part.ended = true
	return PartSubmission{}, false
}

// nextPool returns the pool for the next attempt of a part that was refused.
func (p *PartedJob) nextPool(part *partState, loads []shards.Load) (string, bool) {
	switch {
	case part.attempt >= partAttempts:
		return "", false
	case part.attempt == partAttempts-1:
		return shards.PoolForRetry(loads, "") // the pool that refused it may still be the first to have capacity
	}
	if pool, ok := shards.PoolForRetry(loads, part.Pool); ok {
		return pool, true
	}
	part.attempt = partAttempts - 1
	return shards.PoolForRetry(loads, "")
}

// anyRefused reports whether a part has used all its attempts, so that the job cannot be
// completed.
func (p *PartedJob) anyRefused() bool {
	for _, part := range p.parts {
		if part.ended && part.answer.Outcome == Refused {
			return true
		}
	}
	return false
}

// Answer returns the answer of the job and true once it is decided; what is pending then
// is to be withdrawn. Otherwise it returns the time at which the answer may be decided
// without another answer to a part, or the zero time if there is none.
func (p *PartedJob) Answer(now time.Time) (Answer, time.Time, bool) {
	if p.failed.Outcome != Completed {
		return p.failed, time.Time{}, true
	}
	refused, anyRan, pendingUntil := Answer{}, false, time.Time{}
	pending := false
	for _, part := range p.parts {
		switch {
		case !part.ended:
			pending = true
			until := part.sentAt.Add(partDecisionTime)
			if part.attempt == partAttempts || !now.Before(until) {
				anyRan = true // or is queued, and may start before it is withdrawn
			} else if until.After(pendingUntil) {
				pendingUntil = until
			}
		case part.answer.Outcome == Completed:
			anyRan = true
		case refused.Outcome != Refused || part.answer.RetryAfter > refused.RetryAfter:
			refused = part.answer
		}
	}
	switch {
	case refused.Outcome != Refused:
		return Answer{Outcome: Completed}, time.Time{}, !pending
	case anyRan:
		return Answer{Outcome: Broken, Kind: failure.NotPlaced, Reason: "a part of the job was refused while another had started: " + refused.Reason}, time.Time{}, true
	case pending:
		return Answer{}, pendingUntil, false
	}
	return refused, time.Time{}, true
}

// Pools describes the ranges of the parts and their pools for the log.
func (p *PartedJob) Pools() []string {
	var out []string
	for _, part := range p.parts {
		out = append(out, fmt.Sprintf("%s: tasks %d to %d", part.Pool, part.First, part.First+part.Count-1))
	}
	return out
}
