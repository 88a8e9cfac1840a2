package queue

import (
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Admit reports whether a job may be pushed, given the slots that this host
// can count on. Its errors are Overloaded, OverQuota and DeadlineTooShort.
func (q *Queue) Admit(now time.Time, j Job, tasks []Task, slots int) error {
	bytes := int64(0)
	for _, task := range tasks {
		bytes += task.PayloadBytes
	}
	freeTasks, freeBytes := q.config.MaxTasks-q.tasks, q.config.MaxBytes-q.bytes
	if len(tasks) > freeTasks {
		return failure.New(failure.Overloaded, "the queue is full")
	}
	if bytes > freeBytes {
		return failure.New(failure.Overloaded, "the queue holds too many bytes")
	}
	waiting, held := q.held(j.Team)
	if most := q.policies[j.Team].MaxWaiting; most > 0 && waiting+len(tasks) > most {
		return failure.New(failure.OverQuota, "the team's quota of waiting tasks is used up")
	}
	if waiting+len(tasks) > freeTasks || held+bytes > freeBytes {
		return failure.New(failure.OverQuota, "the team has too much waiting")
	}
	return q.admitByDeadline(now, j, tasks, slots)
}

func (q *Queue) held(name string) (tasks int, bytes int64) {
	if t, ok := q.teams[name]; ok {
		return t.waiting, t.bytes
	}
	return 0, 0
}

// admitByDeadline refuses a job that is not expected to end in time: by its
// longest task, and by the work ahead of it at the team's share.
// Only learned run times count, so that a wrong declaration refuses nothing.
func (q *Queue) admitByDeadline(now time.Time, j Job, tasks []Task, slots int) error {
	longest, work := time.Duration(0), time.Duration(0)
	for _, task := range tasks {
		if task.Learned {
			longest = max(longest, task.ExpectedRunTime)
			work += task.ExpectedRunTime
		}
	}
	left := j.Deadline.Sub(now)
	if longest > left {
		return failure.New(failure.DeadlineTooShort, "tasks of this kind run longer than the time left")
	}
	share, limited := q.share(j.Team, slots)
	needed := q.timeNeeded(j, work, longest, share)
	if needed <= left {
		return nil
	}
	if limited {
		return failure.New(failure.OverQuota, "the team's quota leaves too few slots before the deadline")
	}
	return failure.New(failure.DeadlineTooShort, "the work that waits ahead takes longer than the time left")
}

// EstimateWait estimates how long a new job waits for its first slot: the learned work
// of its team that waits ahead, at the team's share of the slots.
func (q *Queue) EstimateWait(j Job, slots int) time.Duration {
	ahead := q.ahead(j)
	if ahead == 0 {
		return 0
	}
	share, _ := q.share(j.Team, slots)
	return time.Duration(float64(ahead) / share)
}

// timeNeeded estimates when a job ends at a share of the slots: the work ahead
// of it, half of what runs (it is in the middle on average), its own work and,
// if it has to queue, half of its longest task, which starts anywhere in its
// last wave.
func (q *Queue) timeNeeded(j Job, work, longest time.Duration, share float64) time.Duration {
	ahead := q.ahead(j)
	if t, ok := q.teams[j.Team]; ok {
		work += t.runningWork / 2
	}
	needed := time.Duration(float64(ahead+work) / share)
	if ahead > 0 {
		needed += longest / 2
	}
	return needed
}

// ahead returns the learned work of the team's tasks that go before a new job.
func (q *Queue) ahead(j Job) time.Duration {
	t, ok := q.teams[j.Team]
	if !ok || q.config.Order == ByArrival {
		return workOf(t)
	}
	sum := time.Duration(0)
	for l := range t.heaps {
		for _, e := range t.heaps[l].items {
			if e.job.Deadline.After(j.Deadline) {
				continue
			}
			for _, task := range e.tasks[l] {
				if task.Learned {
					sum += task.ExpectedRunTime
				}
			}
		}
	}
	return sum
}

func workOf(t *team) time.Duration {
	if t == nil {
		return 0
	}
	return t.work
}

// share returns how many of the slots a team can count on while the teams
// that wait now go on waiting, and whether its limit is what binds.
func (q *Queue) share(name string, slots int) (share float64, limited bool) {
	own := newTeam(q.policies[name], q.config.Order, 0)
	sum := own.weight()
	for other, t := range q.teams {
		if other != name && t.waiting > 0 {
			sum += t.weight()
		}
	}
	share = max(1, float64(slots)*own.weight()/sum)
	if limit := own.policy.MaxRunning; limit > 0 && float64(limit) < share {
		return float64(limit), true
	}
	return share, false
}
