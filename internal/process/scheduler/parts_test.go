package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

func newPart(first, count int) Job {
	j := newDeskJob("j", count)
	j.FirstTask = first
	return j
}

func TestPartsOfOneJobInAPoolAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first, second := starts(c.Submit(newPart(0, 2), 1, at(0))), starts(c.Submit(newPart(2, 3), 2, at(0)))
	var indexes []int
	for _, s := range slices.Concat(first, second) {
		indexes = append(indexes, s.Run.Index)
	}
	g.Expect(indexes).To(Equal([]int{0, 1, 2, 3, 4}))
	overlapping := replies(c.Submit(newPart(0, 5), 3, at(1)))
	g.Expect(overlapping).To(HaveLen(1))
	g.Expect(overlapping[0].Answer.Outcome).To(Equal(Broken), "its tasks would run twice at once")
	moved := newCore(4)
	moved.ImportJobs(c.ExportJobs(func(string) time.Duration { return time.Second }, at(2)), at(2))
	for waiter, part := range map[uint64]Job{11: newPart(0, 2), 12: newPart(2, 3)} {
		part.Resubmitted = true
		g.Expect(replies(moved.Submit(part, waiter, at(3)))).To(BeEmpty())
	}
	for i, s := range second {
		answers := replies(moved.HandleRunEnded(s.Target, s.Run, EndDone, at(90)))
		if i < 2 {
			g.Expect(answers).To(BeEmpty())
			continue
		}
		g.Expect(answers).To(Equal([]Reply{{Waiter: 12, Job: "j", Answer: Answer{Outcome: Completed}}}))
	}
	g.Expect(stops(moved.Withdraw("j", 11, at(95)))).To(HaveLen(2))
}

// A part that ended while its pool was handed over must not answer for the whole job when
// its caller sends that again.
func TestARetainedAnswerIsThatOfThePartOnly(t *testing.T) {
	g := NewWithT(t)
	c, moved := newCore(2), newCore(2)
	s := starts(c.Submit(newPart(0, 1), 1, at(0)))
	moved.ImportJobs(c.ExportJobs(func(string) time.Duration { return time.Second }, at(1)), at(1))
	moved.HandleRunEnded(s[0].Target, s[0].Run, EndDone, at(50))
	g.Expect(starts(moved.Submit(newPart(0, 3), 2, at(60)))).To(HaveLen(3))
}

// partsModel runs one job in parts over pools whose holders, targets and messages fail.
type partsModel struct {
	t        *rapid.T
	now      time.Time
	pools    []*Core
	parted   *PartedJob
	waiters  map[uint64]PartSubmission // pending
	at       map[uint64]int            // pool by waiter
	last     uint64
	messages []func() // to be delivered in any order
	mayRun   map[string]Run
	refused  map[string]bool // runs that were stopped before their start arrived
	done     map[int]bool
	failures map[int]int
	ran      bool
	answered bool // from then on, no run ends unless it is stopped
}

func (m *partsModel) newPool(pool int) *Core {
	c := NewCore(DefaultConfig())
	for i := range 3 {
		target := newDeskTarget(i)
		target.ID = fmt.Sprintf("p%d-%s", pool, target.ID)
		c.UpdateTarget(target, false, m.now)
	}
	return c
}

func (m *partsModel) loads() []shards.Load {
	var out []shards.Load
	for i, c := range m.pools {
		free, queued := c.Load(m.now)
		out = append(out, shards.Load{Pool: fmt.Sprint(i), FreeTasks: free, QueuedTasks: queued, TakesParts: true})
	}
	return out
}

func (m *partsModel) submit(s PartSubmission) {
	var pool int
	_, _ = fmt.Sscan(s.Pool, &pool)
	m.last++
	m.waiters[m.last], m.at[m.last] = s, pool
	m.apply(pool, m.pools[pool].Submit(s.Job, m.last, m.now))
}

func (m *partsModel) apply(pool int, effects []Effect) {
	core := m.pools[pool]
	later := func(f func() []Effect) {
		m.messages = append(m.messages, func() {
			if m.pools[pool] == core { // sessions end with the pool's holder
				m.apply(pool, f())
			}
		})
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			m.start(e, later, core)
		case Stop:
			key := e.Target + fmt.Sprint(e.Run)
			later(func() []Effect {
				delete(m.mayRun, key)
				m.refused[key] = true
				return core.HandleRunStopped(e.Target, e.Run, m.now)
			})
		case Reply:
			if _, ok := m.waiters[e.Waiter]; ok {
				m.messages = append(m.messages, func() { m.receive(e.Waiter, e.Answer) })
			}
		}
	}
}

