package controller

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
)

// urgentYield is how long a host begins no attempt of its own after another host has
// begun one at an urgent change: the time for a few rounds of disk writes.
const urgentYield = 150 * time.Millisecond

// ChangeUrgently is Change for rare changes that must not wait for frequent ones: it goes
// before the other operations of this host, and the other hosts leave it time to finish.
// Otherwise a steady series of changes at another host may outbid it for long: completing
// a change of the series lets that host begin the next one, with the shortest backoff.
func (c *Controller) ChangeUrgently(ctx context.Context, f func(current []byte) (next []byte, err error)) ([]byte, error) {
	o := newOperation(ctx, c.contentChange(ctx, f))
	o.urgent = true
	entry, err := c.runQueued(o)
	return entry.Value.Content, err
}

// nextQueues returns the channels that the next operation is taken from: none while one
// is in progress, and only the urgent one while an urgent operation waits or another host
// is left time for one. attemptTimer fires when that time is over.
func (c *Controller) nextQueues() (operations, urgent <-chan *operation) {
	if c.current != nil {
		return nil, nil
	}
	yield := c.remainingYield()
	if yield > 0 {
		c.attemptTimer.Reset(yield)
	}
	if yield > 0 || len(c.urgent) > 0 {
		return nil, c.urgent
	}
	return c.operations, c.urgent
}

// remainingYield returns for how long this host still begins no attempt, because another
// host has begun one at an urgent change.
func (c *Controller) remainingYield() time.Duration {
	return max(0, c.yieldUntil.Sub(c.config.Clock()))
}

// outbidDelay returns how long to wait until an attempt at the current operation that was
// outbid is retried.
func (c *Controller) outbidDelay() time.Duration {
	delay := register.Backoff(c.failedAttempts, c.config.Random)
	if c.current.urgent {
		return delay
	}
	return delay + c.remainingYield()
}
