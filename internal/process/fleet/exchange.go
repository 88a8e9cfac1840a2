package fleet

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/connection/liveconn"
	"wasabifield.example/wasabifield/internal/process/repeat"
)

// timerSlack is how late a timer may fire. A later one shows that this host was paused:
// the answer may have arrived meanwhile.
const timerSlack = 5 * time.Millisecond

// connectionPatience divides the timeout of a request into the time that a copy waits for an
// answer before a connection is opened for it: most answers that are late come soon after.
const connectionPatience = 2

// copyFate is what became of a copy of a request.
type copyFate int

const (
	copyAnswered copyFate = iota
	copyUnanswered
	copyNotSent // and is not under way
)

// exchange is a start or stop request to a target, of which copies are sent while none is
// answered.
type exchange[R any] struct {
	session *session
	name    string // for metrics
	send    func(context.Context) (R, copyFate)
	// handle handles the result of a copy that was answered or not sent. It reports whether
	// the result decides the request: then no further copy is sent.
	handle func(result R, copies *repeat.Copies) bool
	giveUp func() // called at most once, before a result has decided the request
	// copyInterval is the longest time between two copies, also if the budget allows none; 0 if
	// only the budget decides.
	copyInterval time.Duration

	copies          *repeat.Copies
	call            *liveconn.Call
	results         chan copyResult[R]
	begunAt, sentAt time.Time // of the first copy and of the newest one
	decided, gaveUp bool
}

// copyResult is the result of one copy.
type copyResult[R any] struct {
	number int
	result R
	fate   copyFate
	at     time.Time
}

// run sends the request and returns once no copy may be answered any more. A copy is
// cancelled only after repeat.MaxTimeout, also if another one has decided the request:
// that would close its connection.
func (x *exchange[R]) run() {
	x.copies = repeat.NewCopies(&x.session.pool.answerTimer)
	x.call = liveconn.NewCall()
	x.results = make(chan copyResult[R], 1)
	x.begunAt = x.session.pool.node.now()
	x.sendCopy()
	timeout, paused := x.timeout(), false
	due := x.session.pool.node.now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for x.copies.Awaited() > 0 || x.isOpen() {
		select {
		case r := <-x.results:
			x.handleCopy(r)
			continue
		case <-timer.C:
		}
		if !x.isOpen() {
			continue
		}
		if late := x.session.pool.node.since(due); late > timerSlack && !paused {
			timeout, paused = min(late, repeat.MaxTimeout), true
		} else {
			timeout, paused = x.handleOverdue(), false
		}
		due = x.session.pool.node.now().Add(timeout)
		timer.Reset(timeout)
	}
}

// isOpen reports whether a further copy may be sent.
func (x *exchange[R]) isOpen() bool { return !x.decided && !x.gaveUp && x.session.ctx.Err() == nil }

func (x *exchange[R]) sendCopy() {
	x.sentAt = x.session.pool.node.now()
	number := x.copies.Sent(x.sentAt)
	patience := time.Duration(0)
	if number > 0 {
		patience = x.session.pool.answerTimer.Timeout() / connectionPatience
	}
	go func() {
		ctx, cancel := context.WithTimeout(x.session.ctx, repeat.MaxTimeout)
		defer cancel()
		sent, ctx := x.call.PatientCopy(ctx, patience)
		result, fate := x.send(ctx)
		at := x.session.pool.node.now()
		if number > 0 {
			at = at.Add(-sent.Delay()) // the answer times of the target are measured
		}
		x.results <- copyResult[R]{number, result, fate, at}
	}()
}

func (x *exchange[R]) handleCopy(r copyResult[R]) {
	switch r.fate {
	case copyAnswered:
		x.session.runSuspicion.RecordAnswered(x.copies.Answered(r.number, r.at))
		x.session.recordSilence(x.call, x.name)
	case copyUnanswered:
		x.copies.Unanswered(r.number)
		return
	case copyNotSent:
		x.copies.NotSent(r.number)
	}
	if !x.decided {
		x.decided = x.handle(r.result, x.copies)
	}
}

// handleOverdue sends another copy or gives the request up, if the budget allows that. It
// returns the time to wait for an answer from now on.
func (x *exchange[R]) handleOverdue() time.Duration {
	rest := repeat.MaxTimeout - x.session.pool.node.since(x.begunAt)
	if rest <= 0 {
		x.session.runSuspicion.RecordUnanswered()
		return x.abandon()
	}
	if x.copies.Overdue() {
		x.session.runSuspicion.RecordUnanswered()
		if x.copies.Count() > 1 && x.session.runSuspicion.Suspected() {
			return x.abandon()
		}
	} else if x.copyInterval == 0 || x.session.pool.node.since(x.sentAt) < x.copyInterval {
		x.session.pool.metrics.recordWithheldCopy(x.name)
		return min(x.timeout(), rest) // the budget may allow it then
	}
	x.session.pool.metrics.recordCopy(x.name)
	x.sendCopy()
	return min(x.timeout(), rest)
}

// timeout returns how long to wait until another copy is due.
func (x *exchange[R]) timeout() time.Duration {
	if x.copyInterval == 0 {
		return x.copies.Timeout()
	}
	return min(x.copies.Timeout(), x.copyInterval)
}

// abandon gives the request up: no further copy is sent, and no time is waited for one.
func (x *exchange[R]) abandon() time.Duration {
	x.gaveUp = true
	x.giveUp()
	return 0
}