func (m *partsModel) start(e Start, later func(func() []Effect), core *Core) {
	if e.Run.Job != "j" {
		return
	}
	for _, r := range m.mayRun {
		if r.Index == e.Run.Index {
			m.t.Fatalf("task %d is started as %v while %v may run", r.Index, e.Run, r)
		}
	}
	key := e.Target + fmt.Sprint(e.Run)
	m.mayRun[key] = e.Run
	result := rapid.SampledFrom([]StartResult{Started, Started, Started, Started, Started, NoRoom}).Draw(m.t, "result")
	later(func() []Effect {
		if m.refused[key] {
			return nil
		}
		if result != Started {
			delete(m.mayRun, key)
			return core.HandleStartResult(e.Target, e.Run, result, m.now)
		}
		m.ran = true
		end := rapid.SampledFrom([]End{EndDone, EndDone, EndDone, EndDone, EndDone, EndDone, EndDone, EndFailed}).Draw(m.t, "end")
		later(func() []Effect {
			if m.refused[key] || m.answered {
				return nil
			}
			delete(m.mayRun, key)
			if end == EndDone {
				m.done[e.Run.Index] = true
			} else {
				m.failures[e.Run.Index]++
			}
			return core.HandleRunEnded(e.Target, e.Run, end, m.now)
		})
		return core.HandleStartResult(e.Target, e.Run, Started, m.now)
	})
}

// receive processes the answer to a part, as a route does: a part that was handed over is
// submitted again, and never refused after that.
func (m *partsModel) receive(waiter uint64, a Answer) {
	s, ok := m.waiters[waiter]
	if !ok {
		return
	}
	delete(m.waiters, waiter)
	switch {
	case a.Outcome == Moved:
		s.Job.Resubmitted = s.Job.Resubmitted || a.HandedOver
		m.submit(s)
		return
	case s.Job.Resubmitted && a.Outcome == Refused:
		a = Answer{Outcome: Broken, Kind: failure.AnswerLost}
	}
	if next, again := m.parted.HandleAnswer(s.Part, a, m.loads(), m.now); again {
		m.submit(next)
	}
}

// endRunsOn ends the runs on a target without a report, and those that have yet to start.
func (m *partsModel) endRunsOn(target string) {
	for key := range m.mayRun {
		if key[:5] == target {
			delete(m.mayRun, key)
			m.refused[key] = true
		}
	}
}

// loseHolder replaces a pool's holder. The targets get no work until the new one has
// stopped what it finds there.
func (m *partsModel) loseHolder(pool int) {
	core := m.newPool(pool)
	m.pools[pool] = core
	for _, id := range core.targetIDs {
		core.SetClearing(id, true, m.now)
		m.messages = append(m.messages, func() {
			if m.pools[pool] != core {
				return
			}
			m.endRunsOn(id)
			m.apply(pool, core.SetClearing(id, false, m.now))
		})
	}
	for _, waiter := range slices.Sorted(maps.Keys(m.waiters)) {
		if m.at[waiter] == pool {
			m.messages = append(m.messages, func() { m.receive(waiter, Answer{Outcome: Broken, Kind: failure.AnswerLost}) })
		}
	}
}

// handOver hands a pool over; the new holder finds out what runs on the targets.
func (m *partsModel) handOver(pool int) {
	former := m.pools[pool]
	m.pools[pool] = m.newPool(pool)
	effects := m.pools[pool].ImportJobs(former.ExportJobs(func(string) time.Duration { return time.Second }, m.now), m.now)
	for _, key := range slices.Sorted(maps.Keys(m.mayRun)) {
		r := m.mayRun[key]
		target := key[:5]
		_, run := m.pools[pool].findRun(target, r)
		m.messages = append(m.messages, func() {
			if _, still := m.mayRun[key]; !still || run != nil && m.answered {
				return
			}
			delete(m.mayRun, key)
			m.refused[key] = true
			if run != nil { // an unknown run is stopped
				m.done[r.Index], m.ran = true, true
				m.apply(pool, m.pools[pool].HandleRunEnded(target, r, EndDone, m.now))
			}
		})
	}
	m.apply(pool, effects)
	m.apply(pool, m.pools[pool].ResumeRuns())
	m.apply(pool, former.CompleteHandover("new"))
}

