package workers_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/workers"
)

var startTime = time.UnixMilli(1_700_000_000_000)

// newTwoRackTable returns a Table of two racks, each with six workers that have
// targetsPerWorker targets.
func newTwoRackTable(targetsPerWorker int) *workers.Table {
	var placements []workers.Placement
	for r := range 2 {
		for w := range 6 {
			for i := range targetsPerWorker {
				worker := fmt.Sprintf("r%dw%d", r, w)
				placements = append(placements, workers.Placement{
					Target: fmt.Sprintf("%st%d", worker, i), Worker: worker, Rack: fmt.Sprintf("r%d", r)})
			}
		}
	}
	t := workers.NewTable()
	t.SetPlacements(placements)
	return t
}

func TestAWorkerIsLostWhenHalfItsTargetsAreSilent(t *testing.T) {
	g := NewWithT(t)
	table := newTwoRackTable(3)
	table.RecordNoAnswer(startTime, "r0w0t0")
	g.Expect(table.Lost(startTime, "r0w0t2")).To(BeFalse())
	table.RecordNoAnswer(startTime, "r0w0t1")
	g.Expect(table.Lost(startTime, "r0w0t2")).To(BeTrue())
	g.Expect(table.Lost(startTime, "r0w1t0")).To(BeFalse())
	table.RecordContact(startTime.Add(time.Millisecond), "r0w0t2")
	g.Expect(table.Lost(startTime.Add(time.Second), "r0w0t2")).To(BeFalse())
	g.Expect(table.Lost(startTime.Add(time.Second), "r0w0t0")).To(BeTrue())
}

func TestARackIsLostWhenHalfItsWorkersAreSilent(t *testing.T) {
	g := NewWithT(t)
	table := newTwoRackTable(1)
	for w := range 3 {
		g.Expect(table.Lost(startTime, "r0w5t0")).To(BeFalse())
		table.RecordNoAnswer(startTime, fmt.Sprintf("r0w%dt0", w))
	}
	g.Expect(table.Lost(startTime, "r0w5t0")).To(BeTrue())
	g.Expect(table.Lost(startTime, "r1w5t0")).To(BeFalse())
	g.Expect(table.Lost(startTime.Add(6*time.Second), "r0w5t0")).To(BeFalse())
	for w := range 2 {
		table.RecordContact(startTime, fmt.Sprintf("r0w%dt0", w))
	}
	g.Expect(table.Lost(startTime, "r0w5t0")).To(BeFalse())
}

func TestUsageFadesWithItsAge(t *testing.T) {
	g := NewWithT(t)
	u := workers.NewUsages()
	g.Expect(u.Overloaded(startTime, "w")).To(BeFalse())
	u.Record(startTime, workers.Usage{Worker: "w", MeasuredAt: startTime, ProcessorUtilization: 0.2, MemoryUtilization: 1})
	g.Expect(u.Overloaded(startTime.Add(time.Second), "w")).To(BeTrue())
	g.Expect(u.Overloaded(startTime.Add(3*time.Second), "w")).To(BeFalse())
	u.Record(startTime, workers.Usage{Worker: "w", MeasuredAt: startTime.Add(-time.Second), ProcessorUtilization: 0})
	g.Expect(u.Overloaded(startTime.Add(time.Second), "w")).To(BeTrue())
	u.Record(startTime, workers.Usage{Worker: "w", MeasuredAt: startTime.Add(time.Second), ProcessorUtilization: 0.1})
	g.Expect(u.Overloaded(startTime.Add(time.Second), "w")).To(BeFalse())
}

func TestATaskRunsUntilItsStopIsConfirmedOrItsLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	s := workers.NewStops(2)
	end := startTime.Add(3 * time.Second)
	for _, id := range []uint64{1, 2} {
		g.Expect(s.Add(startTime, workers.Task{ID: id, LeaseEnd: end})).To(BeTrue())
	}
	g.Expect(s.Add(startTime, workers.Task{ID: 3, LeaseEnd: end})).To(BeFalse())
	g.Expect(s.Due(startTime)).To(HaveLen(2))
	g.Expect(s.Due(startTime.Add(100 * time.Millisecond))).To(BeEmpty())
	g.Expect(s.Due(startTime.Add(500 * time.Millisecond))).To(HaveLen(2))
	s.Remove(1)
	g.Expect(s.MayBeRunning(startTime, 1)).To(BeFalse())
	g.Expect(s.MayBeRunning(startTime, 2)).To(BeTrue())
	g.Expect(s.MayBeRunning(end, 2)).To(BeFalse())
	g.Expect(s.Due(end)).To(BeEmpty())
	g.Expect(s.Add(end, workers.Task{ID: 4, LeaseEnd: end.Add(time.Second)})).To(BeTrue())
}
