package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// newPatientJob returns a job of one task whose caller waits for long.
func newPatientJob(id string) Job {
	j := newDeskJob(id, 1)
	j.TargetLatency = time.Minute
	j.Deadline = at(600_000)
	return j
}

// loseTarget lets the leases of the target expire on which a start was requested.
func loseTarget(c *Core, s Start, now time.Time) []Start {
	c.HandleStartResult(s.Target, s.Run, Started, now)
	return starts(c.ExpireLeases(s.Target, now.Add(time.Second)))
}

// restartUnderSameID restarts the target on which a run was started.
func restartUnderSameID(c *Core, s Start, now time.Time) {
	c.HandleStartResult(s.Target, s.Run, Started, now)
	restarted := c.targets[s.Target].Target
	restarted.Incarnation++
	c.UpdateTarget(restarted, false, now)
}

// decide resolves all losses as if something was heard of each lost target.
func decide(c *Core, incarnation uint64, now time.Time) {
	c.losses.Resolve(func(lives []losses.Life) map[losses.Life]losses.Heard {
		out := map[losses.Life]losses.Heard{}
		for _, l := range lives {
			out[l] = losses.Heard{Incarnation: incarnation, At: now}
		}
		return out
	}, now)
}

func TestATaskIsGivenUpOnceTwoTargetsHaveCrashedUnderIt(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	second := loseTarget(c, first, at(10))[0]
	g.Expect(loseTarget(c, second, at(2000))).To(BeEmpty(), "started while two lost targets may have crashed")
	g.Expect(starts(c.Tick(at(3500)))).To(BeEmpty())
	decide(c, 2, at(4000))
	answer := replies(c.Tick(at(4000)))
	g.Expect(answer).To(HaveLen(1))
	g.Expect(answer[0].Answer.Outcome).To(Equal(Failed))
	g.Expect(answer[0].Answer.Kind).To(Equal(failure.TaskCrashed))
	again := replies(c.Submit(newPatientJob("j"), 8, at(5000)))
	g.Expect(again).To(HaveLen(1), "the job was started when its caller sent it again")
	g.Expect(again[0].Answer.Kind).To(Equal(failure.TaskCrashed))
}

func TestATaskIsStartedAgainOnceItsLostTargetsShowThatTheySurvived(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	second := loseTarget(c, first, at(10))[0]
	g.Expect(loseTarget(c, second, at(2000))).To(BeEmpty())
	decide(c, 1, at(9000))
	g.Expect(starts(c.Tick(at(9000)))).To(HaveLen(1), "a target that was only silent counts as crashed")
}

func TestTheEndOfALeavingTargetIsNoCrash(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	draining := c.targets[first.Target].Target
	draining.Draining = true
	c.UpdateTarget(draining, false, at(5))
	second := loseTarget(c, first, at(10))[0]
	c.HandleStartResult(second.Target, second.Run, Started, at(1100))
	third := starts(c.RemoveTarget(second.Target, TargetLeft, 0, at(1200)))
	g.Expect(third).To(HaveLen(1))
	g.Expect(c.losses.Knows("j")).To(BeFalse())
}

func TestATargetThatRestartsUnderItsIDHasCrashed(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	restartUnderSameID(c, first, at(5))
	g.Expect(c.losses.Count(lossTask(first.Run))).To(Equal(losses.Count{Crashed: 1}))
}

func TestALossIsCountedOnceThoughTheTargetRestartsAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	restartUnderSameID(c, first, at(5))
	c.RemoveTarget(first.Target, TargetReplaced, 0, at(6))
	g.Expect(c.losses.Count(lossTask(first.Run)).Sum()).To(Equal(1), "the run was on one incarnation only")
}

func TestAStartOnTheWayToATargetThatWasGoneIsNoLoss(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	c.RemoveTarget(first.Target, TargetReplaced, 0, at(1))
	g.Expect(c.losses.Knows("j")).To(BeFalse())
}

func TestATaskWhoseStartsWereNotAnsweredIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	next := starts(c.Submit(newPatientJob("j"), 7, at(0)))
	for i := range 2 {
		c.HandleStartResult(next[0].Target, next[0].Run, Unanswered, at(1000*i+250))
		next = starts(c.RemoveTarget(next[0].Target, TargetReplaced, 0, at(1000*i+900)))
		g.Expect(next).To(HaveLen(1-i), "a task that may have crashed two targets waits")
	}
	g.Expect(replies(c.Tick(at(3000)))).To(BeEmpty(), "given up though no target is known to have started it")
}

func TestAStartThatAnotherTargetRefusedIsNoLoss(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	first := starts(c.Submit(newPatientJob("j"), 7, at(0)))[0]
	g.Expect(starts(c.HandleStartResult(first.Target, first.Run, WrongTarget, at(5)))).To(BeEmpty(), "sent to the same address again")
	c.RemoveTarget(first.Target, TargetReplaced, 0, at(6))
	g.Expect(c.losses.Knows("j")).To(BeFalse())
}

