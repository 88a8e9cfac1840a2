package controller

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/version/register"
)

// own is the duty that owns the state.
func (c *Controller) own(ctx context.Context) {
	confirm := time.NewTimer(0)
	defer confirm.Stop()
	first := true // no read was confirmed when the timer was set
	defer c.timer.Stop()
	for {
		waiting, given := c.operations, (<-chan struct{})(nil)
		if c.current != nil {
			waiting, given = nil, c.current.ctx.Done()
		}
		select {
		case <-ctx.Done():
			c.stop()
			return
		case e := <-c.events:
			c.onEvent(e)
			if c.firstCopy {
				c.firstCopy = false
				c.confirmCopy(confirm)
			}
		case p := <-c.added:
			c.addPeer(p)
		case o := <-waiting:
			if o.taken.CompareAndSwap(false, true) {
				c.start(o)
			}
		case <-given:
			c.abandon()
		case <-c.timer.C:
			c.repeat()
		case <-confirm.C:
			if !first || c.isUnconfirmed() || c.mayJoin() {
				c.onConfirm(ctx)
			}
			first = c.isUnconfirmed()
			confirm.Reset(c.confirmDelay())
		}
	}
}

// confirmDelay spreads the confirming reads of many hosts. Surveys of a fresh
// disk follow each other faster.
func (c *Controller) confirmDelay() time.Duration {
	if c.isFresh() {
		return c.config.Timing.AttemptTimeout / 2
	}
	if c.isUnconfirmed() {
		return c.firstPause()
	}
	mean := c.config.Timing.ConfirmInterval
	return mean/2 + time.Duration(c.config.Random.Int64N(int64(mean)))
}

// isUnconfirmed reports whether the local copy was never known to be current
// since the start. Nothing may be served before.
func (c *Controller) isUnconfirmed() bool {
	_, confirmed := c.copy.get()
	return confirmed.IsZero()
}

// attemptTime returns when the current attempt at an operation is repeated.
func (c *Controller) attemptTime(o *operation) time.Duration {
	return attemptTime(c.config.Timing.AttemptTimeout, c.firstPause(), c.isUnconfirmed(), o.change != nil, c.failed)
}

// firstPause returns the time between reads until one was confirmed.
func (c *Controller) firstPause() time.Duration {
	if entry, _ := c.copy.get(); entry.IsZero() {
		return emptyReads
	}
	return firstReads
}

// attemptTime returns when an attempt is repeated that follows a number of
// failed ones. Hosts that start together are not reachable at once, so before
// the first confirmed read an attempt is repeated soon: reads at a steady rate,
// and changes, which cost syncs and outbid each other, less and less often.
func attemptTime(usual, firstPause time.Duration, unconfirmed, change bool, failed int) time.Duration {
	if !unconfirmed {
		return usual
	}
	if !change {
		return min(firstPause, usual)
	}
	wait := firstReads
	for range failed {
		if wait >= usual {
			break
		}
		wait *= 2
	}
	return min(wait, usual)
}

func (c *Controller) onEvent(e event) {
	if e.request == nil {
		c.onReply(e.reply)
		return
	}
	reply, err := c.apply(e.request)
	e.answer <- answer{reply, err}
}

// apply handles a request: the new state is on the disk before the reply
// leaves. A chosen entry is taken over also when the disk refuses it; it is
// then learned again at the next confirming read.
func (c *Controller) apply(r register.Request) (register.Reply, error) {
	effect := c.state.Handle(r)
	learn, isLearn := r.(register.Learn)
	if isLearn {
		defer c.take(learn.Entry)
	}
	if effect.Persist && c.config.Folder != nil {
		if err := writeState(c.config.Folder, effect.State); err != nil {
			c.log.Error("The state was not written; changes are refused.", "error", err)
			return nil, status.Error(codes.Unavailable, "the disk refuses the state")
		}
	}
	c.state = effect.State
	return effect.Reply, nil
}

// confirmCopy reads at once when the first value has come: the voters answer
// without it.
func (c *Controller) confirmCopy(confirm *time.Timer) {
	switch {
	case !c.isUnconfirmed():
	case c.current == nil:
		confirm.Reset(0)
	case c.current.change == nil:
		c.repeat()
	}
}

