package fleet

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// A submission may wait in the buffers of a connection until a cut between two hosts ends.
// Its sender has given it up by then, and no message that is sent after it is sure to arrive
// before it. It therefore carries the time on its holder's clock until which it may start. The
// state of a pool and the announcements of targets carry the time at which they were made in the
// same way: what their receiver may assume of callers and targets counts from then, however long
// the message has waited.

// submissionValidity is how long a submission may be under way. Its sender first probes the
// connection after dialTimeout, and waits as long for the answer.
const submissionValidity = 2 * dialTimeout

// clockReadingAge is how long a reading of another host's clock is kept although a later one
// is behind it, because its message was under way for longer. Clocks drift apart meanwhile.
const clockReadingAge = 10 * time.Second

// maxClockError is how far another host's estimate of this host's clock may be off: the clocks of
// two hosts drift apart between two readings, and the messages that tell them may be late.
const maxClockError = 100 * time.Millisecond

// hostClock is a reading of another host's clock: at the time at, or before, it was millis.
type hostClock struct {
	incarnation uint64
	millis      uint64
	at          time.Time
}

// estimate returns the least that the clock reads at a time. It is negative, as an int64, before
// the start of the host's process.
func (c hostClock) estimate(at time.Time) uint64 {
	return c.millis + uint64(at.Sub(c.at).Milliseconds())
}

// ownClock returns this host's clock, which other hosts receive with hello messages.
func ownClock(now time.Time) uint64 { return uint64(monotonicMillis(now)) + 1 }

// timeOfMessage returns when a message was made that names the time on this host's clock, or
// earlier. Hosts of former releases name none.
func timeOfMessage(millis uint64, now time.Time) time.Time {
	if millis == 0 {
		return now
	}
	if madeAt := timeOfOwnClock(millis); madeAt.Before(now) {
		return madeAt
	}
	return now
}

// timeOfOwnClock is the inverse of ownClock.
func timeOfOwnClock(millis uint64) time.Time {
	return processStart.Add(time.Duration(int64(millis)-1) * time.Millisecond)
}

// recordClock records the clock of the sender of a hello message. The caller holds the lock.
func (n *Node) recordClock(hello *fleetpb.Greeting, now time.Time) {
	address, read := hello.GetFrom().GetAddress(), hostClock{hello.GetFrom().GetIncarnation(), hello.GetClockMs(), now}
	if read.millis == 0 {
		delete(n.clocks, address) // of a former release
		return
	}
	known, ok := n.clocks[address]
	wasDelayed := ok && known.incarnation == read.incarnation && now.Sub(known.at) < clockReadingAge && known.estimate(now) > read.millis
	if !wasDelayed {
		n.clocks[address] = read
	}
}

// startUntil returns the time on another host's clock until which a submission that is sent
// to it now may start; 0 if its clock is not known.
func (n *Node) startUntil(address string, now time.Time) uint64 {
	return n.clockOf(address, now.Add(submissionValidity))
}

// clockOf returns the least that another host's clock reads at a time; 0 if its clock is not
// known.
func (n *Node) clockOf(address string, at time.Time) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.clocks[address]
	if !ok {
		return 0
	}
	return c.estimate(at)
}

var errSubmissionLate = failure.New(failure.NotReady, "the job was under way for too long")

// isLate reports whether the time until which a submission may start is over.
func isLate(startUntil uint64, now time.Time) bool {
	return startUntil != 0 && ownClock(now) > startUntil
}

type startUntilKey struct{}

// withStartUntil adds the time until which a submission may start to the context of its call.
func withStartUntil(ctx context.Context, startUntil uint64) context.Context {
	return context.WithValue(ctx, startUntilKey{}, startUntil)
}

// startUntilFrom returns the time that withStartUntil has added, 0 if there is none.
func startUntilFrom(ctx context.Context) uint64 {
	startUntil, _ := ctx.Value(startUntilKey{}).(uint64)
	return startUntil
}
