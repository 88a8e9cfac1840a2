package fleet_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// removalClaims are ways in which a host learns that a target is gone which goes on.
var removalClaims = map[string]func(host *runningNode, target fleet.Announcement){
	"a deregistration of a former incarnation comes late": func(host *runningNode, target fleet.Announcement) {
		host.DeregisterTarget(target.Target.ID)
	},
	"another target answers at an address that it announced": func(host *runningNode, target fleet.Announcement) {
		target.Target.Address = "127.0.0.1:99"
		target.Sequence++
		host.Announce(target)
	},
}

// announcePair announces the second incarnations of two targets, each of which a job of four
// tasks fills.
func announcePair(host *runningNode) (first, second fleet.Announcement) {
	first = newAnnouncement(fleet.TargetRef{ID: "first", Address: "127.0.0.1:1"}, "north", 2)
	second = newAnnouncement(fleet.TargetRef{ID: "second", Address: "127.0.0.1:2"}, "north", 2)
	host.Announce(first)
	host.Announce(second)
	return first, second
}

// The host released the target's runs at once, and their tasks started on the other target.
func TestATargetThatIsOnlySaidToBeGoneHasItsTasksStartedNowhereElseWhileTheyRun(t *testing.T) {
	for name, claim := range removalClaims {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 600*time.Millisecond)
			host := f.start("a", "north")
			f.activateCatalog("a")
			f.targets.addresses = map[string][]string{"first": {"127.0.0.1:1"}, "second": {"127.0.0.1:2"}}
			first, second := announcePair(host)
			answer := make(chan scheduler.Answer, 1)
			go func() { answer <- f.submit(host, job("j", 4)) }()
			var gone fleet.Announcement
			f.g.Eventually(func() bool {
				f.targets.mu.Lock()
				defer f.targets.mu.Unlock()
				gone = first
				if len(f.targets.get("second").running) > 0 {
					gone = second
				}
				return len(f.targets.starts) == 4
			}, testTimeout, time.Millisecond).Should(BeTrue())
			claim(host, gone)
			a := <-answer
			f.g.Expect(a.Outcome).To(Equal(scheduler.Completed), a.Reason)
			f.targets.mu.Lock()
			defer f.targets.mu.Unlock()
			f.g.Expect(f.targets.overlapping).To(BeEmpty())
		})
	}
}

// The target was unused until its next incarnation, though it went on announcing itself.
func TestATargetThatAnnouncesItselfAfterALateDeregistrationIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 10*time.Millisecond)
	host := f.start("a", "north")
	f.activateCatalog("a")
	ref := fleet.TargetRef{ID: "only", Address: "127.0.0.1:1"}
	host.Announce(newAnnouncement(ref, "north", 2))
	f.g.Expect(f.submit(host, job("before", 1)).Outcome).To(Equal(scheduler.Completed))
	host.DeregisterTarget(ref.ID)
	again := newAnnouncement(ref, "north", 2)
	again.Sequence += 10
	host.Announce(again)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.g.Eventually(func() scheduler.Outcome { return host.Submit(ctx, job("after", 1)).Outcome }, testTimeout, 20*time.Millisecond).Should(Equal(scheduler.Completed))
}
