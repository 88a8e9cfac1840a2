package peer

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Backend is the part of the host that other hosts reach.
type Backend interface {
	// SubmitLocal returns the answer to a job whose ticket this host issued.
	SubmitLocal(ctx context.Context, spec *job.Spec) *job.Answer
	// SubmitSpilled returns the answer to a job of another failure domain.
	SubmitSpilled(ctx context.Context, spec *job.Spec) *job.Answer
	// CancelLocal withdraws the job of a ticket that this host issued.
	CancelLocal(ctx context.Context, ticket string) error
	// Adopt takes over the records of a drained host and reports whether it did.
	Adopt(ctx context.Context, r *peerpb.HandOnRequest) bool
	// AuditEntries returns audit entries from an index on, as JSON.
	AuditEntries(ctx context.Context, from uint64) ([][]byte, error)
	// Merge takes in what another host knows and returns what this one knows.
	Merge(m *peerpb.ExchangeMessage) *peerpb.ExchangeMessage
}

// Server answers other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer
	backend Backend
}

// Register makes link answer other entry hosts, their health probes included.
func Register(link *grpc.Server, backend Backend) {
	peerpb.RegisterPeerServer(link, NewServer(backend))
	healthpb.RegisterHealthServer(link, health.NewServer())
}

// NewServer returns a Server.
func NewServer(backend Backend) *Server { return &Server{backend: backend} }

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return answer(ctx, r.GetSpec(), s.backend.SubmitLocal)
}

// Spill implements peerpb.PeerServer.
func (s *Server) Spill(ctx context.Context, r *peerpb.SpillRequest) (*peerpb.ForwardReply, error) {
	return answer(ctx, r.GetSpec(), s.backend.SubmitSpilled)
}

// answer submits a job in JSON form and returns its answer in JSON form.
func answer(ctx context.Context, text []byte, submit func(context.Context, *job.Spec) *job.Answer) (*peerpb.ForwardReply, error) {
	var a *job.Answer
	spec, err := job.Parse(text)
	if err != nil {
		a = job.ErrorAnswer(err)
	} else {
		a = submit(ctx, spec)
	}
	reply, err := json.Marshal(a)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.ForwardReply{Answer: reply}, nil
}

// Cancel implements peerpb.PeerServer.
func (s *Server) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	reply := &peerpb.CancelReply{}
	if err := s.backend.CancelLocal(ctx, r.GetTicket()); err != nil {
		reply.Refusal = string(failure.KindOf(err))
		reply.Message = err.Error()
	}
	return reply, nil
}

// HandOn implements peerpb.PeerServer.
func (s *Server) HandOn(ctx context.Context, r *peerpb.HandOnRequest) (*peerpb.HandOnReply, error) {
	return &peerpb.HandOnReply{Adopted: s.backend.Adopt(ctx, r)}, nil
}

// AuditEntries implements peerpb.PeerServer.
func (s *Server) AuditEntries(ctx context.Context, r *peerpb.AuditRequest) (*peerpb.AuditReply, error) {
	entries, err := s.backend.AuditEntries(ctx, r.GetFrom())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerpb.AuditReply{Entries: entries}, nil
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, m *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	return s.backend.Merge(m), nil
}
