package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// setCapacity announces a capacity of a target in thousandths of a core.
func setCapacity(c *Core, id string, cpuMilli int64, now time.Time) []Effect {
	t := c.targets[id].Target
	t.Capacity.CPUMilli = cpuMilli
	return c.UpdateTarget(t, false, now)
}

func TestATargetWhoseCapacityShrankHidesNoRoomOfOthers(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	for i := range 100 {
		c.typicalNeed.observe(Resources{CPUMilli: 8000}, i)
	}
	first := starts(c.Submit(newDeskJob("j", 2), 1, at(0)))
	g.Expect(first).To(HaveLen(2))
	g.Expect(first[1].Target).To(Equal(first[0].Target))
	setCapacity(c, first[0].Target, 2000, at(10))
	free, _ := c.Load(at(10))
	g.Expect(free).To(Equal(2), "the other target is idle and has room for two tasks")
}

func TestRunsOnAShrunkTargetFreeNoRoomInTheForecast(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	for i := range 100 {
		c.typicalNeed.observe(Resources{CPUMilli: 8000}, i)
	}
	c.Submit(newDeskJob("running", 2), 1, at(0))
	setCapacity(c, "t0", 8000, at(10))
	g.Expect(c.slotFreeTimes("desk", at(10))).To(HaveLen(1), "two runs end on a target that has room for one task")
	setCapacity(c, "t0", 0, at(10))
	g.Expect(c.slotFreeTimes("desk", at(10))).To(BeEmpty())
}

func TestAShrunkTargetGetsWorkAgainOnceItHasGrown(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	setCapacity(c, "t0", 8000, at(0))
	g.Expect(starts(c.Submit(newDeskJob("j", 2), 1, at(0)))).To(HaveLen(1))
	g.Expect(starts(setCapacity(c, "t0", 16000, at(10)))).To(HaveLen(1))
}

// A target whose capacity has shrunk refuses starts until its next announcement, up to
// 1.5 s later, reports it.
func TestAShrunkTargetIsNotAskedAgainAndAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	const beat = 1500
	asked := 0
	refuse := func(effects []Effect, now int) {
		for _, s := range starts(effects) {
			asked++
			c.HandleStartResult(s.Target, s.Run, NoRoom, at(now))
		}
	}
	refuse(c.Submit(newPatientJob("j"), 1, at(0)), 0)
	for now := 0; now < beat; now += 10 {
		refuse(c.Tick(at(now)), now)
	}
	g.Expect(asked).To(BeNumerically("<=", beat/200), "more than five starts a second at a target without room")
	g.Expect(starts(setCapacity(c, "t0", 15000, at(beat)))).To(BeEmpty())
	g.Expect(starts(c.Tick(at(beat + int(maxNoRoomPause.Milliseconds()))))).To(HaveLen(1))
}

func TestNoStartExceedsACapacityThatShrinksAndGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCore(3)
		now, jobs := 0, 0
		occupied := map[string]map[Run]int64{"t0": {}, "t1": {}, "t2": {}} // CPU of runs that have not ended, by target
		apply := func(effects []Effect) {
			for _, s := range starts(effects) {
				need := c.jobs[s.Run.Job].Steps[s.Run.Step].Need.CPUMilli
				occupied[s.Target][s.Run] = need
				var sum int64
				for _, each := range occupied[s.Target] {
					sum += each
				}
				if capacity := c.targets[s.Target].Capacity.CPUMilli; sum > capacity {
					rt.Fatalf("a start brings %s to %d of %d millicores", s.Target, sum, capacity)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += rapid.IntRange(1, 300).Draw(rt, "pause")
			id := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(rt, "target"))
			switch rapid.SampledFrom([]string{"submit", "submit", "capacity", "end", "withdraw", "tick"}).Draw(rt, "event") {
			case "submit":
				jobs++
				j := newPatientJob(fmt.Sprint("j", jobs))
				j.ArrivedAt = at(now)
				j.Steps[0].Count = rapid.IntRange(1, 4).Draw(rt, "tasks")
				j.Steps[0].Need.CPUMilli = rapid.Int64Range(500, 8000).Draw(rt, "need")
				apply(c.Submit(j, uint64(jobs), at(now)))
			case "capacity":
				apply(setCapacity(c, id, rapid.Int64Range(0, 16000).Draw(rt, "capacity"), at(now)))
			case "end":
				for _, r := range c.targets[id].sortedRuns() {
					delete(occupied[id], r.id)
					if r.state == stopping {
						apply(c.HandleRunStopped(id, r.id, at(now)))
					} else {
						apply(c.HandleRunEnded(id, r.id, EndDone, at(now)))
					}
					break
				}
			case "withdraw":
				apply(c.Withdraw(fmt.Sprint("j", jobs), uint64(jobs), at(now)))
			case "tick":
				apply(c.Tick(at(now)))
			}
		}
	})
}
