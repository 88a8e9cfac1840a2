package workers_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/workers"
)

var start = time.UnixMilli(1_700_000_000_000)

// racks returns a Table of two racks of six workers with one or two targets.
func racks(targets int) *workers.Table {
	var places []workers.Placement
	for r := range 2 {
		for w := range 6 {
			for i := range targets {
				worker := fmt.Sprintf("r%dw%d", r, w)
				places = append(places, workers.Placement{
					Target: fmt.Sprintf("%st%d", worker, i), Worker: worker, Rack: fmt.Sprintf("r%d", r)})
			}
		}
	}
	t := workers.NewTable()
	t.SetPlacements(places)
	return t
}

func TestLossOfAWorkerTakesItsTargets(t *testing.T) {
	g := NewWithT(t)
	table := racks(3)
	table.RecordNoAnswer(start, "r0w0t0")
	g.Expect(table.Lost(start, "r0w0t2")).To(BeFalse())
	table.RecordNoAnswer(start, "r0w0t1")
	g.Expect(table.Lost(start, "r0w0t2")).To(BeTrue())
	g.Expect(table.Lost(start, "r0w1t0")).To(BeFalse())
	table.RecordContact(start.Add(time.Millisecond), "r0w0t2")
	g.Expect(table.Lost(start.Add(time.Second), "r0w0t2")).To(BeFalse())
	g.Expect(table.Lost(start.Add(time.Second), "r0w0t0")).To(BeTrue())
}

func TestLossOfARackTakesItsWorkers(t *testing.T) {
	g := NewWithT(t)
	table := racks(1)
	for w := range 3 {
		g.Expect(table.Lost(start, "r0w5t0")).To(BeFalse())
		table.RecordNoAnswer(start, fmt.Sprintf("r0w%dt0", w))
	}
	g.Expect(table.Lost(start, "r0w5t0")).To(BeTrue())
	g.Expect(table.Lost(start, "r1w5t0")).To(BeFalse())
	g.Expect(table.Lost(start.Add(6*time.Second), "r0w5t0")).To(BeFalse())
	for w := range 2 {
		table.RecordContact(start, fmt.Sprintf("r0w%dt0", w))
	}
	g.Expect(table.Lost(start, "r0w5t0")).To(BeFalse())
}

func TestUsageIsJudgedByItsAge(t *testing.T) {
	g := NewWithT(t)
	u := workers.NewUsages()
	g.Expect(u.Overloaded(start, "w")).To(BeFalse())
	u.Record(start, workers.Usage{Worker: "w", MeasuredAt: start, ProcessorUtilization: 0.2, MemoryUtilization: 1})
	g.Expect(u.Overloaded(start.Add(time.Second), "w")).To(BeTrue())
	g.Expect(u.Overloaded(start.Add(3*time.Second), "w")).To(BeFalse())
	u.Record(start, workers.Usage{Worker: "w", MeasuredAt: start.Add(-time.Second), ProcessorUtilization: 0})
	g.Expect(u.Overloaded(start.Add(time.Second), "w")).To(BeTrue())
	u.Record(start, workers.Usage{Worker: "w", MeasuredAt: start.Add(time.Second), ProcessorUtilization: 0.1})
	g.Expect(u.Overloaded(start.Add(time.Second), "w")).To(BeFalse())
}

func TestATaskRunsUntilItsStopIsConfirmedOrItsLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	s := workers.NewStops(2)
	end := start.Add(3 * time.Second)
	for _, id := range []uint64{1, 2} {
		g.Expect(s.Add(start, workers.Task{ID: id, LeaseEnd: end})).To(BeTrue())
	}
	g.Expect(s.Add(start, workers.Task{ID: 3, LeaseEnd: end})).To(BeFalse())
	g.Expect(s.Due(start)).To(HaveLen(2))
	g.Expect(s.Due(start.Add(100 * time.Millisecond))).To(BeEmpty())
	g.Expect(s.Due(start.Add(500 * time.Millisecond))).To(HaveLen(2))
	s.Remove(1)
	g.Expect(s.MayBeRunning(start, 1)).To(BeFalse())
	g.Expect(s.MayBeRunning(start, 2)).To(BeTrue())
	g.Expect(s.MayBeRunning(end, 2)).To(BeFalse())
	g.Expect(s.Due(end)).To(BeEmpty())
	g.Expect(s.Add(end, workers.Task{ID: 4, LeaseEnd: end.Add(time.Second)})).To(BeTrue())
}
