package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/evacuation"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

// evacuate starts or withdraws the evacuation of a domain through a host.
func (s *site) evacuate(ctx context.Context, name, domain string, start bool) error {
	_, err := s.nodes[name].ChangeUrgently(ctx, func(current []byte) ([]byte, error) {
		return catalog.ChangeEvacuations(current, func(set evacuation.Set) evacuation.Set {
			if start {
				return set.Start(domain, time.Now().UTC())
			}
			return set.Withdraw(domain)
		})
	})
	return err
}

// isEvacuated reads at a host whether a domain is evacuated.
func (s *site) isEvacuated(name, domain string) bool {
	s.t.Helper()
	content, confirmed, _, err := s.nodes[name].Read(s.t.Context())
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(confirmed).To(BeTrue())
	stored, err := catalog.DecodeStored(content)
	s.g.Expect(err).NotTo(HaveOccurred())
	_, ok := stored.Evacuations.Find(domain)
	return ok
}

// All hosts lose power right after the acknowledgement, and two of five disks are lost.
func TestAnAcknowledgedEvacuationSurvivesALossOfPowerAndOfTwoDisks(t *testing.T) {
	s := newSite(t, fastTiming, 5, 6)
	s.awaitConvergence()
	s.g.Expect(s.evacuate(t.Context(), "h5", "north", true)).To(Succeed())
	for _, name := range s.hosts {
		s.crash(name)
	}
	s.disks["h0"], s.disks["h3"] = storetest.NewFS(), storetest.NewFS()
	for _, name := range s.hosts {
		s.start(name)
	}
	s.g.Eventually(func() bool {
		_, confirmed, _, err := s.nodes["h1"].Read(t.Context())
		return err == nil && confirmed
	}, waitTimeout, "10ms").Should(BeTrue())
	s.g.Expect(s.isEvacuated("h1", "north")).To(BeTrue())
}

// An acknowledgement later than ack_ms fails the operator's day, also while a voter is
// frozen and others change the document.
func TestAFrozenVoterDoesNotDelayAnEvacuation(t *testing.T) {
	const ackMS = 5000
	s := newSite(t, controller.DefaultTiming(), 3, 3)
	s.awaitConvergence()
	s.bus.freeze("h0")
	changing, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; changing.Err() == nil; i++ {
			_, _ = s.nodes["h2"].Change(changing, func(current []byte) ([]byte, error) {
				return catalog.ReplaceIfNewer(current, catalog.Stored{Version: uint64(i + 1), Document: []byte("{}")})
			})
		}
	}()
	var longest time.Duration
	for i := range 20 {
		startedAt := time.Now()
		s.g.Expect(s.evacuate(t.Context(), "h1", "north", i%2 == 0)).To(Succeed())
		longest = max(longest, time.Since(startedAt))
	}
	stop()
	<-done
	t.Logf("longest time to an acknowledgement: %v", longest)
	s.g.Expect(longest).To(BeNumerically("<", ackMS*time.Millisecond))
}

// A host is suspended while it handles a start. The operator has sent it again elsewhere
// and then withdrawn it, when the host resumes: the timer of the request's context has
// not fired yet.
func TestAChangeWhoseCallerHasLeftIsNotCarriedOutLate(t *testing.T) {
	s := newSite(t, fastTiming, 3, 3)
	s.awaitConvergence()
	s.g.Expect(s.evacuate(t.Context(), "h1", "north", true)).To(Succeed())
	s.g.Expect(s.evacuate(t.Context(), "h1", "north", false)).To(Succeed())
	err := s.evacuate(lateContext{t.Context()}, "h0", "north", true)
	s.g.Expect(failure.KindOf(err)).To(Equal(failure.NoQuorum))
	s.g.Expect(s.isEvacuated("h2", "north")).To(BeFalse())
}

// lateContext has a deadline that has passed, but has not ended.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// Over random orders of requests at random hosts, partitions, restarts and losses of
// power of all hosts, the last acknowledged request for each domain is in force, or one
// that was sent later and left without an acknowledgement.
func TestTheLastAcknowledgedEvacuationRequestIsInForce(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { checkRandomEvacuations(t, seed) })
	}
}

func checkRandomEvacuations(t *testing.T, seed uint64) {
	s := newSite(t, fastTiming, 5, 6)
	s.awaitConvergence()
	random := rand.New(rand.NewPCG(seed, 1))
	domains := []string{"north", "south"}
	allowed := map[string][]bool{"north": {false}, "south": {false}} // whether it may be evacuated
	cut := ""
	for range 40 {
		domain := domains[random.IntN(len(domains))]
		switch random.IntN(10) {
		case 0:
			s.bus.setDisconnected(cut, false)
			cut = s.hosts[random.IntN(len(s.hosts))]
			s.bus.setDisconnected(cut, true)
		case 1:
			s.bus.setDisconnected(cut, false)
			cut = ""
		case 2:
			name := s.hosts[random.IntN(len(s.hosts))]
			s.crash(name)
			s.start(name)
		case 3:
			if random.IntN(3) == 0 {
				s.bus.setDisconnected(cut, false)
				cut = ""
				s.restartAll(fastTiming)
			}
		case 4:
			s.bus.loseReplies([]string{"Accept", "Prepare"}[random.IntN(2)], 1+random.IntN(4))
		default:
			name, start := s.hosts[random.IntN(len(s.hosts))], random.IntN(2) == 0
			limit := 5 * time.Second
			if name == cut {
				limit = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			err := s.evacuate(ctx, name, domain, start)
			cancel()
			if err == nil {
				allowed[domain] = nil
			}
			allowed[domain] = append(allowed[domain], start)
		}
		reader := s.hosts[random.IntN(len(s.hosts))]
		if reader == cut {
			continue
		}
		for _, d := range domains {
			if is := s.isEvacuated(reader, d); !slices.Contains(allowed[d], is) {
				t.Fatalf("%s is evacuated: %v, want one of %v", d, is, allowed[d])
			}
		}
	}
}
