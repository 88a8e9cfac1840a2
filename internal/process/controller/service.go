package controller

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
)

// service implements the register's gRPC service for peers.
type service struct {
	registerpb.UnimplementedRegisterServer
	controller *Controller
}

// Register adds the register's service to a gRPC server.
func (c *Controller) Register(r grpc.ServiceRegistrar) {
	registerpb.RegisterRegisterServer(r, service{controller: c})
}

// Prepare implements registerpb.RegisterServer.
func (s service) Prepare(ctx context.Context, m *registerpb.PrepareRequest) (*registerpb.PrepareReply, error) {
	reply, err := s.controller.handleRequest(ctx, register.Prepare{To: m.GetTo(), Ballot: m.GetBallot().ToRegister(), Urgent: m.GetUrgent()})
	if err != nil {
		return nil, err
	}
	return registerpb.NewPrepareReply(reply.(register.Promise)), nil
}

// Accept implements registerpb.RegisterServer.
func (s service) Accept(ctx context.Context, m *registerpb.AcceptRequest) (*registerpb.AcceptReply, error) {
	entry, err := decodeEntry(m.GetEntry())
	if err != nil {
		return nil, err
	}
	reply, err := s.controller.handleRequest(ctx, register.Accept{To: m.GetTo(), Entry: entry})
	if err != nil {
		return nil, err
	}
	return registerpb.NewAcceptReply(reply.(register.Acceptance)), nil
}

// Inspect implements registerpb.RegisterServer.
func (s service) Inspect(ctx context.Context, m *registerpb.InspectRequest) (*registerpb.InspectReply, error) {
	inspect := register.Inspect{Ballot: m.GetBallot().ToRegister(), Known: m.GetKnown().ToRegister()}
	reply, err := s.controller.handleRequest(ctx, inspect)
	if err != nil {
		return nil, err
	}
	return registerpb.NewInspectReply(reply.(register.Report)), nil
}

// Learn implements registerpb.RegisterServer.
func (s service) Learn(ctx context.Context, m *registerpb.LearnRequest) (*registerpb.LearnReply, error) {
	entry, err := decodeEntry(m.GetEntry())
	if err != nil {
		return nil, err
	}
	reply, err := s.controller.handleRequest(ctx, register.Learn{Entry: entry})
	if err != nil {
		return nil, err
	}
	return &registerpb.LearnReply{Version: reply.(register.Learned).Version}, nil
}

// Fetch implements registerpb.RegisterServer.
func (s service) Fetch(_ context.Context, m *registerpb.FetchRequest) (*registerpb.FetchReply, error) {
	entry, _ := s.controller.local.get()
	if entry.Value.Version <= m.GetVersion() {
		return &registerpb.FetchReply{}, nil
	}
	return &registerpb.FetchReply{Entry: registerpb.NewEntry(entry)}, nil
}

// decodeEntry converts an entry and rejects one without members, which stands for
// a missing entry.
func decodeEntry(m *registerpb.Entry) (register.Entry, error) {
	entry := m.ToRegister()
	if entry.IsZero() {
		return entry, status.Error(codes.InvalidArgument, "the entry has no members")
	}
	return entry, nil
}
