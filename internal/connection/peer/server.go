package peer

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/request/job"
)

// Backend is the part of the host that other hosts reach.
type Backend interface {
	// SubmitLocal returns the answer to a job whose ticket this host issued.
	SubmitLocal(ctx context.Context, spec *job.Spec) *job.Answer
	// CancelLocal withdraws the job of a ticket that this host issued.
	CancelLocal(ticket string) error
	// Merge takes in what another host knows and returns what this one knows.
	Merge(m *peerpb.ExchangeMessage) *peerpb.ExchangeMessage
}

// Server answers other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer
	backend Backend
}

// NewServer returns a Server.
func NewServer(backend Backend) *Server { return &Server{backend: backend} }

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	spec, err := job.Parse(r.GetSpec())
	var answer *job.Answer
	if err != nil {
		answer = job.Refuse(err)
	} else {
		answer = s.backend.SubmitLocal(ctx, spec)
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.ForwardReply{Answer: text}, nil
}

// Cancel implements peerpb.PeerServer.
func (s *Server) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if err := s.backend.CancelLocal(r.GetTicket()); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.CancelReply{}, nil
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, m *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	return s.backend.Merge(m), nil
}
