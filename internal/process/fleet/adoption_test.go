package fleet_test

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// The adopter, of another domain, knew the target as ready; a host with a disk knows better.
func TestAnAdoptedPoolStartsTasksOnATargetThatIsDraining(t *testing.T) {
	for name, beforeTheLoss := range map[string]bool{"said before the loss": true, "said after the loss": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 30*time.Millisecond)
			f.cpuMilli = map[string]int{"disk": 500, "home": 500, "adopter": 8000} // the adopter is the first candidate
			disk, home := f.start("disk", "north"), f.start("home", "south")
			f.activateCatalog("home")
			f.announce(disk, "south", 2)
			adopter := f.start("adopter", "east")
			f.g.Eventually(func() bool { return adopter.MayUse("south-0") }, testTimeout, "10ms").Should(BeTrue())

			drain := func() {
				a := newAnnouncement(fleet.TargetRef{ID: "south-0", Address: "127.0.0.1:1"}, "south", 1)
				a.Target.Draining = true
				a.Sequence++
				disk.Announce(a)
			}
			if beforeTheLoss {
				drain()
				f.g.Eventually(func() bool { return home.MayUse("south-0") }, testTimeout, "10ms").Should(BeFalse())
			}
			home.stop()
			if !beforeTheLoss {
				drain()
			}
			var late atomic.Int64
			f.targets.mu.Lock()
			f.targets.onStart = func(target string) {
				if target == "south-0" {
					late.Add(1)
				}
			}
			f.targets.mu.Unlock()
			f.g.Eventually(func() bool { return adopter.Holds("south") }, testTimeout, "10ms").Should(BeTrue())
			f.g.Eventually(func() scheduler.Outcome { return adopter.SubmitToPool(t.Context(), "south", job("j", 8)).Outcome }, testTimeout, "10ms").Should(Equal(scheduler.Completed))
			f.g.Expect(late.Load()).To(BeZero())
		})
	}
}
