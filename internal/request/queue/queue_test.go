package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/queue"
)

var startTime = time.UnixMilli(1_700_000_000_000)

const runTime = 100 * time.Millisecond

func newQueue() *queue.Queue { return queue.New(queue.Config{MaxTasks: 1000, MaxBytes: 1 << 20}) }

func tasks(n int) []queue.Task {
	list := make([]queue.Task, n)
	for i := range list {
		list[i] = queue.Task{Index: i, PayloadBytes: 10, ExpectedRunTime: runTime, Learned: true}
	}
	return list
}

func newJob(id int, team string) queue.Job {
	return queue.Job{ID: uint64(id), Team: team, Deadline: startTime.Add(10 * time.Second)}
}

// serveTasks pops and finishes up to n tasks with the run time of their team in ran,
// and returns the run time that each team used.
func serveTasks(q *queue.Queue, n int, ran map[string]time.Duration) map[string]time.Duration {
	used := map[string]time.Duration{}
	for range n {
		r, ok := q.Pop(false)
		if !ok {
			break
		}
		q.Finish(r, ran[r.Job.Team])
		used[r.Job.Team] += ran[r.Job.Team]
	}
	return used
}

func TestTeamsShareSlotsByWeightWhateverTheyDeclare(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.SetPolicies(map[string]queue.TeamPolicy{"a": {Weight: 3}, "b": {Weight: 1}})
	for i := range 40 {
		q.Push(newJob(i, "a"), tasks(10))
		short := tasks(10)
		for k := range short {
			short[k].ExpectedRunTime = time.Millisecond // the actual run time is 200 ms
		}
		q.Push(newJob(100+i, "b"), short)
	}
	used := serveTasks(q, 300, map[string]time.Duration{"a": runTime, "b": 2 * runTime})
	g.Expect(used["a"].Seconds() / used["b"].Seconds()).To(BeNumerically("~", 3, 0.2))
}

func TestFloodDoesNotDelayTeamWithOneTask(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.Push(newJob(1, "flood"), tasks(400))
	serveTasks(q, 100, map[string]time.Duration{"flood": runTime})
	q.Push(newJob(2, "quiet"), tasks(1))
	for range 2 {
		if r, _ := q.Pop(false); r.Job.Team == "quiet" {
			return
		}
	}
	g.Expect("the task of the quiet team").To(Equal("among the first two tasks popped"))
}

func TestIdleTimeGivesNoAdvantage(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.Push(newJob(1, "rests"), tasks(1))
	q.Push(newJob(2, "works"), tasks(300))
	serveTasks(q, 201, map[string]time.Duration{"rests": runTime, "works": runTime})
	q.Push(newJob(3, "rests"), tasks(50))
	used := serveTasks(q, 20, map[string]time.Duration{"rests": runTime, "works": runTime})
	g.Expect(used["works"].Seconds()).To(BeNumerically("~", used["rests"].Seconds(), 0.3))
}

func TestFloodLeavesCapacityForOtherTeams(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	id := 0
	flood := func(team string) error {
		for {
			id++
			if err := q.Admit(startTime, newJob(id, team), tasks(20), 1000); err != nil {
				return err
			}
			q.Push(newJob(id, team), tasks(20))
		}
	}
	g.Expect(failure.KindOf(flood("a"))).To(Equal(failure.OverQuota))
	g.Expect(q.WaitingTasks()).To(Equal(500))
	g.Expect(q.Admit(startTime, newJob(0, "b"), tasks(210), 1000)).To(Succeed())
}

func TestMaxRunningLimitsOnlyItsTeam(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.SetPolicies(map[string]queue.TeamPolicy{"a": {MaxRunning: 2}})
	q.Push(newJob(1, "a"), tasks(5))
	q.Push(newJob(2, "b"), tasks(5))
	popped := map[string]int{}
	var last queue.TaskRef
	for r, ok := q.Pop(false); ok; r, ok = q.Pop(false) {
		popped[r.Job.Team]++
		if r.Job.Team == "a" {
			last = r
		}
	}
	g.Expect(popped).To(Equal(map[string]int{"a": 2, "b": 5}))
	q.Finish(last, runTime)
	_, ok := q.Pop(false)
	g.Expect(ok).To(BeTrue())
}

