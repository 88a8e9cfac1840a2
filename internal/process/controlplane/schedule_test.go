package controlplane

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

var start = time.UnixMilli(1_700_000_000_000)

func bundleVersion(v uint64) acceptedBundle { return acceptedBundle{bundle: bundle.Bundle{Version: v}} }

// A bundle is accepted every second and is due three seconds later. Each must
// become active on time although newer bundles are added meanwhile.
func TestFrequentChangesDoNotDelayEarlierBundles(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	inForce := uint64(0)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		if a, ok := s.popDue(now); ok {
			g.Expect(a.bundle.Version).To(BeNumerically(">", inForce))
			inForce = a.bundle.Version
		}
		s.add(bundleVersion(uint64(second+1)), now.Add(3*time.Second))
		if second >= 3 {
			g.Expect(inForce).To(BeEquivalentTo(second - 2))
		}
	}
}

func TestNewestDueBundleIsReturnedAndOlderOnesAreDropped(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	s.add(bundleVersion(1), start.Add(3*time.Second))
	s.add(bundleVersion(2), start.Add(time.Second))
	s.add(bundleVersion(2), start)
	wait, ok := s.untilNext(start)
	g.Expect(wait).To(Equal(time.Second))
	g.Expect(ok).To(BeTrue())
	a, ok := s.popDue(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(a.bundle.Version).To(BeEquivalentTo(2))
	_, ok = s.untilNext(start)
	g.Expect(ok).To(BeFalse())
}

func TestScheduleIsBounded(t *testing.T) {
	g := NewWithT(t)
	var s schedule
	for v := range uint64(10 * maxScheduled) {
		s.add(bundleVersion(v+1), start.Add(time.Hour))
		s.popDue(start)
		g.Expect(len(s.items)).To(BeNumerically("<=", maxScheduled))
	}
}
