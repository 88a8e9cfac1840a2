package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
)

const (
	withdrawTimeout    = 250 * time.Millisecond // of one attempt; the connection is replaced after two
	withdrawRetryDelay = 50 * time.Millisecond  // after an attempt that failed at once
	// withdrawFor is how long a submission's holder is told of its withdrawal. A holder that
	// hears nothing from this host for that long has withdrawn the submission itself.
	withdrawFor = 3 * time.Second
)

// withdrawals are the submissions of this host that it has given up and whose holder has
// not confirmed it yet.
type withdrawals struct {
	mu      sync.Mutex
	pending map[string][]withdrawal // by the holder's address; missing if nothing is being sent there
}

type withdrawal struct {
	number    uint64
	job       string
	givenUpAt time.Time
}

// withdrawSubmission tells a holder that a submission was given up. It doesn't wait for the
// answer.
func (n *Node) withdrawSubmission(address string, link *hostlink.Link, w withdrawal) {
	n.withdrawals.mu.Lock()
	defer n.withdrawals.mu.Unlock()
	_, sending := n.withdrawals.pending[address]
	n.withdrawals.pending[address] = append(n.withdrawals.pending[address], w)
	if !sending {
		go n.sendWithdrawals(address, link)
	}
}

// sendWithdrawals sends the withdrawals that are pending for a holder until none is left.
func (n *Node) sendWithdrawals(address string, link *hostlink.Link) {
	for {
		batch := n.pendingWithdrawals(address, n.now())
		if len(batch) == 0 {
			return
		}
		m := &fleetpb.Withdrawal{Sender: n.config.Self.Address, SenderIncarnation: n.config.Self.Incarnation}
		for _, w := range batch {
			m.Submissions = append(m.Submissions, w.number)
		}
		ctx, cancel := context.WithTimeout(n.runCtx, withdrawTimeout)
		err := link.Exchange(ctx, func(ctx context.Context, conn *hostlink.Conn) error {
			_, err := fleetpb.NewFleetClient(conn).Withdraw(ctx, m)
			return err
		})
		cancel()
		switch status.Code(err) {
		case codes.OK:
			n.removeWithdrawals(address, batch)
		case codes.Unimplemented: // a host of a former release
			n.removeWithdrawals(address, batch)
			n.log.Info("A host reads no withdrawals.", "peer", address, "submissions", len(batch))
		case codes.DeadlineExceeded: // has taken long enough
		default:
			select {
			case <-n.runCtx.Done():
			case <-time.After(withdrawRetryDelay):
			}
		}
	}
}

// pendingWithdrawals returns the withdrawals that are to be sent to a holder, without those
// that were not confirmed in time.
func (n *Node) pendingWithdrawals(address string, now time.Time) []withdrawal {
	n.withdrawals.mu.Lock()
	defer n.withdrawals.mu.Unlock()
	pending := slices.DeleteFunc(n.withdrawals.pending[address], func(w withdrawal) bool {
		expired := now.Sub(w.givenUpAt) > withdrawFor || n.runCtx.Err() != nil
		if expired {
			n.log.Warn("The withdrawal of a job was not confirmed.", "job", w.job, "peer", address, "submission", w.number, "age", now.Sub(w.givenUpAt))
		}
		return expired
	})
	n.withdrawals.pending[address] = pending
	if len(pending) == 0 {
		delete(n.withdrawals.pending, address)
	}
	return slices.Clone(pending)
}

func (n *Node) removeWithdrawals(address string, sent []withdrawal) {
	n.withdrawals.mu.Lock()
	defer n.withdrawals.mu.Unlock()
	n.withdrawals.pending[address] = n.withdrawals.pending[address][len(sent):] // new ones are appended
}