func TestAdmitRefusesJobBeyondDeadlineOrLimit(t *testing.T) {
	busy := func(q *queue.Queue) { q.Push(newJob(1, "a"), tasks(300)) }
	unknown := tasks(1)
	unknown[0].Learned, unknown[0].ExpectedRunTime = false, time.Hour
	cases := []struct {
		name   string
		before func(q *queue.Queue)
		tasks  []queue.Task
		team   string
		left   time.Duration
		want   failure.Kind
	}{
		{"the queue is empty", func(*queue.Queue) {}, tasks(10), "a", time.Second, ""},
		{"a task runs longer than the time to the deadline", func(*queue.Queue) {}, tasks(1), "a", runTime / 2, failure.DeadlineTooShort},
		{"the run time is only declared", func(*queue.Queue) {}, unknown, "a", time.Second, ""},
		{"work ahead of 30 s on 10 slots, too little time", busy, tasks(1), "a", 2 * time.Second, failure.DeadlineTooShort},
		{"work ahead of 30 s on 10 slots, enough time", busy, tasks(1), "a", 4 * time.Second, ""},
		{"work ahead of another team", busy, tasks(1), "b", time.Second, ""},
		{"a limit of running tasks", func(q *queue.Queue) {
			q.SetPolicies(map[string]queue.TeamPolicy{"a": {MaxRunning: 1}})
		}, tasks(20), "a", time.Second, failure.OverQuota},
		{"a limit of waiting tasks", func(q *queue.Queue) {
			q.SetPolicies(map[string]queue.TeamPolicy{"a": {MaxWaiting: 19}})
		}, tasks(20), "a", time.Hour, failure.OverQuota},
		{"more tasks than the queue holds", func(*queue.Queue) {}, tasks(1001), "a", time.Hour, failure.Overloaded},
	}
	for _, c := range cases {
		q := newQueue()
		c.before(q)
		err := q.Admit(startTime, queue.Job{ID: 9, Team: c.team, Deadline: startTime.Add(c.left)}, c.tasks, 10)
		if c.want == "" {
			NewWithT(t).Expect(err).NotTo(HaveOccurred(), c.name)
			continue
		}
		NewWithT(t).Expect(failure.KindOf(err)).To(Equal(c.want), c.name)
	}
}

func TestAcceleratorTasksWaitSeparately(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	mixed := tasks(4)
	mixed[0].Accelerator = true
	q.Push(newJob(1, "a"), mixed)
	for i := 1; i < 4; i++ {
		r, ok := q.Pop(false)
		g.Expect(ok).To(BeTrue())
		g.Expect(r.Task.Index).To(Equal(i))
	}
	g.Expect(q.HasStartable(false)).To(BeFalse())
	r, _ := q.Pop(true)
	g.Expect(r.Task.Index).To(Equal(0))
	q.Requeue(r)
	g.Expect(q.RemoveJob(1)).To(Equal(1))
	g.Expect(q.WaitingTasks()).To(Equal(0))
}

// TestCountsMatchReplayedEvents applies random events to a queue and compares its
// counts with counts kept by the test.
func TestCountsMatchReplayedEvents(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		q := newQueue()
		waiting := map[uint64]int{}
		var running []queue.TaskRef
		total := 0
		for id := range uint64(300) {
			switch rng.IntN(5) {
			case 0, 1:
				n, other := 1+rng.IntN(8), rng.Uint64N(id+1) // the job other may have waiting tasks already
				q.Push(newJob(int(other), fmt.Sprint(other%5)), tasks(n))
				waiting[other] += n
				total += n
			case 2:
				if r, ok := q.Pop(false); ok {
					waiting[r.Job.ID]--
					total--
					running = append(running, r)
				}
			case 3:
				if len(running) > 0 {
					r := running[0]
					running = running[1:]
					q.Requeue(r)
					waiting[r.Job.ID]++
					total++
				}
			case 4:
				victim := rng.Uint64N(id + 1)
				g.Expect(q.RemoveJob(victim)).To(Equal(waiting[victim]))
				total -= waiting[victim]
				waiting[victim] = 0
				q.DropIdleTeams()
			}
			g.Expect(q.WaitingTasks()).To(Equal(total))
			g.Expect(q.WaitingBytes()).To(Equal(int64(10 * total)))
		}
	}
}

func TestQuotaShare(t *testing.T) {
	for _, c := range []struct {
		quota, hosts, own, all int
		complete               bool
		want                   int
	}{
		{0, 3, 1, 1, true, 0},
		{12, 3, 0, 0, true, 4},
		{12, 3, 10, 10, true, 8},
		{12, 3, 0, 10, true, 2},
		{12, 3, 10, 10, false, 4},
		{1, 3, 1, 2, true, 1},
	} {
		got := queue.QuotaShare(c.quota, c.hosts, c.own, c.all, c.complete)
		NewWithT(t).Expect(got).To(Equal(c.want), fmt.Sprint(c))
	}
}

func TestQuotaSharesDoNotExceedQuota(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		hosts := 1 + rng.IntN(4)
		quota := hosts + rng.IntN(500)
		demand := make([]int, hosts)
		all := 0
		for i := range demand {
			demand[i] = rng.IntN(1000)
			all += demand[i]
		}
		sum := 0
		for _, own := range demand {
			sum += queue.QuotaShare(quota, hosts, own, all, true)
		}
		NewWithT(t).Expect(sum).To(BeNumerically("<=", quota))
	}
}
