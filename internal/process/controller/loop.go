package controller

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/version/register"
)

// runLoop owns the register state and handles messages, operations and timers
// until ctx is cancelled. It then ends all operations that are still waiting.
func (c *Controller) runLoop(ctx context.Context) {
	confirmTimer := time.NewTimer(0)
	defer confirmTimer.Stop()
	// Whether no read had been confirmed when confirmTimer was set. If one has been
	// confirmed since, the read for which the timer was set is skipped.
	unconfirmedWhenSet := true
	defer c.attemptTimer.Stop()
	for {
		queue, urgent := c.nextQueues()
		var callerDone <-chan struct{}
		if c.current != nil {
			callerDone = c.current.ctx.Done()
		}
		select {
		case <-ctx.Done():
			c.failOperations()
			return
		case e := <-c.events:
			c.handleEvent(e)
			if c.gotFirstCopy {
				c.gotFirstCopy = false
				c.confirmFirstCopy(confirmTimer)
			}
		case p := <-c.addedPeers:
			c.addPeer(p)
		case o := <-queue:
			c.claimOperation(o)
		case o := <-urgent:
			c.claimOperation(o)
		case <-callerDone:
			c.abandonOperation()
		case <-c.attemptTimer.C:
			c.retryOperation()
		case <-confirmTimer.C:
			if !unconfirmedWhenSet || c.isUnconfirmed() || c.shouldJoin() {
				c.joinOrConfirm(ctx)
			}
			unconfirmedWhenSet = c.isUnconfirmed()
			confirmTimer.Reset(c.nextConfirmDelay())
		}
	}
}

// nextConfirmDelay returns the delay until the next confirming read, randomized
// so that the reads of many hosts are spread out. The surveys of a fresh disk
// follow each other faster.
func (c *Controller) nextConfirmDelay() time.Duration {
	if c.isFresh() {
		return c.config.Timing.AttemptTimeout / 2
	}
	if c.isUnconfirmed() {
		return c.unconfirmedReadInterval()
	}
	mean := c.config.Timing.ConfirmInterval
	return mean/2 + time.Duration(c.config.Random.Int64N(int64(mean)))
}

// isUnconfirmed reports whether the local copy has never been known to be
// current since the start of the process. Nothing may be served before that.
func (c *Controller) isUnconfirmed() bool {
	_, confirmedAt := c.local.get()
	return confirmedAt.IsZero()
}

// retryInterval returns the time until the current attempt at o is retried.
func (c *Controller) retryInterval(o *operation) time.Duration {
	return retryInterval(c.config.Timing.AttemptTimeout, c.unconfirmedReadInterval(), c.isUnconfirmed(), o.change != nil, c.failedAttempts)
}

// unconfirmedReadInterval returns the time between reads until one is confirmed.
func (c *Controller) unconfirmedReadInterval() time.Duration {
	if entry, _ := c.local.get(); entry.IsZero() {
		return emptyReadInterval
	}
	return firstReadInterval
}

// retryInterval returns the time after which an attempt is retried, given the
// number of failed attempts before it. Hosts that start together are not
// reachable at once, so attempts are retried sooner until the first read is
// confirmed: reads at a steady rate, and changes with exponential backoff
// because they cost disk syncs and outbid each other.
func retryInterval(attemptTimeout, readInterval time.Duration, unconfirmed, isChange bool, failedAttempts int) time.Duration {
	if !unconfirmed {
		return attemptTimeout
	}
	if !isChange {
		return min(readInterval, attemptTimeout)
	}
	interval := firstReadInterval
	for range failedAttempts {
		if interval >= attemptTimeout {
			break
		}
		interval *= 2
	}
	return min(interval, attemptTimeout)
}

func (c *Controller) handleEvent(e event) {
	if p, ok := e.request.(register.Prepare); ok && p.Urgent {
		c.yieldUntil = c.config.Clock().Add(urgentYield)
	}
	if e.request == nil {
		c.handleReply(e.reply)
		return
	}
	reply, err := c.apply(e.request)
	e.answer <- answer{reply, err}
}

// apply handles a request and returns the reply after the new state has been
// written to disk. A chosen entry is applied to the local copy even if the write
// fails; the next confirming read learns it again.
func (c *Controller) apply(r register.Request) (register.Reply, error) {
	effect := c.state.Handle(r)
	chosen, isLearn := r.(register.Learn)
	if isLearn {
		defer c.applyChosen(chosen.Entry)
	}
	if c.config.Folder != nil {
		if err := c.makeDurable(effect); err != nil {
			c.log.Error("Writing the register state failed; changes are refused.", "error", err)
			return nil, status.Error(codes.Unavailable, "the register state could not be written to disk")
		}
	}
	c.state = effect.State
	return effect.Reply, nil
}

// makeDurable writes the state of an effect, or syncs the one that was read at the start,
// which a reply may report.
func (c *Controller) makeDurable(effect register.Effect) error {
	var err error
	switch {
	case effect.Persist:
		err = writeState(c.config.Folder, effect.State)
	case !c.stateSynced:
		err = c.config.Folder.Sync()
	}
	c.stateSynced = c.stateSynced || err == nil
	return err
}

// confirmFirstCopy starts or retries a read as soon as the first value has been
// learned, because the voters can now leave that value out of their replies.
func (c *Controller) confirmFirstCopy(confirmTimer *time.Timer) {
	switch {
	case !c.isUnconfirmed():
	case c.current == nil:
		confirmTimer.Reset(0)
	case c.current.change == nil:
		c.retryOperation()
	}
}

