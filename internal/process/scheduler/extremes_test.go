package scheduler

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// A place in the forecast takes memory: a target with a capacity without bound took all of it.
func TestTheForecastOfAHugeTargetIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	setCapacity(c, "t0", 1e10, at(0))
	g.Expect(len(c.slotFreeTimes("desk", at(0)))).To(BeNumerically("<=", maxTargetSlots+16))
	free, _ := c.Load(at(0))
	g.Expect(free).To(BeNumerically("<=", maxTargetSlots+16), "the load attracts the jobs of all other pools")
}

// Tasks that need accelerators only state no CPU, and the typical need became 0 or almost 0.
func TestTasksWithoutCPUDoNotLetTheForecastGrow(t *testing.T) {
	for _, needs := range [][]int64{{0}, {0, 1}, {1, 0, 0, 0}} {
		t.Run(fmt.Sprint(needs), func(t *testing.T) {
			g := NewWithT(t)
			c := newCore(2)
			for i, cpu := range needs {
				j := newDeskJob(fmt.Sprint(i), 1)
				j.Steps[0].Need.CPUMilli = cpu
				c.Submit(j, uint64(i), at(0))
			}
			free, _ := c.Load(at(0))
			g.Expect(free).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*maxTargetSlots)))
			g.Expect(c.typicalNeed.cpuMilli).To(BeNumerically(">=", minTypicalCPUMilli))
			g.Expect(len(c.slotFreeTimes("desk", at(0)))).To(BeNumerically("<=", 2*maxTargetSlots))
		})
	}
}
