package fleet

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// service implements fleetpb.FleetServer and fleetpb.ResubmissionServer for the other hosts.
type service struct {
	fleetpb.UnimplementedFleetServer
	fleetpb.UnimplementedResubmissionServer
	node *Node
}

// Exchange implements fleetpb.FleetServer.
func (s *service) Exchange(ctx context.Context, hello *fleetpb.Greeting) (*fleetpb.Greeting, error) {
	s.node.receiveHello(hello)
	return s.node.helloMessage(hello.GetFrom(), max(1, hello.GetHostsDigest())), nil
}

// Announce implements fleetpb.FleetServer.
func (s *service) Announce(_ context.Context, m *fleetpb.Announcements) (*fleetpb.Empty, error) {
	madeAt := timeOfMessage(m.GetMadeAtMs(), s.node.now())
	for _, a := range m.GetAnnouncements() {
		s.node.recordForwarded(announcementFrom(a, madeAt))
	}
	return &fleetpb.Empty{}, nil
}

// recordForwarded records an announcement that another host forwarded.
func (n *Node) recordForwarded(a Announcement) {
	if n.recordIfUsable(a) {
		n.postToPools(a)
	}
}

// recordIfUsable records an announcement that another host passed on, and reports whether it
// is newer than the recorded one. One that no target can have sent is dropped.
func (n *Node) recordIfUsable(a Announcement) bool {
	if err := a.Check(); err != nil {
		n.log.Warn("An announcement from another host was dropped.", "target", logging.Clip(a.Target.ID), "reason", err.Error())
		return false
	}
	return n.announcements.record(a)
}

// postToPools posts an announcement to those of this host's pools that contain its
// target.
func (n *Node) postToPools(a Announcement) {
	for _, p := range n.listPools() {
		if p.contains(a.Target.ID, a.Target.Domain) {
			p.post(announcementEvent{a})
		}
	}
}

// Targets implements fleetpb.FleetServer.
func (s *service) Targets(_ context.Context, r *fleetpb.TargetsRequest) (*fleetpb.Announcements, error) {
	isAskedFor := func(scheduler.Target) bool { return true }
	if c := r.GetClaim(); c != nil {
		id, err := shards.ParsePool(c.GetPool())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		s.node.receiveClaim(c)
		isAskedFor = func(t scheduler.Target) bool {
			return t.Domain == id.Domain && shards.ShardOf(t.ID, max(1, int(c.GetParts()))) == id.Shard
		}
	}
	now := s.node.now()
	m := &fleetpb.Announcements{}
	for _, a := range s.node.announcements.recent(now) {
		if isAskedFor(a.Target) {
			m.Announcements = append(m.Announcements, announcementMessage(a, now))
		}
	}
	return m, nil
}

// Submit implements fleetpb.FleetServer.
func (s *service) Submit(ctx context.Context, m *fleetpb.JobRequest) (*fleetpb.JobReply, error) {
	s.node.recordLosses(m.GetLosses())
	now := s.node.now()
	sub, first, err := s.node.submissions.join(ctx, submissionID{m.GetSender(), m.GetSenderIncarnation(), m.GetSubmission()}, isLate(m.GetStartUntilMs(), now), now)
	if err != nil {
		s.node.log.Warn("A job of another host was not accepted.", "job", m.GetId(), "peer", m.GetSender(), "submission", m.GetSubmission(),
			"late_ms", ownClock(now)-m.GetStartUntilMs(), "reason", err.Error())
		if errors.Is(err, errSubmissionLate) {
			return replyMessage(refusalAnswer(err)), nil
		}
		return nil, err
	}
	if first {
		go s.node.runSubmission(sub, m)
	} else {
		s.node.log.Info("A job came again.", "job", m.GetId(), "peer", m.GetSender(), "submission", m.GetSubmission())
	}
	select {
	case <-sub.done:
		return sub.reply, nil
	case <-ctx.Done():
		s.node.submissions.leave(sub)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Resubmit implements fleetpb.ResubmissionServer.
func (s *service) Resubmit(ctx context.Context, m *fleetpb.ResubmitRequest) (*fleetpb.JobReply, error) {
	if m.GetReceiverIncarnation() != s.node.config.Self.Incarnation || m.GetJob().GetSubmission() == 0 {
		return nil, errNotReceiver
	}
	return s.Submit(ctx, m.GetJob())
}

// runSubmission runs the job of a submission.
func (n *Node) runSubmission(sub *submission, m *fleetpb.JobRequest) {
	reply := replyMessage(n.submitForwarded(withStartUntil(sub.ctx, m.GetStartUntilMs()), m))
	reply.Losses = n.lossMessages(m.GetId(), n.now())
	n.setLoad(reply, m.GetPool())
	n.submissions.finish(sub, reply, n.now())
}

// submitForwarded runs a job that another host forwarded, or refuses one that no host of this
// release would forward.
func (n *Node) submitForwarded(ctx context.Context, m *fleetpb.JobRequest) scheduler.Answer {
	j := jobOfSubmission(m, n.now())
	if err := j.Check(); err != nil {
		n.log.Warn("A job of another host was refused.", "job", j.ID, "peer", m.GetSender(), "reason", err.Error())
		return refusalAnswer(err)
	}
	return n.submitLocally(ctx, m.GetPool(), j, m.GetSender())
}

// jobOfSubmission returns the job of a submission. The deadline of one that has waited for longer
// than maxClockError counts from when it was sent.
func jobOfSubmission(m *fleetpb.JobRequest, now time.Time) scheduler.Job {
	j := jobFrom(m, now)
	if m.GetStartUntilMs() == 0 {
		return j
	}
	sentAt := timeOfMessage(m.GetStartUntilMs()-uint64(submissionValidity.Milliseconds()), now)
	if waited := now.Sub(sentAt); waited > maxClockError {
		j.Deadline = j.Deadline.Add(-waited)
	}
	return j
}

// HandOver implements fleetpb.FleetServer.
func (s *service) HandOver(ctx context.Context, m *fleetpb.PoolState) (*fleetpb.Claim, error) {
	if !s.node.config.Self.Entry {
		return nil, status.Error(codes.FailedPrecondition, "this host accepts no jobs")
	}
	id, err := shards.ParsePool(m.GetPool())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if m.GetFencingToken() > maxToken {
		return nil, status.Error(codes.InvalidArgument, "no claim has this token")
	}
	return s.node.openPool(id).receivePool(ctx, m)
}

func replyMessage(a scheduler.Answer) *fleetpb.JobReply {
	return &fleetpb.JobReply{
		Outcome: uint32(a.Outcome), Kind: string(a.Kind), Reason: a.Reason,
		RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), Pools: a.Pools, Holder: a.Holder, Handed: a.HandedOver,
	}
}

func answerFrom(m *fleetpb.JobReply) scheduler.Answer {
	return scheduler.Answer{
		Outcome: scheduler.Outcome(m.GetOutcome()), Kind: failure.Kind(m.GetKind()), Reason: m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond, Pools: m.GetPools(), Holder: m.GetHolder(), HandedOver: m.GetHanded(),
	}
}
