package fleet

import (
	"context"
	"errors"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// maxResends bounds how often a submission is sent again over a new connection.
const maxResends = 8

// outgoing is a submission of this host to the holder of a pool.
type outgoing struct {
	node    *Node
	address string // the holder
	pool    string
	job     scheduler.Job
	number  uint64
	link    *hostlink.Link
}

// send sends the submission over conn and returns the answer. While the connection is silent
// and the holder answers over a new one, the submission is sent again there, under the same
// number and to the same incarnation of the holder, which runs it once. now is when it was last
// known that the caller waits.
func (s outgoing) send(ctx context.Context, conn *hostlink.Conn, now time.Time) (reply *fleetpb.JobReply, err error) {
	receiver := s.node.incarnationOf(s.address)
	err = s.link.CallWithProbes(ctx, conn, func(ctx context.Context) (err error) {
		reply, err = fleetpb.NewFleetClient(conn).Submit(ctx, s.message(now))
		return err
	})
	for resends := 0; errors.Is(err, hostlink.ErrSilent) && receiver != 0 && resends < maxResends; resends++ {
		var ok bool
		if now, ok = s.node.awaitCaller(ctx, s.job); !ok {
			break
		}
		conn = s.link.Current()
		s.node.log.Info("A job is sent again over a new connection.", "job", s.job.ID, "first_task", s.job.FirstTask, "peer", s.address,
			"pool", s.pool, "submission", s.number, "age", s.node.since(s.job.ArrivedAt))
		err = s.link.CallWithProbes(ctx, conn, func(ctx context.Context) (err error) {
			reply, err = fleetpb.NewResubmissionClient(conn).Resubmit(ctx, &fleetpb.ResubmitRequest{Job: s.message(now), ReceiverIncarnation: receiver})
			return err
		})
	}
	return reply, err
}

// message returns the submission as of a time. A pause after that makes it late.
func (s outgoing) message(now time.Time) *fleetpb.JobRequest {
	m := jobMessage(s.job, now)
	m.Pool = s.pool
	m.Sender = s.node.config.Self.Address
	m.Submission, m.SenderIncarnation = s.number, s.node.config.Self.Incarnation
	m.StartUntilMs = s.node.startUntil(s.address, now)
	m.Losses = s.node.lossMessages(s.job.ID, now)
	return m
}
