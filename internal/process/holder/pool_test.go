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
func newPool(self string) *holder.View {
	p := holder.NewView(self, settle, alone, begun)
	p.RecordContact(begun)
	return p
}

func everyone(string) bool { return true }
func nobody(string) bool   { return false }

func TestTheFirstCandidateClaimsAfterListening(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	g.Expect(p.TryClaim(nobody, []string{"a", "b"}, begun)).To(Equal(holder.Unchanged))
	g.Expect(p.TryClaim(nobody, []string{"b", "a"}, begun.Add(settle))).To(Equal(holder.Unchanged), "b comes first")
	g.Expect(p.TryClaim(nobody, []string{"a", "b"}, begun.Add(settle))).To(Equal(holder.Acquired))
	g.Expect(p.HeldHere()).To(BeTrue())
	g.Expect(p.Claim().Token).To(BeNumerically(">=", begun.UnixMilli()))
}

// After a loss of power all hosts start at once and none hears another: if each
// claimed, jobs would begin at several holders.
func TestAHostThatHearsNobodyWaitsForOthers(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewView("a", settle, alone, begun)
	g.Expect(p.TryClaim(nobody, []string{"a"}, begun.Add(settle))).To(Equal(holder.Unchanged))
	p.RecordContact(begun.Add(settle))
	g.Expect(p.TryClaim(nobody, []string{"a"}, begun.Add(settle+settle/2))).To(Equal(holder.Unchanged))
	g.Expect(p.TryClaim(nobody, []string{"a"}, begun.Add(2*settle))).To(Equal(holder.Acquired))
	p = holder.NewView("a", settle, alone, begun)
	g.Expect(p.TryClaim(nobody, []string{"a"}, begun.Add(alone))).To(Equal(holder.Acquired))
}

func TestALivingHolderIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	p.RecordClaim(holder.Claim{Holder: "b", Token: 5})
	late := begun.Add(time.Hour)
	g.Expect(p.TryClaim(everyone, []string{"a"}, late)).To(Equal(holder.Unchanged))
	g.Expect(p.TryClaim(nobody, []string{"a"}, late)).To(Equal(holder.Unchanged), "the holder was alive just now")
	g.Expect(p.TryClaim(nobody, []string{"a"}, late.Add(settle))).To(Equal(holder.Acquired))
	g.Expect(p.Claim().Token).To(BeNumerically(">", 5))
}

func TestAHolderYieldsToAHigherToken(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewView("a", 0, 0, begun)
	p.TryClaim(nobody, []string{"a"}, begun)
	own := p.Claim().Token
	g.Expect(p.RecordClaim(holder.Claim{Holder: "b", Token: own - 1})).To(Equal(holder.Unchanged))
	g.Expect(p.RecordClaim(holder.Claim{Holder: "b", Token: own + 1})).To(Equal(holder.Yielded))
	g.Expect(p.HeldHere()).To(BeFalse())
}

func TestAReceivedPoolHasAHigherTokenThoughTheClockIsBehind(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	ahead := uint64(begun.UnixMilli()) + 60_000
	p.AcceptHandover(ahead, begun)
	g.Expect(p.Claim()).To(Equal(holder.Claim{Holder: "a", Token: ahead + 1}))
}

func TestARaisedTokenPassesAClockThatWasAhead(t *testing.T) {
	g := NewWithT(t)
	p := holder.NewView("a", 0, 0, begun)
	p.TryClaim(nobody, []string{"a"}, begun)
	before := p.Claim().Token
	p.RaiseToken(begun)
	g.Expect(p.Claim().Token).To(BeNumerically(">", before+5000))
}

// A former holder that was cut off and finds itself fenced must let the holder
// be heard before it claims again, or both would raise their tokens in turn.
func TestAFencedHolderListensFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a")
	p.AcceptHandover(1, begun)
	before := p.Claim().Token
	later := begun.Add(time.Minute)
	p.RecordFenced(later)
	g.Expect(p.HeldHere()).To(BeFalse())
	g.Expect(p.TryClaim(nobody, []string{"a"}, later.Add(settle/2))).To(Equal(holder.Unchanged))
	other := holder.Claim{Holder: "b", Token: before + 5}
	p.RecordClaim(other)
	g.Expect(p.TryClaim(everyone, []string{"a"}, begun.Add(time.Hour))).To(Equal(holder.Unchanged))
	g.Expect(p.Claim()).To(Equal(other))
	p.RecordRelease(begun.Add(settle))
	g.Expect(p.TryClaim(nobody, []string{"a"}, begun.Add(settle))).To(Equal(holder.Acquired))
	g.Expect(p.Claim().Token).To(BeNumerically(">", before+5000))
}

// Hosts that hear each other's claims, in any order and with any losses, agree
// on one holder once all claims are heard, and no token is used by two hosts.
func TestHostsAgreeOnOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		pools := map[string]*holder.View{}
		for _, n := range names {
			pools[n] = holder.NewView(n, 0, 0, begun)
		}
		users := map[uint64]string{}
		now := begun
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.SampledFrom(names).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if pools[n].TryClaim(nobody, []string{n}, now) == holder.Acquired {
					users[pools[n].Claim().Token] += n
				}
			case 1:
				pools[n].RecordClaim(pools[rapid.SampledFrom(names).Draw(t, "other")].Claim())
			case 2:
				if pools[n].HeldHere() {
					pools[n].RaiseToken(now)
				}
			case 3:
				pools[n].RecordRelease(now)
			}
		}
		for range names {
			for _, n := range names {
				for _, o := range names {
					pools[n].RecordClaim(pools[o].Claim())
				}
			}
		}
		held := 0
		for _, n := range names {
			if pools[n].HeldHere() {
				held++
			}
		}
		if held > 1 {
			t.Fatalf("%d hosts hold the pool", held)
		}
	})
}
