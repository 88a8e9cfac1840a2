package dispatch

import (
	"context"
	"time"
)

// JobStatus is the progress of a job.
type JobStatus struct {
	Host           string // host that issued the ticket of the job
	TicketSeq      uint64 // sequence number of the ticket
	Team           string
	Tasks          int
	RunningTasks   int           // tasks in progress
	CompletedTasks int           // tasks with an output
	Age            time.Duration // since the job was admitted
	TimeToDeadline time.Duration // 0 for a job that was passed to another domain
}

// ListJobs returns the status of the jobs in progress, in no particular order.
func (l *Loop) ListJobs(ctx context.Context) ([]JobStatus, error) {
	return call(ctx, l, func(now time.Time) ([]JobStatus, error) {
		list := make([]JobStatus, 0, len(l.jobs))
		for id, p := range l.jobs {
			list = append(list, l.jobStatus(now, id, p))
		}
		return list, nil
	})
}

func (l *Loop) jobStatus(now time.Time, id JobID, p *pendingJob) JobStatus {
	s := JobStatus{
		Host:      p.key.Host,
		TicketSeq: p.key.Seq,
		Team:      p.spec.Team,
		Tasks:     len(p.spec.Tasks),
		Age:       now.Sub(p.admittedAt),
	}
	if j, ok := l.config.Core.jobs[id]; ok {
		s.RunningTasks = len(j.startsInProgress)
		s.CompletedTasks = len(p.spec.Tasks) - j.incompleteTasks
		s.TimeToDeadline = j.deadline.Sub(now)
	}
	return s
}
