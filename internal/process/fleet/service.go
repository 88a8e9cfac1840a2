package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// service implements fleetpb.FleetServer for the other hosts.
type service struct {
	fleetpb.UnimplementedFleetServer
	node *Node
}

// Exchange implements fleetpb.FleetServer.
func (s *service) Exchange(ctx context.Context, hello *fleetpb.Greeting) (*fleetpb.Greeting, error) {
	s.node.receiveHello(hello)
	return s.node.helloMessage(hello.GetFrom(), max(1, hello.GetHostsDigest())), nil
}

// Announce implements fleetpb.FleetServer.
func (s *service) Announce(_ context.Context, m *fleetpb.Announcements) (*fleetpb.Empty, error) {
	now := time.Now()
	for _, a := range m.GetAnnouncements() {
		s.node.recordForwarded(announcementFrom(a, now))
	}
	return &fleetpb.Empty{}, nil
}

// recordForwarded records an announcement that another host forwarded.
func (n *Node) recordForwarded(a Announcement) {
	if n.announcements.record(a) {
		n.postToPools(a)
	}
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
func (s *service) Targets(context.Context, *fleetpb.Empty) (*fleetpb.Announcements, error) {
	now := time.Now()
	m := &fleetpb.Announcements{}
	for _, a := range s.node.announcements.recent(now) {
		m.Announcements = append(m.Announcements, announcementMessage(a, now))
	}
	return m, nil
}

// Submit implements fleetpb.FleetServer.
func (s *service) Submit(ctx context.Context, m *fleetpb.JobRequest) (*fleetpb.JobReply, error) {
	s.node.recordLosses(m.GetLosses())
	if isLate(m, time.Now()) {
		s.node.log.Warn("A job arrived late and is refused.", "job", m.GetId(), "peer", m.GetSender(), "submission", m.GetSubmission(),
			"late_ms", ownClock(time.Now())-m.GetStartUntilMs())
		return replyMessage(refusalAnswer(failure.New(failure.NotReady, "the job was under way for too long"))), nil
	}
	ctx, end, ok := s.node.submissions.begin(ctx, submissionID{m.GetSender(), m.GetSenderIncarnation(), m.GetSubmission()})
	if !ok {
		s.node.log.Info("A job arrived after its withdrawal.", "job", m.GetId(), "peer", m.GetSender(), "submission", m.GetSubmission())
		return nil, status.Error(codes.Canceled, "the submission was withdrawn")
	}
	defer end()
	reply := replyMessage(s.node.submitLocally(ctx, m.GetPool(), jobFrom(m, time.Now()), m.GetSender()))
	reply.Losses = s.node.lossMessages(m.GetId(), time.Now())
	s.node.setLoad(reply, m.GetPool())
	return reply, nil
}

// HandOver implements fleetpb.FleetServer.
func (s *service) HandOver(ctx context.Context, m *fleetpb.PoolState) (*fleetpb.Claim, error) {
	if !s.node.config.Self.Entry || s.node.leaving.Load() {
		return nil, status.Error(codes.FailedPrecondition, "this host is stopping or accepts no jobs")
	}
	if s.node.awaitsEvacuations() {
		return nil, status.Error(codes.FailedPrecondition, "this host does not know yet which domains are evacuated")
	}
	id, err := shards.ParsePool(m.GetPool())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
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