func (m *partsModel) deliver(i int) {
	message := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	message()
}

// Over random refusals, losses of holders and targets, hand-overs and delays, no task has two runs at
// once, the answer is true, and nothing runs on after it.
func TestAJobInPartsIsAnsweredTruly(t *testing.T) {
	answers := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &partsModel{
			t: t, now: epoch, waiters: map[uint64]PartSubmission{}, at: map[uint64]int{}, mayRun: map[string]Run{},
			refused: map[string]bool{}, done: map[int]bool{}, failures: map[int]int{},
		}
		for pool := range rapid.IntRange(2, 5).Draw(t, "pools") {
			m.pools = append(m.pools, m.newPool(pool))
			m.last++
			m.pools[pool].Submit(newDeskJob(fmt.Sprint("other", pool), rapid.IntRange(1, 6).Draw(t, "others")), m.last, m.now)
		}
		loads := m.loads()
		for i := range loads { // stale
			loads[i].FreeTasks += rapid.IntRange(0, 3).Draw(t, "error")
		}
		tasks := rapid.IntRange(2, 16).Draw(t, "tasks")
		plan := shards.PlanParts(loads, tasks)
		if plan == nil {
			t.Skip("one pool has capacity, or all have too little")
		}
		var first []PartSubmission
		m.parted, first = NewPartedJob(newDeskJob("j", tasks), plan, m.now)
		for _, s := range first {
			m.submit(s)
		}
		answer, left := Answer{}, false
		for decided := false; !decided && !left; {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * time.Millisecond)
			switch action := rapid.IntRange(0, 299).Draw(t, "action"); {
			case action > 295: // rapid draws small numbers more often
				m.loseHolder(rapid.IntRange(0, len(m.pools)-1).Draw(t, "lost"))
			case action > 290:
				m.handOver(rapid.IntRange(0, len(m.pools)-1).Draw(t, "handed over"))
			case action > 286:
				pool := rapid.IntRange(0, len(m.pools)-1).Draw(t, "pool")
				target := rapid.SampledFrom(m.pools[pool].targetIDs).Draw(t, "target")
				m.endRunsOn(target)
				m.apply(pool, m.pools[pool].ExpireLeases(target, m.now))
			case action > 284:
				left = rapid.IntRange(0, 3).Draw(t, "left") == 0
			case action < 250 && len(m.messages) > 0:
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"))
			default:
				for i, c := range m.pools {
					m.apply(i, c.Tick(m.now))
				}
			}
			answer, _, decided = m.parted.Answer(m.now)
		}
		answers[fmt.Sprint(left, answer.Outcome, answer.Kind)]++
		switch {
		case left:
		case answer.Outcome == Completed && len(m.done) != tasks:
			t.Fatalf("completed with %d of %d tasks done", len(m.done), tasks)
		case answer.Outcome == Refused && (m.ran || len(m.mayRun) > 0):
			t.Fatalf("refused although a task has run or may run: %v", m.mayRun)
		case answer.Outcome == Failed && slices.Max(append(slices.Collect(maps.Values(m.failures)), 0)) < 2:
			t.Fatalf("failed, but no task used its attempts: %v", m.failures)
		}
		m.answered = true
		for _, waiter := range slices.Sorted(maps.Keys(m.waiters)) {
			m.apply(m.at[waiter], m.pools[m.at[waiter]].Withdraw("j", waiter, m.now))
			delete(m.waiters, waiter)
		}
		m.now = m.now.Add(DefaultConfig().KeptFor() + time.Second)
		for range 3 {
			for i, c := range m.pools {
				m.apply(i, c.Tick(m.now))
			}
			for len(m.messages) > 0 {
				m.deliver(0)
			}
		}
		if len(m.mayRun) > 0 {
			t.Fatalf("left behind: %v", m.mayRun)
		}
	})
	t.Logf("whether the caller left, and answers: %v", answers)
}
