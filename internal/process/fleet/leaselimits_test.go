package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/liveconn"
)

func TestACallerIsTakenToWaitLongerThanIsKnown(t *testing.T) {
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	heardAgo := func(d time.Duration) *connHeard {
		h := &connHeard{}
		h.record(now.Add(-d))
		return h
	}
	p.callersSeenAt = now.Add(-20 * time.Millisecond)
	gone := make(chan struct{})
	close(gone)
	g.Expect(p.lastAwaited(waiter{gone: gone}, now)).To(BeZero(), "its departure waits in the ring")
	g.Expect(p.lastAwaited(waiter{gone: gone, heard: heardAgo(0)}, now)).To(BeZero())
	pause := gap{now.Add(-700 * time.Millisecond), now.Add(-50 * time.Millisecond)}
	for name, c := range map[string]struct {
		w     waiter
		pause gap
		want  time.Duration // ago
	}{
		"a caller of this host":                       {waiter{}, gap{}, 20 * time.Millisecond},
		"one whose deadline is over":                  {waiter{deadline: now.Add(-time.Second)}, gap{}, time.Second},
		"another host":                                {waiter{heard: heardAgo(300 * time.Millisecond)}, gap{}, 300 * time.Millisecond},
		"another host, the deadline is over":          {waiter{heard: heardAgo(0), deadline: now.Add(-time.Second)}, gap{}, time.Second},
		"another host, read right after a pause":      {waiter{heard: heardAgo(20 * time.Millisecond)}, pause, 700 * time.Millisecond},
		"another host, heard from before the pause":   {waiter{heard: heardAgo(800 * time.Millisecond)}, pause, 800 * time.Millisecond},
		"another host, heard from long after a pause": {waiter{heard: heardAgo(20 * time.Millisecond)}, gap{pause.from.Add(-time.Second), pause.to.Add(-time.Second)}, 20 * time.Millisecond},
	} {
		p.resumption.pause = c.pause
		g.Expect(p.lastAwaited(c.w, now)).To(BeTemporally("~", now.Add(-c.want), time.Millisecond), name)
	}
}

// A pause of the host, or of the pool's goroutine, lets the limits stand.
func TestALeaseEndsAfterTheTimeUntilWhichItsRunsMayGoOn(t *testing.T) {
	for _, lag := range []int64{0, 1} { // a slow clock loses one part in maxClockLag
		g := NewWithT(t)
		p := newTestPool(t, "127.0.0.1:1")
		now := p.node.now()
		s := newSession(p, Announcement{ClockMS: 500_000, ReceivedAt: now})
		_, ok := s.renewLease(now)
		g.Expect(ok).To(BeFalse(), "nothing is known of its runs")
		limit := now.Add(700 * time.Millisecond)
		s.setLeaseLimit(limit)
		for _, ms := range []int{0, 200, 690} {
			l, ok := s.renewLease(now.Add(time.Duration(ms) * time.Millisecond))
			g.Expect(ok).To(BeTrue())
			// The clock of the target at the limit.
			g.Expect(l.untilMS).To(BeNumerically("<=", 500_000+700-lag*700/maxClockLag))
			g.Expect(l.untilMS).To(BeNumerically(">=", 500_000+700-700/maxClockLag-1))
		}
		_, ok = s.renewLease(limit)
		g.Expect(ok).To(BeFalse())
		g.Expect(s.extendLease(limit.Add(time.Second)).untilMS).To(BeNumerically("<=", 501_700), "a start would come too late")
	}
}

// The expiry of a lease counts from the request that extended it.
func TestARenewalWithTheSameLeaseDelaysItsExpiry(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	now := p.node.now()
	s := newSession(p, Announcement{ReceivedAt: now})
	s.setLeaseLimit(now.Add(300 * time.Millisecond))
	first, _ := s.renewLease(now)
	again, _ := s.renewLease(now.Add(100 * time.Millisecond))
	g.Expect(again.untilMS).To(BeNumerically("~", first.untilMS, 1), "the target may not have received the first")
	g.Expect(s.lastLease()).To(Equal(first.sentAt))
	s.retractLease(again)
	g.Expect(s.lastLease()).To(Equal(first.sentAt), "the first was sent")
	s.retractLease(first)
	g.Expect(s.lastLease()).To(Equal(first.previous))
	g.Expect(s.leaseEnd).To(Equal(first.previousEnd))
}

func TestTheLimitOfALeaseIsLiftedAfterItHasEnded(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, "127.0.0.1:1")
	now := p.node.now()
	s := newSession(p, Announcement{ReceivedAt: now})
	s.renewals.call = liveconn.NewCall()
	s.setLeaseLimit(now.Add(time.Minute))
	s.extendLease(now)
	g.Expect(s.renewWait()).To(Equal(renewMaxWait))
	s.setLeaseLimit(now.Add(300 * time.Millisecond))
	s.mu.Lock()
	s.leaseEnd = now.Add(300 * time.Millisecond)
	s.mu.Unlock()
	g.Expect(s.renewWait()).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
}
