package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/holder"
)

// announceLife delivers an announcement of an incarnation of the target t, and returns the
// token of the session with it.
func announceLife(p *pool, incarnation uint64, now time.Time) uint64 {
	a := deskTargetAnnouncement(1, 8000, now)
	a.Target.Incarnation = incarnation
	p.node.announcements.record(a)
	p.handleAnnouncement(a, now)
	return p.sessions["t"].token
}

func TestASessionWithANewIncarnationFencesTheOrdersOfTheFormerOne(t *testing.T) {
	t.Parallel()
	for name, between := range map[string]func(p *pool, now time.Time){
		"at once":           func(*pool, time.Time) {},
		"after its removal": func(p *pool, now time.Time) { p.removeTarget("t", 0, now) },
		"after a refused handover": func(p *pool, now time.Time) {
			p.handingOver = true
			handedOverEvent{outcome: handoverRefused, done: make(chan struct{})}.apply(p, now)
		},
		"after a handover of unknown outcome": func(p *pool, now time.Time) {
			p.handingOver = true
			handedOverEvent{outcome: handoverUnknown, done: make(chan struct{})}.apply(p, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			first := announceLife(p, 1, now)
			between(p, now)
			g.Expect(announceLife(p, 2, now)).To(BeNumerically(">", first))
			g.Expect(p.publishedClaim.Load().GetFencingToken()).To(Equal(p.sessions["t"].token), "other hosts hear of a lower token")
			g.Expect(p.heldHere.Load()).To(BeTrue())
		})
	}
}

func TestATargetThatIsUnchangedOrKnownUnderALowerTokenRaisesNone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	first := announceLife(p, 1, now)
	p.removeTarget("t", 0, now)
	g.Expect(announceLife(p, 1, now)).To(Equal(first), "the same incarnation")
	p.holderView.RaiseOwnToken()
	raised := p.holderView.Claim().Token
	g.Expect(announceLife(p, 2, now)).To(Equal(raised), "a token that was raised for another target is high enough")
	p.removeTarget("t", 0, now)
	p.forgetClosedSessions(now.Add(2 * orderLifetime))
	g.Expect(p.closedSessions).To(BeEmpty())
}

func TestAHandoverAndAClaimExceedARaisedToken(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	announceLife(p, 1, now)
	raised := announceLife(p, 2, now)
	successor := newTestPool(t, "127.0.0.1:2")
	answer := make(chan receivedPool, 1)
	receivePoolEvent{message: p.stateMessage(now), answer: answer}.apply(successor, now.Add(-2*time.Second))
	g.Expect((<-answer).claim.GetFencingToken()).To(BeNumerically(">", raised))
	g.Expect(successor.sessions["t"].token).To(BeNumerically(">", raised))

	shard := newTestPool(t, "127.0.0.1:3").node
	shard.receiveHello(&fleetpb.Greeting{From: &fleetpb.Host{Address: "127.0.0.1:1", Domain: "north", Entry: true, Incarnation: 1}, Claims: []*fleetpb.Claim{p.publishedClaim.Load()}})
	g.Expect(shard.highestToken("north")).To(Equal(raised), "a new shard's targets obey their former pool")
}

// The former session's answers may come after its successor was opened.
func TestARefusalOfAFormerSessionDoesNotGiveThePoolUp(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.node.catalogs.startedAt = now.Add(-time.Hour)
	announceLife(p, 1, now)
	former := p.sessions["t"]
	announceLife(p, 2, now)
	sessionEvent{former, func(p *pool, now time.Time) { p.handleFenced(former, now) }}.apply(p, now)
	g.Expect(p.heldHere.Load()).To(BeTrue(), "the host was fenced by its own token")
	claimEvent{holder.Claim{Holder: "127.0.0.1:1", Token: former.token}}.apply(p, now)
	g.Expect(p.heldHere.Load()).To(BeTrue())
}
