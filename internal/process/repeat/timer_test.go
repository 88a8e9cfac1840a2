package repeat

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1000, 0)

func TestTheTimeoutFollowsTheAnswerTimes(t *testing.T) {
	g := NewWithT(t)
	var s Timer
	g.Expect(s.Timeout()).To(Equal(MaxTimeout), "before the first answer")
	observe := func(count int, took time.Duration) {
		for range count {
			s.Observe(took, epoch)
		}
	}
	observe(20, 3*time.Millisecond)
	g.Expect(s.Timeout()).To(Equal(MinTimeout))
	// One of twenty requests stays unanswered. The others still find a short timeout.
	s.ObserveUnanswered(s.Timeout(), epoch)
	observe(19, 3*time.Millisecond)
	g.Expect(s.Timeout()).To(Equal(MinTimeout))
	// All answers are slower than the timeout, as on a host without processor time.
	for s.Timeout() < 120*time.Millisecond {
		s.ObserveUnanswered(s.Timeout(), epoch)
	}
	observe(100, 100*time.Millisecond)
	g.Expect(s.Timeout()).To(BeNumerically(">=", 100*time.Millisecond))
	s.Observe(time.Minute, epoch)
	g.Expect(s.Timeout()).To(Equal(MaxTimeout))
}

// answerLoad plays requests to a pool of 48 targets, one of which answers none. An answer
// of the others takes 4 ms, or as long as the queue on the host's own link. It returns for
// how many requests a copy was sent: of the silent target, and of the others.
func answerLoad(s *Timer, requests int, queue func(i int) time.Duration) (silent, spurious int) {
	now := epoch
	for i := range requests {
		isSilent, took := i%48 == 0, 4*time.Millisecond+queue(i)
		c := NewCopies(s)
		c.Sent(now)
		timeout := c.Timeout()
		overdue := isSilent || took > timeout
		copied := overdue && timeout < MaxTimeout && c.Overdue()
		if copied {
			c.Sent(now.Add(timeout))
		}
		switch {
		case isSilent:
			for number := range c.Count() {
				c.Unanswered(number)
			}
		default:
			c.Answered(0, now.Add(took))
			if copied {
				c.Answered(1, now.Add(timeout+took))
			}
		}
		switch {
		case copied && isSilent:
			silent++
		case copied:
			spurious++
		}
	}
	return silent, spurious
}

func TestASlowLinkDoesNotMultiplyRequests(t *testing.T) {
	g := NewWithT(t)
	const requests = 4800
	var s Timer
	_, spurious := answerLoad(&s, requests, func(i int) time.Duration {
		if i%20 == 7 {
			return 200 * time.Millisecond
		}
		return 0
	})
	g.Expect(spurious).To(BeNumerically("<=", requests/100+5), "more than one in a hundred copies was needless")
}

func TestASilentTargetGetsCopiesEarlyWhileTheLinkIsFree(t *testing.T) {
	g := NewWithT(t)
	const requests = 4800
	var s Timer
	s.Observe(4*time.Millisecond, epoch)
	silent, spurious := answerLoad(&s, requests, func(int) time.Duration { return 0 })
	g.Expect(silent).To(Equal(requests / 48))
	g.Expect(spurious).To(BeZero())
}

// A target that answers nothing uses none of the budget: five requests there are sent again
// early, and so is each later one.
func TestARequestThatIsNeverAnsweredIsRefunded(t *testing.T) {
	g := NewWithT(t)
	var s Timer
	s.Observe(time.Millisecond, epoch)
	for range 20 {
		for range MaxSpurious {
			g.Expect(s.TryCharge()).To(BeTrue())
		}
		g.Expect(s.TryCharge()).To(BeFalse(), "more requests than the budget are open")
		for range MaxSpurious {
			s.Settle(false)
			s.ObserveUnanswered(MinTimeout, epoch)
		}
	}
}

// The copy of a lost request is answered in a few milliseconds. The loss must not stretch
// the timeout of the next requests, and its charge must not hold back their copies.
func TestALostRequestChangesNeitherTimeoutNorBudget(t *testing.T) {
	g := NewWithT(t)
	var s Timer
	now := epoch
	for i := range 1000 {
		c := NewCopies(&s)
		c.Sent(now)
		if i%5 == 1 {
			now = now.Add(c.Timeout())
			g.Expect(c.Overdue()).To(BeTrue(), "request %d", i)
			c.Answered(c.Sent(now), now.Add(3*time.Millisecond))
			g.Expect(c.Pending()).To(Equal(1), "the lost copy may still be carried out")
			c.Unanswered(0)
			g.Expect(c.Pending()).To(Equal(1))
		} else {
			c.Answered(0, now.Add(3*time.Millisecond))
		}
		now = now.Add(10 * time.Millisecond)
	}
	g.Expect(s.Timeout()).To(Equal(MinTimeout))
	g.Expect(s.Open()).To(BeZero())
}

// A target leaves all copies of a request unanswered while the others answer. The timeout
// grew to its maximum, so that no copy of a later request was sent in time.
func TestALostTargetDoesNotStretchTheTimeoutOfTheOthers(t *testing.T) {
	g := NewWithT(t)
	var s Timer
	now := epoch
	for range 100 {
		lost := NewCopies(&s)
		lost.Sent(now)
		now = now.Add(10 * time.Millisecond)
		other := NewCopies(&s)
		other.Answered(other.Sent(now), now.Add(3*time.Millisecond))
		lost.Unanswered(0)
	}
	g.Expect(s.Timeout()).To(Equal(MinTimeout))
}

func TestTheTimeoutDoublesWithEachCopy(t *testing.T) {
	g := NewWithT(t)
	var s Timer
	s.Observe(time.Millisecond, epoch)
	c := NewCopies(&s)
	now := epoch
	for _, want := range []time.Duration{20, 40, 80, 160, 250, 250} {
		c.Sent(now)
		g.Expect(c.Timeout()).To(Equal(want * time.Millisecond))
	}
}