// take puts a chosen entry into force.
func (c *Controller) take(e register.Entry) {
	if held, _ := c.copy.get(); held.IsZero() {
		c.firstCopy = true
	}
	c.proposer.Learn(e)
	c.copy.learn(e)
	if c.joining && e.Value.HasMember(c.self) {
		c.joining = false
		c.log.Info("The new disk counts as a voter.", "identity", c.self.Identity)
	}
}

func (c *Controller) onReply(r register.Reply) {
	if report, ok := r.(register.Report); ok {
		c.onSurvey(report)
	}
	if c.current == nil {
		return
	}
	c.dispatch(c.proposer.Handle(r))
	c.progress()
}

// dispatch sends requests. Those to this host are handled at once, and so are
// the requests that follow from their replies.
func (c *Controller) dispatch(sends []register.OutboundRequest) {
	for len(sends) > 0 {
		s := sends[0]
		sends = sends[1:]
		if s.Host == c.config.Host {
			if reply, err := c.apply(s.Request); err == nil {
				sends = append(sends, c.proposer.Handle(reply)...)
			}
			continue
		}
		c.send(s.Host, s.Request)
	}
}

func (c *Controller) send(host string, r register.Request) {
	link, ok := c.link(host)
	if !ok || !link.send(r) {
		c.log.Debug("A message was dropped.", "peer", host)
	}
}

// start begins an operation.
func (c *Controller) start(o *operation) {
	c.current = o
	c.started = c.config.Clock()
	c.failed = 0
	c.delayed = false
	c.timer.Reset(c.attemptTime(o))
	if o.change == nil {
		c.dispatch(c.proposer.Read())
	} else {
		c.dispatch(c.proposer.Change(o.change))
	}
	c.progress()
}

// progress answers the operation if it is done, or schedules another attempt
// if this one was outbid.
func (c *Controller) progress() {
	if r := c.proposer.Result(); r != nil {
		c.conclude(*r)
		return
	}
	if c.proposer.Outbid() && !c.delayed {
		c.delayed = true
		c.timer.Reset(register.Backoff(c.failed, c.config.Random))
	}
}

// repeat makes another attempt at the operation.
func (c *Controller) repeat() {
	if c.current == nil {
		return
	}
	c.failed++
	c.delayed = false
	c.timer.Reset(c.attemptTime(c.current))
	c.dispatch(c.proposer.Retry())
	c.progress()
}

// conclude learns the result, answers the operation and pushes the entry if
// it is new.
func (c *Controller) conclude(r register.Result) {
	o := c.current
	c.current = nil
	c.timer.Stop()
	_, _ = c.apply(register.Learn{Entry: r.Entry}) // logged; the entry is chosen all the same
	c.copy.confirm(r.Entry, c.started)
	o.done <- outcome{entry: r.Entry, err: r.Err}
	if r.Chosen {
		c.push(r.Entry)
	}
}

// abandon ends an operation whose caller gave up.
func (c *Controller) abandon() {
	o := c.current
	c.current = nil
	c.timer.Stop()
	o.done <- outcome{err: o.abandoned(c.proposer.Abandon())}
}

// push tells every peer of a chosen entry once, in the order of the domains.
func (c *Controller) push(e register.Entry) {
	for _, l := range c.inOrder(e.Value.Content) {
		c.send(l.Host, register.Learn{Entry: e})
	}
}

func (c *Controller) inOrder(content []byte) []*peerLink {
	if c.config.PushOrder == nil {
		return c.links
	}
	domains := c.config.PushOrder(content)
	rank := func(l *peerLink) int {
		if i := slices.Index(domains, l.Domain); i >= 0 {
			return i
		}
		return len(domains)
	}
	links := slices.Clone(c.links)
	slices.SortStableFunc(links, func(a, b *peerLink) int { return rank(a) - rank(b) })
	return links
}

// stop answers all operations.
func (c *Controller) stop() {
	if c.current != nil {
		o := c.current
		c.current = nil
		if c.proposer.Abandon() {
			o.done <- outcome{err: o.abandoned(true)}
		} else {
			o.done <- outcome{err: errStopped}
		}
	}
	for {
		select {
		case o := <-c.operations:
			o.done <- outcome{err: errStopped}
		default:
			return
		}
	}
}
