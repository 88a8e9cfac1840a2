package holder

import (
	"time"
)

// Claim states that a host holds a pool.
type Claim struct {
	Holder string // address of the host; empty if there is no holder
	Token  uint64 // fencing token
}

// Supersedes reports whether c wins over o: the higher token wins, and of two equal
// tokens the one with the lower holder address.
func (c Claim) Supersedes(o Claim) bool {
	if c.Token != o.Token {
		return c.Token > o.Token
	}
	return c.Holder < o.Holder
}

// Transition is the change of holder that a call caused.
type Transition int

// The transitions.
const (
	Unchanged Transition = iota // this host holds the pool if and only if it did before
	Acquired                    // this host holds the pool from now on
	Yielded                     // this host held the pool, and another host holds it now
)

// View is one host's knowledge of who holds a pool.
type View struct {
	self           string        // address of this host
	claim          Claim         // the winning claim of those known; no holder if there is none
	highestToken   uint64        // highest token known; this host's next claim has a higher one
	listeningSince time.Time     // when this host last began to listen for a holder
	listenTime     time.Duration // how long to listen before a claim
	aloneDelay     time.Duration // how long after startedAt to claim without contact with another host
	startedAt      time.Time     // when the View was created
	firstContactAt time.Time     // when another host was first heard from; zero if none was
	clockLead      time.Duration // of the time of day of the times that the View is given
}

// NewView returns the View of the host self, without a holder. Once the host has heard
// from any other host, it listens for listenTime before it claims a pool that has no
// known holder. A host that receives messages from no other host claims after aloneDelay, because
// hosts that start together must discover each other first.
func NewView(self string, listenTime, aloneDelay time.Duration, now time.Time) *View {
	return &View{self: self, listenTime: listenTime, aloneDelay: aloneDelay, listeningSince: now, startedAt: now}
}

// ListenAgain starts the listening for a holder again, as the host has missed messages.
func (v *View) ListenAgain(now time.Time) { v.listeningSince = now }

// SetClockLead sets how far the time of day of the times that the View is given is ahead of
// the true one, which tokens are taken from.
func (v *View) SetClockLead(lead time.Duration) { v.clockLead = lead }

// RecordContact records that another host was heard from.
func (v *View) RecordContact(now time.Time) {
	if v.firstContactAt.IsZero() {
		v.firstContactAt = now
	}
}

// hasListened reports whether the host has listened for a holder for long enough.
func (v *View) hasListened(now time.Time) bool {
	if now.Sub(v.listeningSince) < v.listenTime {
		return false
	}
	if v.firstContactAt.IsZero() {
		return now.Sub(v.startedAt) >= v.aloneDelay
	}
	return now.Sub(v.firstContactAt) >= v.listenTime || now.Sub(v.startedAt) >= v.aloneDelay
}

// Claim returns the winning claim of those known. Its holder is empty if there is none.
func (v *View) Claim() Claim { return v.claim }

// HeldHere reports whether this host holds the pool.
func (v *View) HeldHere() bool { return v.claim.Holder == v.self }

// RecordClaim records another host's claim. It returns Yielded if the claim supersedes
// this host's own, Unchanged otherwise.
func (v *View) RecordClaim(c Claim) Transition {
	v.highestToken = max(v.highestToken, c.Token)
	if c.Holder == "" || c.Holder == v.self || !c.Supersedes(v.claim) {
		return Unchanged
	}
	wasHeld := v.HeldHere()
	v.claim = c
	if wasHeld {
		return Yielded
	}
	return Unchanged
}

// TryClaim claims the pool and returns Acquired if the pool has no holder that is alive,
// this host is the first of the candidates and it has listened for long enough. The
// candidates are alive and in order of preference. The token is at least the current
// time in Unix milliseconds, so it grows even if a restart lost the last token. While
// the holder is alive, each call starts the listening again.
func (v *View) TryClaim(alive func(host string) bool, candidates []string, now time.Time) Transition {
	if v.HeldHere() {
		return Unchanged
	}
	if v.claim.Holder != "" && alive(v.claim.Holder) {
		v.listeningSince = now
		return Unchanged
	}
	isFirst := len(candidates) > 0 && candidates[0] == v.self
	if !isFirst || !v.hasListened(now) {
		return Unchanged
	}
	v.highestToken += unheardRaises
	v.claimWithNewToken(now)
	return Acquired
}

// RequireTokenAbove makes every later claim of this host have a token above the given
// one.
func (v *View) RequireTokenAbove(token uint64) { v.highestToken = max(v.highestToken, token) }

// RecordRelease records that the holder has given the pool up. This host need not listen
// again before it claims the pool.
func (v *View) RecordRelease(now time.Time) {
	v.claim = Claim{}
	v.listeningSince = now.Add(-v.listenTime)
}

// AcceptHandover claims the pool for this host after its holder, whose claim has the
// given token, handed it over.
func (v *View) AcceptHandover(token uint64, now time.Time) {
	v.highestToken = max(v.highestToken, token)
	v.claimWithNewToken(now)
}

// RecordFenced records that targets obey a higher token than this host's. The host no
// longer holds the pool and listens again before it claims, since another host may hold
// the pool. Its next token exceeds any that another host's clock has likely produced.
func (v *View) RecordFenced(now time.Time) {
	v.highestToken = max(v.highestToken, v.claim.Token) + tokenRaise
	v.claim = Claim{}
	v.listeningSince = now
}

// RaiseOwnToken raises the token of this host's claim, for a session with a target that
// must not obey the requests of a former one. The hosts that know the claim know the holder,
// so the token need not follow the clock: the next holder's token is higher although it may
// not have heard of the raise.
func (v *View) RaiseOwnToken() {
	v.highestToken = max(v.highestToken, v.claim.Token) + 1
	v.claim.Token = v.highestToken
}

// RaiseToken claims the pool with a higher token at once. It is for a host that knows
// that no other host can hold the pool.
func (v *View) RaiseToken(now time.Time) {
	v.RecordFenced(now)
	v.claimWithNewToken(now)
}

// unheardRaises is more than the times that a holder may have raised its token since this
// host last heard of its claim.
const unheardRaises = 100

// tokenRaise is added to the token of a fenced host, in milliseconds: it exceeds a token
// taken from a clock that is up to 10 s ahead of this host's.
const tokenRaise = 10_000

// claimWithNewToken makes this host the holder, with a token above all known ones.
func (v *View) claimWithNewToken(now time.Time) {
	token := max(v.highestToken+1, uint64(now.Add(-v.clockLead).UnixMilli()))
	v.highestToken = token
	v.claim = Claim{Holder: v.self, Token: token}
}
