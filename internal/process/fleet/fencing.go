package fleet

import (
	"maps"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// A target that restarts under its id has seen no fencing token and no end of a run, and its
// clock begins anew: an order to the former incarnation that is still under way would be
// carried out, under a lease that seems to be in force. Therefore the session with the new
// incarnation has a higher token than the one before, and its first request fences the
// orders that are under way.

// orderLifetime is how long after its session was closed an order may still be carried out.
// Targets carry out a request that got no answer some seconds later.
const orderLifetime = 30 * time.Second

// closedSession is what is remembered of a session with a target.
type closedSession struct {
	incarnation uint64
	token       uint64
	closedAt    time.Time
}

// closeSession closes the session with a target, if there is one.
func (p *pool) closeSession(id string, now time.Time) {
	s, ok := p.sessions[id]
	if !ok {
		return
	}
	s.close()
	delete(p.sessions, id)
	p.closedSessions[id] = closedSession{s.incarnation, s.token, now}
}

// raiseTokenFor raises the token of this host's claim if orders to a former incarnation of
// the target may be under way that would be carried out under the present token. Sessions
// with other targets keep theirs.
func (p *pool) raiseTokenFor(t scheduler.Target, now time.Time) {
	former, ok := p.closedSessions[t.ID]
	if !ok || former.incarnation == t.Incarnation || former.token < p.holderView.Claim().Token {
		return
	}
	p.holderView.RaiseOwnToken()
	p.publishClaim(now)
	p.log.Info("The token was raised.", "pool", p.name, "target", t.ID, "born", t.Incarnation, "token", p.holderView.Claim().Token,
		"reason", "orders to a former incarnation of a target may be under way")
}

// forgetClosedSessions forgets the sessions of which no order is under way any more.
func (p *pool) forgetClosedSessions(now time.Time) {
	maps.DeleteFunc(p.closedSessions, func(_ string, s closedSession) bool { return now.Sub(s.closedAt) > orderLifetime })
}
