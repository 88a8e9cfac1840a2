package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/connection/intake"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// client is the other side of an account.
type client struct {
	*intake.Account
	phase intake.Phase
	ended []intake.Ending
	cut   bool // gave way although its request had arrived
}

func admit(l *intake.Limiter, now time.Time) *client {
	c := &client{}
	giveWay := func(how intake.Ending) {
		c.ended = append(c.ended, how)
		c.cut = c.cut || c.phase == intake.Working
		c.phase = intake.Discarding
	}
	if c.Account = l.Admit(now, giveWay); c.Account == nil {
		return nil
	}
	return c
}

// receives records that n bytes of a body arrive, and holds them.
func (c *client) receives(n int, now time.Time) bool {
	c.Progress(n, now)
	return c.Hold(int64(n), now)
}

const roomy = 100 << 20 // more memory than a test uses

func TestAStalledConnectionGivesWayToANewOne(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: roomy, Connections: 2})
	stalled, busy := admit(l, at(0)), admit(l, at(0))
	for _, c := range []*client{stalled, busy} {
		c.Enter(intake.Body, at(0))
		g.Expect(c.receives(100<<10, at(time.Second))).To(BeTrue())
	}
	g.Expect(busy.receives(100<<10, at(10*time.Second))).To(BeTrue())
	g.Expect(admit(l, at(10*time.Second))).NotTo(BeNil())
	g.Expect(stalled.ended).To(Equal([]intake.Ending{intake.Close}))
	g.Expect(busy.ended).To(BeEmpty())
}

func TestALargeStalledBodyIsRefusedForASmallOne(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: 4 << 20, Connections: 100})
	large := admit(l, at(0))
	large.Enter(intake.Body, at(0))
	g.Expect(large.receives(2<<20, at(time.Second))).To(BeTrue())
	small := admit(l, at(2*time.Second))
	small.Enter(intake.Body, at(2*time.Second))
	for range 2 {
		g.Expect(small.Hold(1<<20, at(3*time.Second))).To(BeTrue())
	}
	g.Expect(large.ended).To(Equal([]intake.Ending{intake.Refuse}))
	g.Expect(large.Enter(intake.Working, at(3*time.Second))).To(BeFalse(), "a refused request must not run")
	g.Expect(large.Enter(intake.Waiting, at(4*time.Second))).To(BeTrue())
	g.Expect(l.Stats().Refused).To(Equal(int64(1)))
}

func TestARequestThatHasArrivedNeverGivesWay(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: roomy, Connections: 2})
	for range 2 {
		c := admit(l, at(0))
		c.Enter(intake.Working, at(0))
	}
	g.Expect(admit(l, at(time.Hour))).To(BeNil())
	g.Expect(l.Stats()).To(Equal(intake.Stats{Connections: 2, Bytes: l.Stats().Bytes, NotAccepted: 1}))
}

func TestNobodyGivesWayForARequestThatFindsNoRoom(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: 4 << 20, Connections: 100})
	idle, large := admit(l, at(0)), admit(l, at(0))
	large.Enter(intake.Body, at(0))
	g.Expect(large.Hold(4<<20, at(time.Hour))).To(BeFalse())
	g.Expect(idle.ended).To(BeEmpty())
}

func TestAnAnsweredRequestGivesWayFirst(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: roomy, Connections: 2})
	answered, stalled := admit(l, at(0)), admit(l, at(0))
	stalled.Enter(intake.Body, at(0))
	answered.Enter(intake.Discarding, at(time.Hour))
	g.Expect(admit(l, at(time.Hour))).NotTo(BeNil())
	g.Expect(answered.ended).To(HaveLen(1))
}

func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: 4 << 20, Connections: 100})
	first, second := admit(l, at(0)), admit(l, at(0))
	for _, c := range []*client{first, second} {
		c.Enter(intake.Working, at(0))
	}
	g.Expect(first.Hold(2900<<10, at(0))).To(BeTrue())
	g.Expect(second.Hold(1<<20, at(0))).To(BeFalse())
	for range 20 {
		small := admit(l, at(0))
		g.Expect(small).NotTo(BeNil())
		small.Enter(intake.Working, at(0))
		g.Expect(small.Hold(4<<10, at(0))).To(BeTrue())
	}
}

func TestAByteNowAndThenIsNoProgress(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: roomy, Connections: 2})
	dripping, busy := admit(l, at(0)), admit(l, at(0))
	for _, c := range []*client{dripping, busy} {
		c.Enter(intake.Body, at(0))
	}
	for i := range 100 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		busy.receives(10<<10, now)
		dripping.receives(1, now.Add(time.Millisecond))
	}
	g.Expect(admit(l, at(10*time.Second))).NotTo(BeNil())
	g.Expect(dripping.ended).To(HaveLen(1))
	g.Expect(busy.ended).To(BeEmpty())
}

// Each client of the crowd takes all the memory that it can, while the body of an
// ordinary caller is under way.
func TestACrowdThatReturnsLocksNobodyOut(t *testing.T) {
	g := NewWithT(t)
	l := intake.NewLimiter(intake.Limits{Bytes: 8 << 20, Connections: 50})
	for i := range 200 {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		caller := admit(l, now)
		g.Expect(caller).NotTo(BeNil())
		g.Expect(caller.Enter(intake.Body, now)).To(BeTrue())
		now = now.Add(10 * time.Millisecond)
		for range 3 {
			if c := admit(l, now); c != nil {
				c.Enter(intake.Body, now)
				for range 16 {
					c.receives(64<<10, now)
				}
			}
		}
		g.Expect(caller.receives(20<<10, now)).To(BeTrue())
		g.Expect(caller.Enter(intake.Working, now)).To(BeTrue())
		caller.End()
	}
}

func TestUseStaysWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := intake.Limits{Bytes: rapid.Int64Range(100<<10, 4<<20).Draw(t, "bytes"), Connections: rapid.IntRange(1, 20).Draw(t, "connections")}
		l := intake.NewLimiter(limits)
		now := start
		var open []*client
		// withAny calls f with one of the open connections, if there are any.
		withAny := func(t *rapid.T, f func(c *client)) {
			if len(open) > 0 {
				f(rapid.SampledFrom(open).Draw(t, "connection"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				if c := admit(l, now); c != nil {
					open = append(open, c)
				}
			},
			"enter": func(t *rapid.T) {
				withAny(t, func(c *client) {
					c.phase = intake.Phase(rapid.IntRange(int(intake.Waiting), int(intake.Discarding)).Draw(t, "phase"))
					c.Enter(c.phase, now)
				})
			},
			"receive": func(t *rapid.T) {
				withAny(t, func(c *client) { c.receives(rapid.IntRange(0, 1<<20).Draw(t, "n"), now) })
			},
			"release": func(t *rapid.T) {
				withAny(t, func(c *client) { c.Hold(-rapid.Int64Range(0, 1<<20).Draw(t, "n"), now) })
			},
			"end": func(t *rapid.T) { withAny(t, func(c *client) { c.End() }) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				stats := l.Stats()
				if stats.Bytes < 0 || stats.Bytes > limits.Bytes || stats.Connections > limits.Connections {
					t.Fatalf("%+v exceeds %+v", stats, limits)
				}
				for _, c := range open {
					if c.cut {
						t.Fatal("a request that had arrived gave way")
					}
				}
			},
		})
		for _, c := range open {
			c.End()
		}
		if stats := l.Stats(); stats.Bytes != 0 || stats.Connections != 0 {
			t.Fatalf("%+v is left", stats)
		}
	})
}
