package queue

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Admit returns nil if a job may be pushed, given the number of slots available to
// this host. The error kinds are Overloaded, OverQuota and DeadlineTooShort. Admit
// does not change the queue.
func (q *Queue) Admit(now time.Time, j Job, tasks []Task, slots int) error {
	bytes := int64(0)
	for _, task := range tasks {
		bytes += task.PayloadBytes
	}
	freeTasks, freeBytes := q.config.MaxTasks-q.waitingTasks, q.config.MaxBytes-q.waitingBytes
	if len(tasks) > freeTasks {
		return failure.New(failure.Overloaded, "the queue has too few free places for the tasks of the job")
	}
	if bytes > freeBytes {
		return failure.New(failure.Overloaded, "the queue has too few free bytes for the payloads of the job")
	}
	waiting, waitingBytes := q.teamUsage(j.Team)
	if limit := q.policies[j.Team].MaxWaiting; limit > 0 && waiting+len(tasks) > limit {
		return failure.New(failure.OverQuota, "the team's quota of waiting tasks is used up")
	}
	if waiting+len(tasks) > freeTasks || waitingBytes+bytes > freeBytes {
		return failure.New(failure.OverQuota, "the waiting tasks of the team would exceed the free part of the queue")
	}
	return q.checkDeadline(now, j, tasks, slots)
}

// teamUsage returns the number and the payload bytes of the waiting tasks of a team.
func (q *Queue) teamUsage(name string) (tasks int, bytes int64) {
	if t, ok := q.teams[name]; ok {
		return t.waitingTasks, t.waitingBytes
	}
	return 0, 0
}

// checkDeadline returns an error for a job that is not expected to meet its deadline:
// because of its longest task, or of the work ahead of it at the expected slots of
// its team. Only learned run times count, so that a wrong declaration does not refuse
// a job.
func (q *Queue) checkDeadline(now time.Time, j Job, tasks []Task, slots int) error {
	longest, work := time.Duration(0), time.Duration(0)
	for _, task := range tasks {
		if task.Learned {
			longest = max(longest, task.ExpectedRunTime)
			work += task.ExpectedRunTime
		}
	}
	left := j.Deadline.Sub(now)
	if longest > left {
		return failure.New(failure.DeadlineTooShort, "tasks of this kind run longer than the time to the deadline")
	}
	slotShare, limited := q.expectedSlots(j.Team, slots)
	needed := q.timeNeeded(j, work, longest, slotShare)
	if needed <= left {
		return nil
	}
	if limited {
		return failure.New(failure.OverQuota, "the team's quota leaves too few slots before the deadline")
	}
	return failure.New(failure.DeadlineTooShort, "the tasks queued ahead take longer than the time to the deadline")
}

// EstimateWait returns the expected time until a new job gets its first slot: the
// learned run times of its team's tasks ahead of it, divided by the expected slots of
// the team.
func (q *Queue) EstimateWait(j Job, slots int) time.Duration {
	work := q.workAhead(j)
	if work == 0 {
		return 0
	}
	slotShare, _ := q.expectedSlots(j.Team, slots)
	return time.Duration(float64(work) / slotShare)
}

// timeNeeded returns the expected time until a job ends on the given slots of its
// team. It counts the work ahead, half of the work of the running tasks, which are
// half done on average, the job's own work and, if the job has to wait, half of its
// longest task, which may start at any time in the last round of tasks.
func (q *Queue) timeNeeded(j Job, work, longest time.Duration, slotShare float64) time.Duration {
	ahead := q.workAhead(j)
	if t, ok := q.teams[j.Team]; ok {
		work += t.runningWork / 2
	}
	needed := time.Duration(float64(ahead+work) / slotShare)
	if ahead > 0 {
		needed += longest / 2
	}
	return needed
}

// workAhead returns the sum of the learned run times of the team's waiting tasks that
// are served before a new job.
func (q *Queue) workAhead(j Job) time.Duration {
	t, ok := q.teams[j.Team]
	if !ok || q.config.Order == ByArrival {
		return waitingWorkOf(t)
	}
	sum := time.Duration(0)
	for class := range t.heaps {
		for _, other := range t.heaps[class].items {
			if other.job.Deadline.After(j.Deadline) {
				continue
			}
			for _, task := range other.tasks[class] {
				if task.Learned {
					sum += task.ExpectedRunTime
				}
			}
		}
	}
	return sum
}

func waitingWorkOf(t *team) time.Duration {
	if t == nil {
		return 0
	}
	return t.waitingWork
}

// expectedSlots returns the number of slots, at least 1, that a team gets while the
// teams with waiting tasks keep waiting, and whether MaxRunning limits it.
func (q *Queue) expectedSlots(name string, slots int) (expected float64, limited bool) {
	own := newTeam(q.policies[name], q.config.Order, 0)
	sum := own.weight()
	for other, t := range q.teams {
		if other != name && t.waitingTasks > 0 {
			sum += t.weight()
		}
	}
	expected = max(1, float64(slots)*own.weight()/sum)
	if limit := own.policy.MaxRunning; limit > 0 && float64(limit) < expected {
		return float64(limit), true
	}
	return expected, false
}
