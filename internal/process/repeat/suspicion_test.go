package repeat

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestOneUnansweredRequestIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	var s Suspicion
	s.RecordAnswered(0)
	s.RecordUnanswered()
	g.Expect(s.Suspected()).To(BeFalse())
	s.RecordUnanswered()
	g.Expect(s.Suspected()).To(BeTrue(), "a target that has answered everything and then nothing")
}

// lossLoad plays attempts of which a share is lost, spread by a fixed generator, and
// returns how often a target was suspected that still answers.
func lossLoad(s *Suspicion, attempts int, share float64) (falseAlarms int) {
	state := uint32(1)
	for range attempts {
		state = state*1664525 + 1013904223
		if float64(state>>8)/(1<<24) >= share {
			s.RecordAnswered(s.streak)
			continue
		}
		wasSuspected := s.Suspected()
		s.RecordUnanswered()
		if s.Suspected() && !wasSuspected {
			falseAlarms++
		}
	}
	return falseAlarms
}

// A target leaves a fixed share of its requests unanswered. It serves the others, so it
// must not be excluded for longer than the first losses take to be learned.
func TestATargetThatLosesAShareOfItsRequestsIsNotSuspected(t *testing.T) {
	for _, share := range []float64{0.02, 0.05, 0.1, 0.2, 0.4} {
		g := NewWithT(t)
		const attempts = 10_000
		var s Suspicion
		lossLoad(&s, 200, share)
		g.Expect(lossLoad(&s, attempts, share)).To(BeNumerically("<=", attempts/200), "losing %.2f", share)
	}
}

// A target that has lost many requests and then falls silent is suspected after a bounded
// number of attempts, and after its losses end it is judged as before.
func TestSilenceIsNoticedAfterLossesOfAnyShare(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.4, 0.9} {
		g := NewWithT(t)
		var s Suspicion
		lossLoad(&s, 1000, share)
		s.RecordAnswered(0)
		for range maxStreak {
			s.RecordUnanswered()
		}
		g.Expect(s.Suspected()).To(BeTrue(), "after losing %.2f", share)
		for range 100 {
			s.RecordAnswered(0)
		}
		g.Expect(s.LosesRequests()).To(BeFalse())
		s.RecordUnanswered()
		s.RecordUnanswered()
		g.Expect(s.Suspected()).To(BeTrue())
	}
}

// A link that is nearly full delays one answer in five. Renewals that overlap and short
// waits would fill it.
func TestLateAnswersAreNoLosses(t *testing.T) {
	g := NewWithT(t)
	var s Suspicion
	for i := range 1000 {
		if i%5 == 0 {
			s.RecordUnanswered()
		}
		s.RecordAnswered(0)
	}
	g.Expect(s.LosesRequests()).To(BeFalse())
	s.RecordUnanswered()
	s.RecordUnanswered()
	g.Expect(s.Suspected()).To(BeFalse(), "two late answers in a row are common there")
}
