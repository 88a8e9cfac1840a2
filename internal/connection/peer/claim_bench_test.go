package peer_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// The benchmarks measure the ways of ensuring that a job starts only once that
// docs/design/tickets.md compares. One operation is one claim, for one job.

func BenchmarkClaimByTicket(b *testing.B) {
	issuer := ticket.Issuer{Host: "a1", Incarnation: 1}
	m := ticket.NewMinter(issuer, []byte("key"), time.Hour)
	now := time.Now()
	for b.Loop() {
		if err := m.Check(m.Issue(now), now); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClaimBySyncedRecord(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "records"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	record := make([]byte, 64)
	for b.Loop() {
		if _, err := file.Write(record); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// claimServer answers every claim at once.
type claimServer struct {
	peerpb.UnimplementedPeerServer
}

func (claimServer) Cancel(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{}, nil
}

// BenchmarkClaimByQuorum sends a claim to two hosts at once over loopback and waits
// for both replies. A claimant that is itself one of the three hosts waits, at best,
// for one.
func BenchmarkClaimByQuorum(b *testing.B) {
	var clients []peerpb.PeerClient
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, claimServer{})
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(server.Stop)
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		clients = append(clients, peerpb.NewPeerClient(conn))
	}
	request := &peerpb.CancelRequest{Ticket: "ticket"}
	done := make(chan error, len(clients))
	for b.Loop() {
		for _, c := range clients {
			go func() {
				_, err := c.Cancel(context.Background(), request)
				done <- err
			}()
		}
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		<-done
	}
}
