package intake

import (
	"math"
	"sync"
	"time"
)

// Limits bounds what the clients of one listener use together.
type Limits struct {
	Bytes       int64 // memory of connections and requests
	Connections int   // open connections
}

// largest returns the most that one large request may hold.
func (l Limits) largest() int64 { return l.Bytes - l.Bytes/smallShare }

const (
	// connectionBytes is what a connection is charged with: its goroutines, their stacks
	// and buffers, and the first requestBytes of what it holds of a request.
	connectionBytes = 32 << 10
	requestBytes    = 8 << 10

	// A request that holds more than largeBytes leaves 1/smallShare of the memory to
	// smaller ones.
	largeBytes = 64 << 10
	smallShare = 4

	// progressRate is how fast a request has to arrive, in bytes a second, for its
	// connection to count as one that makes progress.
	progressRate = 16 << 10
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection, in the order of a request's life.
const (
	Waiting    Phase = iota // for the first byte of a request
	Headers                 // they arrive
	Body                    // it arrives, or the handler has not asked for it yet
	Working                 // the request has arrived in full and is not answered yet
	Answering               // the client reads the answer
	Discarding              // the request is answered; what still comes of it is dropped
)

// Ending is how a connection gives way.
type Ending int

// The ways in which a connection gives way.
const (
	Refuse Ending = iota // its request is answered with a refusal
	Close                // it is closed
)

// Limiter keeps the accounts of the connections of one listener. Its methods may be
// called concurrently.
type Limiter struct {
	mu       sync.Mutex
	limits   Limits
	bytes    int64
	accounts map[*Account]struct{}
	stats    Stats
}

// Stats are the figures of a Limiter. The counters only grow.
type Stats struct {
	Connections int   // open now
	Bytes       int64 // charged now
	Closed      int64 // connections that were closed to make room for others
	Refused     int64 // requests that were refused to make room, or for lack of it
	NotAccepted int64 // connections that found no room
}

// NewLimiter returns a Limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	return &Limiter{limits: limits, accounts: map[*Account]struct{}{}}
}

// Stats returns the present figures.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Connections, stats.Bytes = len(l.accounts), l.bytes
	return stats
}

// Account is the account of one connection.
type Account struct {
	limiter *Limiter
	giveWay func(Ending)
	phase   Phase
	held    int64 // bytes of the request in progress
	// progressAt is the present time for a connection that makes progress. It falls
	// behind while less than progressRate arrives.
	progressAt time.Time
	ended      bool // closed, or closed to make room
	refused    bool // the request in progress has given way
}

// Admit opens the account of a new connection. It returns nil if there is no room and no
// connection that gives way. giveWay is called without locks when the connection has to
// give way; it must not block.
func (l *Limiter) Admit(now time.Time, giveWay func(Ending)) *Account {
	account := &Account{limiter: l, giveWay: giveWay, progressAt: now}
	l.mu.Lock()
	var endings endings
	for len(l.accounts) >= l.limits.Connections && l.closeWorst(now, &endings) {
	}
	ok := len(l.accounts) < l.limits.Connections && l.makeRoom(account, connectionBytes, now, &endings)
	if ok {
		l.bytes += connectionBytes
		l.accounts[account] = struct{}{}
	} else {
		l.stats.NotAccepted++
	}
	l.mu.Unlock()
	endings.carryOut()
	if !ok {
		return nil
	}
	return account
}

// Enter records that the connection is in another phase. It returns false if the
// connection or its request has given way: then the request must not run.
func (a *Account) Enter(phase Phase, now time.Time) bool {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if a.ended {
		return false
	}
	if phase == Waiting {
		a.refused = false
	}
	a.phase, a.progressAt = phase, now
	return !a.refused
}

// Progress records that n bytes of a request have arrived.
func (a *Account) Progress(n int, now time.Time) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.progressAt = a.progressAt.Add(time.Duration(n) * time.Second / progressRate)
	if a.progressAt.After(now) {
		a.progressAt = now
	}
}

// Hold changes by delta what the connection holds of its request. It returns false, and
// changes nothing, if there is no room, or if the connection or its request has given
// way.
func (a *Account) Hold(delta int64, now time.Time) bool {
	l := a.limiter
	l.mu.Lock()
	var endings endings
	ok := !a.ended && !a.refused || delta <= 0
	if ok {
		added := charge(a.held+delta) - charge(a.held)
		if ok = added <= 0 || l.makeRoom(a, added, now, &endings); ok {
			a.held = max(0, a.held+delta)
			if !a.ended {
				l.bytes += added
			}
		} else {
			a.refused = true
			l.stats.Refused++
		}
	}
	l.mu.Unlock()
	endings.carryOut()
	return ok
}

// End closes the account.
func (a *Account) End() {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.remove(a)
}

// charge returns what a connection is charged with for held bytes of a request, beyond
// connectionBytes.
func charge(held int64) int64 { return max(0, held-requestBytes) }

func (l *Limiter) remove(a *Account) {
	if a.ended {
		return
	}
	a.ended = true
	l.bytes -= connectionBytes + charge(a.held)
	delete(l.accounts, a)
}

// makeRoom lets connections other than a give way until a can be charged with added
// bytes more. It returns false, and none gives way, if that would not be enough.
func (l *Limiter) makeRoom(a *Account, added int64, now time.Time, endings *endings) bool {
	limit := l.limits.Bytes
	if charge(a.held)+added > largeBytes {
		limit = l.limits.largest()
	}
	if l.bytes+added <= limit {
		return true
	}
	kept := int64(0) // by connections that do not give way
	for other := range l.accounts {
		if other == a || !other.givesWay() {
			kept += connectionBytes + charge(other.held)
		}
	}
	if kept+added > limit {
		return false
	}
	for l.bytes+added > limit {
		l.end(l.worst(a, now), endings)
	}
	return true
}

// givesWay reports whether the connection may be ended for another one.
func (a *Account) givesWay() bool { return a.phase != Working }

// end refuses a body that takes more than its connection, and closes other connections.
func (l *Limiter) end(a *Account, endings *endings) {
	if a.phase == Body && charge(a.held) > 0 {
		a.refused, a.phase = true, Discarding
		l.bytes -= charge(a.held)
		a.held = 0
		l.stats.Refused++
		endings.add(a, Refuse)
		return
	}
	l.stats.Closed++
	l.remove(a)
	endings.add(a, Close)
}

// closeWorst closes the connection that gives way first. It returns false if none does.
func (l *Limiter) closeWorst(now time.Time, endings *endings) bool {
	worst := l.worst(nil, now)
	if worst == nil {
		return false
	}
	l.stats.Closed++
	l.remove(worst)
	endings.add(worst, Close)
	return true
}

// worst returns the connection that gives way first, other than except: one whose
// request is answered, or else the one with the largest product of memory and time
// without progress. It returns nil if all others work.
func (l *Limiter) worst(except *Account, now time.Time) *Account {
	var worst *Account
	var worstCost float64
	for a := range l.accounts {
		if a == except || !a.givesWay() {
			continue
		}
		cost := float64(connectionBytes+charge(a.held)) * float64(now.Sub(a.progressAt))
		if a.phase == Discarding {
			cost = math.Inf(1)
		}
		if worst == nil || cost > worstCost {
			worst, worstCost = a, cost
		}
	}
	return worst
}

// endings are the connections that give way once the lock is released.
type endings []func()

func (e *endings) add(a *Account, how Ending) { *e = append(*e, func() { a.giveWay(how) }) }

func (e endings) carryOut() {
	for _, f := range e {
		f()
	}
}
