package liveconn

import (
	"slices"
	"time"
)

const (
	// newestAnswerWeight is the weight of the newest answer in the share of answers that came while
	// an earlier copy hung.
	newestAnswerWeight = 1.0 / 16
	// maxBelievedShare is the largest share at which a copy that hangs is put down to its connection.
	// A target that leaves requests unanswered again and again loses them by itself.
	maxBelievedShare = 1.0 / 64
)

// target is the state of the connections to one address. It does no I/O.
type target struct {
	idle      []*conn // the last one has answered most recently
	busy      map[*conn]*send
	waiting   []chan struct{} // of requests that wait for a connection
	patient   []chan struct{} // of copies that wait for an answer before they open one
	hungShare float64         // share of the answers that came while an earlier copy hung
	foundAt   time.Time       // when connections were last found silent
}

func newTarget() *target { return &target{busy: map[*conn]*send{}} }

func (t *target) count() int { return len(t.idle) + len(t.busy) }

// takeIdle returns the idle connection that has answered most recently, if that was after a time,
// or nil.
func (t *target) takeIdle(provenSince time.Time) *conn {
	for i, c := range slices.Backward(t.idle) {
		if c.provenAt.After(provenSince) {
			t.idle = slices.Delete(t.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom reports whether another connection may be opened. With all that are allowed open, an
// idle one, which is not proven, makes room for it.
func (t *target) makeRoom(limit int) (dropped *conn, mayOpen bool) {
	if t.count() < limit {
		return nil, true
	}
	if len(t.idle) == 0 {
		return nil, false
	}
	dropped = t.idle[0]
	t.idle = t.idle[1:]
	return dropped, true
}

// remove removes a connection.
func (t *target) remove(c *conn) {
	delete(t.busy, c)
	if i := slices.Index(t.idle, c); i >= 0 {
		t.idle = slices.Delete(t.idle, i, i+1)
	}
	t.wakeOne()
}

// wakeOne lets the request that has waited longest look for a connection again.
func (t *target) wakeOne() {
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
	}
}

// wakePatient lets the copies that wait for an answer look at it.
func (t *target) wakePatient() {
	for _, w := range t.patient {
		close(w)
	}
	t.patient = nil
}

// losesRequests reports whether the target leaves requests unanswered by itself.
func (t *target) losesRequests() bool { return t.hungShare > maxBelievedShare }

// handleAnswer records an answer. It returns the idle connections that are to be closed, because
// an earlier copy of the call shows that they are silent.
func (t *target) handleAnswer(s *send, now time.Time) (silent []*conn) {
	s.answered, s.conn.provenAt = true, now
	found := t.firstHanging(s)
	t.hungShare -= newestAnswerWeight * t.hungShare
	switch {
	case found == nil:
		return nil
	case found.sentAt.Before(t.foundAt): // by the silence that was found already
		s.call.silence.CompareAndSwap(nil, &Silence{Age: now.Sub(found.conn.openedAt), Repeated: true})
		return nil
	}
	believed := !t.losesRequests()
	t.hungShare += newestAnswerWeight * (1 - t.hungShare)
	if !believed {
		return nil
	}
	t.foundAt = now
	requests := t.requestsUnproven(found.dueAt) + t.endedRequests(s.call)
	s.call.silence.CompareAndSwap(nil, &Silence{Age: now.Sub(found.conn.openedAt), Requests: requests})
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		unproven := !c.provenAt.After(found.dueAt)
		if unproven {
			silent = append(silent, c)
		}
		return unproven
	})
	return silent
}

// firstHanging returns the first copy before s of the same call that may hang on a silent
// connection, or nil.
func (t *target) firstHanging(s *send) *send {
	for _, earlier := range s.call.sends {
		if earlier == s {
			return nil
		}
		if earlier.answered {
			return nil // it was only late
		}
		if earlier.mayHang() {
			return earlier
		}
	}
	return nil
}

// requestsUnproven returns the number of requests under way on connections that have not answered
// since a time.
func (t *target) requestsUnproven(since time.Time) int {
	n := 0
	for c := range t.busy {
		if !c.provenAt.After(since) {
			n++
		}
	}
	return n
}

// endedRequests returns the number of unanswered copies of a call that are awaited no more.
func (t *target) endedRequests(c *Call) int {
	n := 0
	for _, s := range c.sends {
		if _, underWay := t.busy[s.conn]; s.mayHang() && !underWay {
			n++
		}
	}
	return n
}
