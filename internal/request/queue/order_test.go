package queue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/queue"
)

// overloadResult counts the jobs of one run of simulateOverload by their end.
type overloadResult struct {
	jobs, inTime, refused, late int
	wasted                      time.Duration // run time of the tasks of late jobs
}

// simulateOverload submits jobs of one team, with 1 to 60 tasks and deadlines of 0.5 to
// 5 s, at load times the capacity of 100 slots, in steps of 1 ms. A job that misses its
// deadline is late and its waiting tasks are removed.
func simulateOverload(order queue.Order, load float64, admit bool) overloadResult {
	const slots, seconds, meanTasks = 100, 60, 30.5
	rng := rand.New(rand.NewPCG(5, 5))
	q := queue.New(queue.Config{MaxTasks: 1 << 20, MaxBytes: 1 << 40, Order: order})
	type state struct {
		tasksLeft   int
		runTimeUsed time.Duration
		late        bool
	}
	jobs := map[uint64]*state{}
	expire, ends := map[int][]uint64{}, map[int][]queue.TaskRef{}
	out, running := overloadResult{}, 0
	for ms := range (seconds + 10) * 1000 {
		now := startTime.Add(time.Duration(ms) * time.Millisecond)
		for _, r := range ends[ms] {
			running--
			q.Finish(r, r.Task.ExpectedRunTime)
			s := jobs[r.Job.ID]
			s.runTimeUsed += r.Task.ExpectedRunTime
			if s.tasksLeft--; s.tasksLeft == 0 && !s.late {
				out.inTime++
			}
		}
		for _, id := range expire[ms] {
			if s := jobs[id]; s.tasksLeft > 0 {
				out.late++
				s.late = true
				q.RemoveJob(id)
			}
		}
		perMS := load * slots / 0.3 / meanTasks / 1000
		if ms < seconds*1000 && rng.Float64() < perMS {
			out.jobs++
			list := tasks(1 + rng.IntN(60))
			for i := range list {
				list[i].ExpectedRunTime = time.Duration(50+rng.IntN(500)) * time.Millisecond
			}
			left := 500 + rng.IntN(4500)
			j := queue.Job{ID: uint64(out.jobs), Team: "a", Deadline: now.Add(time.Duration(left) * time.Millisecond)}
			if admit && q.Admit(now, j, list, slots) != nil {
				out.refused++
				continue
			}
			jobs[j.ID] = &state{tasksLeft: len(list)}
			expire[ms+left] = append(expire[ms+left], j.ID)
			q.Push(j, list)
		}
		for ; running < slots; running++ {
			r, ok := q.Pop(false)
			if !ok {
				break
			}
			at := ms + int(r.Task.ExpectedRunTime.Milliseconds())
			ends[at] = append(ends[at], r)
		}
	}
	for _, s := range jobs {
		if s.late {
			out.wasted += s.runTimeUsed
		}
	}
	return out
}

// TestAdmissionByArrivalReducesWasteUnderOverload logs, for each load, how many jobs
// end in time in both orders, with and without admission. It checks the combination in
// use, order of arrival with admission: compared with no admission it completes at
// least as many jobs in time and wastes less than half of the run time.
func TestAdmissionByArrivalReducesWasteUnderOverload(t *testing.T) {
	for _, load := range []float64{0.8, 0.95, 1.2, 2} {
		results := map[string]overloadResult{}
		for _, c := range []struct {
			name  string
			order queue.Order
			admit bool
		}{
			{"arrival", queue.ByArrival, false}, {"earliest deadline", queue.ByDeadline, false},
			{"arrival, admission", queue.ByArrival, true}, {"earliest deadline, admission", queue.ByDeadline, true},
		} {
			r := simulateOverload(c.order, load, c.admit)
			results[c.name] = r
			t.Logf("%3.0f%% %-28s in time %4d of %4d, refused %4d, late %4d, wasted %5.0f slot-seconds",
				100*load, c.name, r.inTime, r.jobs, r.refused, r.late, r.wasted.Seconds())
		}
		chosen := results["arrival, admission"]
		NewWithT(t).Expect(chosen.inTime).To(BeNumerically(">=", results["arrival"].inTime))
		NewWithT(t).Expect(chosen.wasted).To(BeNumerically("<", results["arrival"].wasted/2))
	}
}
