package holder

import (
	"time"
)

// Claim says that a host holds a pool.
type Claim struct {
	Holder string // address of the host
	Token  uint64 // fencing token
}

// Supersedes reports whether c goes before o.
func (c Claim) Supersedes(o Claim) bool {
	if c.Token != o.Token {
		return c.Token > o.Token
	}
	return c.Holder < o.Holder
}

// Transition is what a Pool decided.
type Transition int

// The verdicts.
const (
	Unchanged Transition = iota
	Acquired             // this host holds the pool from now on
	Yielded              // another host holds it
)

// View is one host's view of who holds a pool.
type View struct {
	self    string
	claim   Claim // the best claim known; no holder if none
	highest uint64
	since   time.Time // when this host began to look for a holder
	settle  time.Duration
	alone   time.Duration
	begun   time.Time
	contact time.Time // when another host was heard first; zero if none was
}

// NewView returns a Pool whose host listens for the time settle, after it has
// heard any other host, before it claims what nobody seems to hold. A host that
// hears none claims after the time alone: hosts that start together must find
// each other first.
func NewView(self string, settle, alone time.Duration, now time.Time) *View {
	return &View{self: self, settle: settle, alone: alone, since: now, begun: now}
}

// RecordContact takes in that another host is heard.
func (p *View) RecordContact(now time.Time) {
	if p.contact.IsZero() {
		p.contact = now
	}
}

// listened reports whether the host has listened for long enough.
func (p *View) listened(now time.Time) bool {
	if now.Sub(p.since) < p.settle {
		return false
	}
	if p.contact.IsZero() {
		return now.Sub(p.begun) >= p.alone
	}
	return now.Sub(p.contact) >= p.settle || now.Sub(p.begun) >= p.alone
}

// Claim returns the best claim known.
func (p *View) Claim() Claim { return p.claim }

// HeldHere reports whether this host holds the pool.
func (p *View) HeldHere() bool { return p.claim.Holder == p.self }

// RecordClaim takes in another host's claim.
func (p *View) RecordClaim(c Claim) Transition {
	p.highest = max(p.highest, c.Token)
	if c.Holder == "" || c.Holder == p.self || !c.Supersedes(p.claim) {
		return Unchanged
	}
	held := p.HeldHere()
	p.claim = c
	if held {
		return Yielded
	}
	return Unchanged
}

// TryClaim claims the pool if its holder is gone and this host comes first among
// the candidates, which are alive and ordered. The token is at least the time in
// milliseconds, so it grows also over a restart that forgot the last one.
func (p *View) TryClaim(alive func(host string) bool, candidates []string, now time.Time) Transition {
	if p.HeldHere() {
		return Unchanged
	}
	if p.claim.Holder != "" && alive(p.claim.Holder) {
		p.since = now
		return Unchanged
	}
	first := len(candidates) > 0 && candidates[0] == p.self
	if !first || !p.listened(now) {
		return Unchanged
	}
	p.take(now)
	return Acquired
}

// RequireTokenAbove makes every later claim of this host have a token above this one.
func (p *View) RequireTokenAbove(token uint64) { p.highest = max(p.highest, token) }

// RecordRelease forgets the holder, who said that it gives the pool up.
func (p *View) RecordRelease(now time.Time) {
	p.claim = Claim{}
	p.since = now.Add(-p.settle)
}

// AcceptHandover takes the pool over from a holder that handed it on.
func (p *View) AcceptHandover(token uint64, now time.Time) {
	p.highest = max(p.highest, token)
	p.take(now)
}

// RecordFenced takes in that targets obey a higher token than this host's. The host
// listens again before it claims, in case another one holds the pool, and then
// with a token above any that a clock has likely given.
func (p *View) RecordFenced(now time.Time) {
	p.highest = max(p.highest, p.claim.Token) + raiseBy
	p.claim = Claim{}
	p.since = now
}

// RaiseToken takes a higher token at once, where no other host can hold the pool.
func (p *View) RaiseToken(now time.Time) {
	p.RecordFenced(now)
	p.take(now)
}

// raiseBy passes a token that was drawn from a clock 10 s ahead of this one.
const raiseBy = 10_000

func (p *View) take(now time.Time) {
	token := max(p.highest+1, uint64(now.UnixMilli()))
	p.highest = token
	p.claim = Claim{Holder: p.self, Token: token}
}
