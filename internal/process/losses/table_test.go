package losses

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1000, 0)

func newLoss(task Task, target int, at time.Time) Loss {
	return Loss{Task: task, Life: Life{Target: fmt.Sprint("t", target), Address: fmt.Sprint("10.0.0.", target), Incarnation: 1}, LostAt: at, Started: true}
}

// heard returns what a table asks for: the same for each life in question.
func heard(h Heard) func([]Life) map[Life]Heard {
	return func(lives []Life) map[Life]Heard {
		out := map[Life]Heard{}
		for _, l := range lives {
			out[l] = h
		}
		return out
	}
}

func TestALossIsResolvedByTheNextIncarnationHeard(t *testing.T) {
	task := Task{Job: "j"}
	for _, c := range []struct {
		name  string
		heard Heard
		want  Verdict
	}{
		{"a later incarnation", Heard{2, epoch.Add(time.Second)}, Crashed},
		{"the same incarnation, long after", Heard{1, epoch.Add(2 * time.Second)}, Survived},
		{"the same incarnation, perhaps before", Heard{1, epoch.Add(survivalDelay / 2)}, Unresolved},
	} {
		g := NewWithT(t)
		table := NewTable()
		table.Record(newLoss(task, 1, epoch), epoch)
		table.Resolve(heard(c.heard), epoch.Add(3*time.Second))
		g.Expect(table.OfJob("j")[0].Verdict).To(Equal(c.want), c.name)
	}
}

func TestACrashIsNotAscribedToATaskThatWasNotSeenToStart(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	l := newLoss(Task{Job: "j"}, 1, epoch)
	l.Started = false
	table.Record(l, epoch)
	table.Resolve(heard(Heard{2, epoch.Add(time.Second)}), epoch.Add(3*time.Second))
	g.Expect(table.Count(l.Task)).To(Equal(Count{Unresolved: 1}))
}

func TestOnlyTargetsThatMayHaveCrashedAreCounted(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	task, other := Task{Job: "j"}, Task{Job: "j", Index: 1}
	for i, verdict := range []Verdict{Unresolved, Survived, Crashed} {
		l := newLoss(task, i, epoch)
		l.Verdict = verdict
		g.Expect(table.Record(l, epoch)).To(BeTrue())
		g.Expect(table.Record(l, epoch)).To(BeFalse(), "a loss was counted twice")
	}
	table.Record(newLoss(other, 4, epoch), epoch)
	g.Expect(table.Count(task)).To(Equal(Count{Crashed: 1, Unresolved: 1}))
	g.Expect(table.Count(other).Sum()).To(Equal(1))
	g.Expect(table.Count(Task{Job: "k"}).Sum()).To(BeZero())
}

func TestAKnownLossKeepsTheMoreCertainVerdict(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	l := newLoss(Task{Job: "j"}, 1, epoch)
	crashed := l
	crashed.Verdict = Crashed
	table.Record(l, epoch)
	table.Record(crashed, epoch)
	table.Record(l, epoch)
	g.Expect(table.Count(l.Task)).To(Equal(Count{Crashed: 1}))
}

func TestOldLossesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Record(newLoss(Task{Job: "old"}, 1, epoch), epoch)
	later := epoch.Add(retention + time.Second)
	table.Record(newLoss(Task{Job: "new"}, 1, later), later)
	g.Expect(table.Knows("old")).To(BeFalse())
	g.Expect(table.Knows("new")).To(BeTrue())
}

func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for i := range maxLosses + 100 {
		table.Record(newLoss(Task{Job: fmt.Sprint(i)}, i, epoch), epoch)
	}
	g.Expect(table.all).To(HaveLen(maxLosses))
	g.Expect(table.byJob).To(HaveLen(maxLosses))
	g.Expect(table.Knows("0")).To(BeFalse())
}
