package peertls_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/peertls"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/certificate"
)

// call makes one call over a link with the given settings at its ends. The
// server knows no method, so a link that works answers Unimplemented.
func call(t *testing.T, client, server settings.TLS) codes.Code {
	t.Helper()
	near, err := peertls.Load(client)
	if err != nil {
		t.Fatal(err)
	}
	far, err := peertls.Load(server)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(far.Server))
	go func() { _ = s.Serve(listener) }()
	defer s.Stop()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(near.Client))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = peerpb.NewPeerClient(conn).Exchange(ctx, &peerpb.ExchangeMessage{})
	return status.Code(err)
}

func TestBothEndsMustBeVouchedFor(t *testing.T) {
	own, other := certificate.NewAuthority(t), certificate.NewAuthority(t)
	good := own.Files(t, own)
	cases := map[string]struct {
		client, server settings.TLS
		want           codes.Code
	}{
		"plain":                   {settings.TLS{}, settings.TLS{}, codes.Unimplemented},
		"same authority":          {good, good, codes.Unimplemented},
		"plain client":            {settings.TLS{}, good, codes.Unavailable},
		"plain server":            {good, settings.TLS{}, codes.Unavailable},
		"client of another":       {other.Files(t, own), good, codes.Unavailable},
		"server of another":       {good, other.Files(t, own), codes.Unavailable},
		"client trusts another":   {own.Files(t, other), good, codes.Unavailable},
		"server trusts another's": {good, own.Files(t, other), codes.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(call(t, c.client, c.server)).To(Equal(c.want))
		})
	}
}

func TestFaultNamesTheSetting(t *testing.T) {
	g := NewWithT(t)
	good := certificate.NewAuthority(t)
	s := good.Files(t, good)
	_, err := peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: "missing", CAFile: s.CAFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.key_file")))
	_, err = peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.KeyFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.ca_file")))
}
