package controlplane

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

var start = time.UnixMilli(1_700_000_000_000)

func version(v uint64) accepted { return accepted{bundle: bundle.Bundle{Version: v}} }

// TestQuickChangesDoNotPutOneAnotherOff accepts a bundle every second with a
// turn three seconds later.
func TestQuickChangesDoNotPutOneAnotherOff(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	inForce := uint64(0)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		if a, ok := s.take(now); ok {
			g.Expect(a.bundle.Version).To(BeNumerically(">", inForce))
			inForce = a.bundle.Version
		}
		s.add(version(uint64(second+1)), now.Add(3*time.Second))
		if second >= 3 {
			g.Expect(inForce).To(BeEquivalentTo(second - 2))
		}
	}
}

func TestNewestDueBundleIsTakenAndOlderOnesAreDropped(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	s.add(version(1), start.Add(3*time.Second))
	s.add(version(2), start.Add(time.Second))
	s.add(version(2), start)
	wait, ok := s.wait(start)
	g.Expect(wait).To(Equal(time.Second))
	g.Expect(ok).To(BeTrue())
	a, ok := s.take(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(a.bundle.Version).To(BeEquivalentTo(2))
	_, ok = s.wait(start)
	g.Expect(ok).To(BeFalse())
}

func TestScheduleIsBounded(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	for v := range uint64(10 * maxScheduled) {
		s.add(version(v+1), start.Add(time.Hour))
		s.take(start)
		g.Expect(len(s.items)).To(BeNumerically("<=", maxScheduled))
	}
}