// deadlyModel is a deadly task, the targets it crashes and the holder that orders them.
type deadlyModel struct {
	now              int // milliseconds
	holder           *Core
	lives            []uint64        // incarnation of each target
	down             map[string]bool // crashed and not back yet
	running          []Start
	starts, crashes  int
	startsAfterThree int // after three targets have crashed
}

const modelTargets = 12

func newDeadlyModel() *deadlyModel {
	m := &deadlyModel{lives: make([]uint64, modelTargets), down: map[string]bool{}}
	for i := range m.lives {
		m.lives[i] = 1
	}
	m.replaceHolder(nil)
	return m
}

// replaceHolder starts a holder that knows the targets that are up and the losses that
// its predecessor reported.
func (m *deadlyModel) replaceHolder(reported []losses.Loss) {
	m.holder = newCore(0)
	for i := range m.lives {
		if t := m.target(i); !m.down[t.ID] {
			m.holder.UpdateTarget(t, false, at(m.now))
		}
	}
	for _, l := range reported {
		m.holder.losses.Record(l, at(m.now))
	}
}

func (m *deadlyModel) target(i int) Target {
	t := newDeskTarget(i)
	t.Incarnation = m.lives[i]
	t.Address = fmt.Sprintf("10.0.0.%d:80", i)
	return t
}

func (m *deadlyModel) handle(effects []Effect) {
	for _, s := range starts(effects) {
		m.starts++
		if m.crashes >= 3 {
			m.startsAfterThree++
		}
		m.running = append(m.running, s)
	}
}

func (m *deadlyModel) submit() {
	m.handle(m.holder.Submit(newPatientJob("j"), uint64(m.now)+1, at(m.now)))
}

// crash crashes the targets of all runs. The holder notices unless it is killed before.
func (m *deadlyModel) crash(noticed bool) {
	runs := m.running
	m.running = nil
	for _, s := range runs {
		m.crashes++
		m.down[s.Target] = true
		if noticed {
			m.holder.HandleStartResult(s.Target, s.Run, Started, at(m.now))
			m.handle(m.holder.ExpireLeases(s.Target, at(m.now+1000)))
			m.handle(m.holder.RemoveTarget(s.Target, TargetReplaced, 0, at(m.now+1000)))
		}
	}
}

// restartTargets brings all crashed targets back.
func (m *deadlyModel) restartTargets() {
	for i := range m.lives {
		if t := m.target(i); m.down[t.ID] {
			delete(m.down, t.ID)
			m.lives[i]++
			m.handle(m.holder.UpdateTarget(m.target(i), false, at(m.now)))
		}
	}
}

// tick lets the holder hear of the targets that are up.
func (m *deadlyModel) tick() {
	m.holder.losses.Resolve(func(lost []losses.Life) map[losses.Life]losses.Heard {
		out := map[losses.Life]losses.Heard{}
		for _, l := range lost {
			for i := range m.lives {
				if t := m.target(i); t.Address == l.Address && !m.down[t.ID] {
					out[l] = losses.Heard{Incarnation: t.Incarnation, At: at(m.now)}
				}
			}
		}
		return out
	}, at(m.now))
	m.handle(m.holder.Tick(at(m.now)))
	if len(m.holder.jobs) == 0 {
		m.submit() // its caller sends the job again after each answer
	}
}

func (m *deadlyModel) handOver() {
	state, reported := m.holder.ExportJobs(oneSecondLease, at(m.now)), m.holder.losses.OfJob("j")
	m.replaceHolder(reported)
	m.handle(m.holder.ImportJobs(state, at(m.now)))
	m.submit()
}

func (m *deadlyModel) killHolder() {
	m.crash(false)
	m.replaceHolder(m.holder.losses.OfJob("j"))
	m.submit()
}

// maxUnnoticedCrashes is how often the holder may be killed together with a target on
// which the task runs: such a crash leaves no trace. The limit of two crashes, the
// start beside each and these stay within three crashes and two further starts.
const maxUnnoticedCrashes = 3

// A deadly task is handed over and sent again after its holder was killed, in any order.
// Bound by the users' rule: after three targets have crashed under a task, it is started
// less than three times more.
func TestADeadlyTaskStaysWithinItsBudgetWhateverItsHoldersDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newDeadlyModel()
		m.submit()
		kills := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			m.now += rapid.IntRange(10, 2000).Draw(rt, "pause")
			switch rapid.SampledFrom([]string{"crash", "restart", "hand over", "kill", "tick"}).Draw(rt, "event") {
			case "crash":
				m.crash(true)
			case "restart":
				m.restartTargets()
			case "hand over":
				m.handOver()
			case "kill":
				if kills < maxUnnoticedCrashes {
					kills++
					m.killHolder()
				}
			case "tick":
				m.tick()
			}
			if m.startsAfterThree >= 3 {
				rt.Fatalf("started %d times after three crashes, %d starts in all", m.startsAfterThree, m.starts)
			}
		}
	})
}
