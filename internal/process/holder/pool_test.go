package holder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const (
	settle = 500 * time.Millisecond
	alone  = 2 * time.Second
)

var begun = time.UnixMilli(1_000_000)

// newPool returns a pool of a host that hears others.
func newPool(self string) *holder.Pool {
	p := holder.NewPool(self, settle, alone, begun)
	p.Contact(begun)
	return p
}

func everyone(string) bool { return true }
func nobody(string) bool   { return false }

func TestTheFirstCandidateClaimsAfterListening(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	g.Expect(p.Decide(nobody, []string{"a", "b"}, begun)).To(Equal(holder.Unchanged))
	g.Expect(p.Decide(nobody, []string{"b", "a"}, begun.Add(settle))).To(Equal(holder.Unchanged), "b comes first")
	g.Expect(p.Decide(nobody, []string{"a", "b"}, begun.Add(settle))).To(Equal(holder.Taken))
	g.Expect(p.Held()).To(BeTrue())
	g.Expect(p.Claim().Token).To(BeNumerically(">=", begun.UnixMilli()))
}

// After a loss of power all hosts start at once and none hears another: if each
// claimed, jobs would begin at several holders.
func TestAHostThatHearsNobodyWaitsForOthers(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewPool("a", settle, alone, begun)
	g.Expect(p.Decide(nobody, []string{"a"}, begun.Add(settle))).To(Equal(holder.Unchanged))
	p.Contact(begun.Add(settle))
	g.Expect(p.Decide(nobody, []string{"a"}, begun.Add(settle+settle/2))).To(Equal(holder.Unchanged))
	g.Expect(p.Decide(nobody, []string{"a"}, begun.Add(2*settle))).To(Equal(holder.Taken))
	p = holder.NewPool("a", settle, alone, begun)
	g.Expect(p.Decide(nobody, []string{"a"}, begun.Add(alone))).To(Equal(holder.Taken))
}

func TestALivingHolderIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	p.Hear(holder.Claim{Holder: "b", Token: 5})
	late := begun.Add(time.Hour)
	g.Expect(p.Decide(everyone, []string{"a"}, late)).To(Equal(holder.Unchanged))
	g.Expect(p.Decide(nobody, []string{"a"}, late)).To(Equal(holder.Unchanged), "the holder was alive just now")
	g.Expect(p.Decide(nobody, []string{"a"}, late.Add(settle))).To(Equal(holder.Taken))
	g.Expect(p.Claim().Token).To(BeNumerically(">", 5))
}

func TestAHolderYieldsToAHigherToken(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewPool("a", 0, 0, begun)
	p.Decide(nobody, []string{"a"}, begun)
	own := p.Claim().Token
	g.Expect(p.Hear(holder.Claim{Holder: "b", Token: own - 1})).To(Equal(holder.Unchanged))
	g.Expect(p.Hear(holder.Claim{Holder: "b", Token: own + 1})).To(Equal(holder.Yielded))
	g.Expect(p.Held()).To(BeFalse())
}

func TestAReceivedPoolHasAHigherTokenThoughTheClockIsBehind(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	ahead := uint64(begun.UnixMilli()) + 60_000
	p.Receive(ahead, begun)
	g.Expect(p.Claim()).To(Equal(holder.Claim{Holder: "a", Token: ahead + 1}))
}

func TestARaisedTokenPassesAClockThatWasAhead(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewPool("a", 0, 0, begun)
	p.Decide(nobody, []string{"a"}, begun)
	before := p.Claim().Token
	p.Raise(begun)
	g.Expect(p.Claim().Token).To(BeNumerically(">", before+5000))
}

// A former holder that was cut off and finds itself fenced must let the holder
// be heard before it claims again, or both would raise their tokens in turn.
func TestAFencedHolderListensFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	p.Receive(1, begun)
	before := p.Claim().Token
	later := begun.Add(time.Minute)
	p.Fence(later)
	g.Expect(p.Held()).To(BeFalse())
	g.Expect(p.Decide(nobody, []string{"a"}, later.Add(settle/2))).To(Equal(holder.Unchanged))
	other := holder.Claim{Holder: "b", Token: before + 5}
	p.Hear(other)
	g.Expect(p.Decide(everyone, []string{"a"}, begun.Add(time.Hour))).To(Equal(holder.Unchanged))
	g.Expect(p.Claim()).To(Equal(other))
	p.Release(begun.Add(settle))
	g.Expect(p.Decide(nobody, []string{"a"}, begun.Add(settle))).To(Equal(holder.Taken))
	g.Expect(p.Claim().Token).To(BeNumerically(">", before+5000))
}

// Hosts that hear each other's claims, in any order and with any losses, agree
// on one holder once all claims are heard, and no token is used by two hosts.
func TestHostsAgreeOnOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		pools := map[string]*holder.Pool{}
		for _, n := range names {
			pools[n] = holder.NewPool(n, 0, 0, begun)
		}
		users := map[uint64]string{}
		now := begun
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.SampledFrom(names).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if pools[n].Decide(nobody, []string{n}, now) == holder.Taken {
					users[pools[n].Claim().Token] += n
				}
			case 1:
				pools[n].Hear(pools[rapid.SampledFrom(names).Draw(t, "other")].Claim())
			case 2:
				if pools[n].Held() {
					pools[n].Raise(now)
				}
			case 3:
				pools[n].Release(now)
			}
		}
		for range names {
			for _, n := range names {
				for _, o := range names {
					pools[n].Hear(pools[o].Claim())
				}
			}
		}
		held := 0
		for _, n := range names {
			if pools[n].Held() {
				held++
			}
		}
		if held > 1 {
			t.Fatalf("%d hosts hold the pool", held)
		}
	})
}