// applyChosen passes a chosen entry to the proposer and the local copy.
func (c *Controller) applyChosen(e register.Entry) {
	if held, _ := c.local.get(); held.IsZero() {
		c.gotFirstCopy = true
	}
	c.proposer.Learn(e)
	c.local.learn(e)
	if c.joinPending && e.Value.HasMember(c.self) {
		c.joinPending = false
		c.log.Info("The new disk counts as a voter.", "identity", c.self.Identity)
	}
}

func (c *Controller) handleReply(r register.Reply) {
	if report, ok := r.(register.Report); ok {
		c.recordDisk(report)
		c.handleSurveyReport(report)
	}
	if c.current == nil {
		return
	}
	c.sendAll(c.proposer.Handle(r))
	c.progress()
}

// sendAll sends requests. It handles requests to this host itself, together
// with the further requests that result from their replies.
func (c *Controller) sendAll(requests []register.OutboundRequest) {
	for len(requests) > 0 {
		s := requests[0]
		requests = requests[1:]
		if s.Host == c.config.Host {
			if reply, err := c.apply(s.Request); err == nil {
				requests = append(requests, c.proposer.Handle(reply)...)
			}
			continue
		}
		c.send(s.Host, s.Request)
	}
}

func (c *Controller) send(host string, r register.Request) {
	if p, ok := r.(register.Prepare); ok && c.current != nil {
		p.Urgent = c.current.urgent
		r = p
	}
	link, ok := c.link(host)
	if !ok || !link.enqueue(r) {
		c.log.Debug("Dropped a register message.", "peer", host)
	}
}

// claimOperation starts an operation unless its caller has left.
func (c *Controller) claimOperation(o *operation) {
	if o.claimed.CompareAndSwap(false, true) {
		c.startOperation(o)
	}
}

// startOperation makes o the current operation and starts its first attempt.
func (c *Controller) startOperation(o *operation) {
	c.current = o
	c.startedAt = c.config.Clock()
	c.failedAttempts = 0
	c.backingOff = false
	c.attemptTimer.Reset(c.retryInterval(o))
	c.proposer.SetPatience(c.readPatience())
	if o.change == nil {
		c.sendAll(c.proposer.Read())
	} else {
		c.sendAll(c.proposer.Change(o.change))
	}
	c.progress()
}

// progress finishes the operation if it has a result, or schedules a retry after
// a random backoff if the attempt was outbid.
func (c *Controller) progress() {
	if r := c.proposer.Result(); r != nil {
		c.finishOperation(*r)
		return
	}
	switch {
	case c.backingOff:
	case c.proposer.Outbid():
		c.backingOff = true
		c.attemptTimer.Reset(c.outbidDelay())
	case c.proposer.Unsettled():
		c.backingOff = true
		c.attemptTimer.Reset(settleInterval/2 + time.Duration(c.config.Random.Int64N(int64(settleInterval))))
	}
}

// readPatience returns the patience of this host's reads. Hosts with a disk complete an
// entry whose proposer has stopped midway, at once just after their start, as all may have
// lost power. Those without a disk are many, and their next reads find it completed.
func (c *Controller) readPatience() int {
	switch {
	case c.config.Folder == nil:
		return register.NeverComplete
	case c.isUnconfirmed():
		return 0
	}
	return diskReadPatience
}

// retryOperation starts another attempt at the current operation, if there is
// one.
func (c *Controller) retryOperation() {
	if c.current == nil {
		return
	}
	c.failedAttempts++
	c.backingOff = false
	c.attemptTimer.Reset(c.retryInterval(c.current))
	c.sendAll(c.proposer.Retry())
	c.progress()
}

// finishOperation learns the resulting entry, completes the operation, and pushes
// the entry to the peers if this operation got it chosen.
func (c *Controller) finishOperation(r register.Result) {
	o := c.current
	c.current = nil
	c.attemptTimer.Stop()
	_, _ = c.apply(register.Learn{Entry: r.Entry}) // apply logs the error; the entry is chosen regardless
	c.local.confirm(r.Entry, c.startedAt)
	o.done <- outcome{entry: r.Entry, err: r.Err}
	if r.Chosen {
		c.pushToPeers(r.Entry)
	}
}

// abandonOperation ends the current operation, whose context is done.
func (c *Controller) abandonOperation() {
	o := c.current
	c.current = nil
	c.attemptTimer.Stop()
	o.done <- outcome{err: o.abandonError(c.proposer.Abandon())}
}

// pushToPeers sends a chosen entry once to every peer, ordered by domain. Lost
// pushes are not repeated.
func (c *Controller) pushToPeers(e register.Entry) {
	for _, l := range c.linksInPushOrder(e.Value.Content) {
		c.send(l.Host, register.Learn{Entry: e})
	}
}

func (c *Controller) linksInPushOrder(content []byte) []*peerLink {
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

// failOperations ends the current operation and all waiting ones because the
// host is stopping. A change that may still take effect ends as undecided.
func (c *Controller) failOperations() {
	if c.current != nil {
		o := c.current
		c.current = nil
		if c.proposer.Abandon() {
			o.done <- outcome{err: o.abandonError(true)}
		} else {
			o.done <- outcome{err: errStopping}
		}
	}
	for {
		select {
		case o := <-c.operations:
			o.done <- outcome{err: errStopping}
		case o := <-c.urgent:
			o.done <- outcome{err: errStopping}
		default:
			return
		}
	}
}
