package repeat

import "time"

// Copies is the state of one request of which copies are sent until one is answered. All
// copies have the same content. It is not safe for concurrent use.
type Copies struct {
	timer    *Timer
	copies   []copyState
	answered bool // a copy was answered
	waited   time.Duration
}

// copyState is the state of one copy, from its sending.
type copyState struct {
	sentAt   time.Time
	resolved bool // the target answered it, or it was not sent: it is not carried out later
	charged  bool // its timeout is charged to the budget
	ended    bool // no answer to it is awaited any more
}

// NewCopies returns the state of a request of which no copy was sent yet.
func NewCopies(timer *Timer) *Copies { return &Copies{timer: timer} }

// Sent records that a copy is sent and returns its number.
func (c *Copies) Sent(now time.Time) int {
	if len(c.copies) == 0 {
		c.timer.RecordRequest()
	}
	c.waited = c.timer.Timeout()
	c.copies = append(c.copies, copyState{sentAt: now})
	return len(c.copies) - 1
}

// Count returns how many copies were sent.
func (c *Copies) Count() int { return len(c.copies) }

// Timeout returns how long to wait for the answer to the newest copy. It doubles with each
// copy, as in RFC 6298.
func (c *Copies) Timeout() time.Duration {
	return min(c.timer.Timeout()<<max(0, len(c.copies)-1), MaxTimeout)
}

// Overdue records that the newest copy was not answered within its timeout. It reports
// whether the budget allows to act on that: to send another copy, or to give up.
func (c *Copies) Overdue() bool {
	newest := &c.copies[len(c.copies)-1]
	if newest.charged || newest.ended {
		return true
	}
	newest.charged = c.timer.TryCharge()
	return newest.charged
}

// Answered records the answer to a copy, and returns how many earlier copies it shows to be
// lost rather than late: their answers would have come first.
func (c *Copies) Answered(number int, now time.Time) (lost int) {
	c.answered = true
	c.timer.Observe(now.Sub(c.copies[number].sentAt), now)
	for i := range c.copies[:number] {
		if c.settle(i, false) {
			lost++
		}
	}
	c.settle(number, true)
	c.copies[number].resolved, c.copies[number].ended = true, true
	return lost
}

// NotSent records that a copy could not be sent.
func (c *Copies) NotSent(number int) {
	c.settle(number, false)
	c.copies[number].resolved, c.copies[number].ended = true, true
}

// Unanswered records that the answer to a copy is not awaited any more. The copy may still
// be carried out.
func (c *Copies) Unanswered(number int) {
	c.settle(number, false)
	c.copies[number].ended = true
	if !c.answered && c.Awaited() == 0 {
		c.timer.ObserveUnanswered(c.waited, c.copies[0].sentAt)
	}
}

// settle ends the charge for a copy and reports whether there was one.
func (c *Copies) settle(number int, late bool) bool {
	if !c.copies[number].charged {
		return false
	}
	c.copies[number].charged = false
	c.timer.Settle(late)
	return true
}

// Awaited returns the number of copies whose answers may still come.
func (c *Copies) Awaited() int {
	return c.count(func(s copyState) bool { return !s.ended })
}

// Pending returns the number of copies that the target may still carry out.
func (c *Copies) Pending() int {
	return c.count(func(s copyState) bool { return !s.resolved })
}

func (c *Copies) count(matches func(copyState) bool) int {
	n := 0
	for _, s := range c.copies {
		if matches(s) {
			n++
		}
	}
	return n
}
