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

// Backend answers the requests of other hosts.
type Backend interface {
	// SubmitLocal submits a job whose ticket this host issued and returns its answer.
	SubmitLocal(ctx context.Context, spec *job.Spec) *job.Answer
	// SubmitSpilled submits a job of another failure domain and returns its answer.
	SubmitSpilled(ctx context.Context, spec *job.Spec) *job.Answer
	// CancelLocal cancels the job of a ticket that this host issued.
	CancelLocal(ctx context.Context, ticket string) error
	// Adopt takes over the records of a drained host and reports whether it did.
	Adopt(ctx context.Context, r *peerpb.HandOnRequest) bool
	// AuditEntries returns the audit entries from the given index on, as JSON.
	AuditEntries(ctx context.Context, from uint64) ([][]byte, error)
	// Merge records what another host knows and returns what this host knows.
	Merge(m *peerpb.ExchangeMessage) *peerpb.ExchangeMessage
}

// Server implements the gRPC service for the other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer
	backend Backend
}

// Register registers the service for other entry hosts and the health service that
// their probes use.
func Register(server *grpc.Server, backend Backend) {
	peerpb.RegisterPeerServer(server, NewServer(backend))
	healthpb.RegisterHealthServer(server, health.NewServer())
}

// NewServer returns a Server that answers from backend.
func NewServer(backend Backend) *Server { return &Server{backend: backend} }

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return submitJSON(ctx, r.GetSpec(), s.backend.SubmitLocal)
}

// Spill implements peerpb.PeerServer.
func (s *Server) Spill(ctx context.Context, r *peerpb.SpillRequest) (*peerpb.ForwardReply, error) {
	return submitJSON(ctx, r.GetSpec(), s.backend.SubmitSpilled)
}

// submitJSON parses a job in JSON, submits it and returns the answer as JSON. A job
// that does not parse is answered with the refusal.
func submitJSON(ctx context.Context, body []byte, submit func(context.Context, *job.Spec) *job.Answer) (*peerpb.ForwardReply, error) {
	var a *job.Answer
	spec, err := job.Parse(body)
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
