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

// call makes one call over a connection whose ends have the given settings. The server
// implements no method, so a working connection returns Unimplemented.
func call(t *testing.T, client, server settings.TLS) codes.Code {
	t.Helper()
	clientCredentials, err := peertls.Load(client)
	if err != nil {
		t.Fatal(err)
	}
	serverCredentials, err := peertls.Load(server)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(serverCredentials.Server))
	go func() { _ = s.Serve(listener) }()
	defer s.Stop()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(clientCredentials.Client))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = peerpb.NewPeerClient(conn).Exchange(ctx, &peerpb.ExchangeMessage{})
	return status.Code(err)
}

func TestBothEndsMustHoldACertificateOfTheSameAuthority(t *testing.T) {
	authority, otherAuthority := certificate.NewAuthority(t), certificate.NewAuthority(t)
	validFiles := authority.IssueHostFiles(t, authority)
	cases := map[string]struct {
		client, server settings.TLS
		want           codes.Code
	}{
		"plain":                   {settings.TLS{}, settings.TLS{}, codes.Unimplemented},
		"same authority":          {validFiles, validFiles, codes.Unimplemented},
		"plain client":            {settings.TLS{}, validFiles, codes.Unavailable},
		"plain server":            {validFiles, settings.TLS{}, codes.Unavailable},
		"client of another":       {otherAuthority.IssueHostFiles(t, authority), validFiles, codes.Unavailable},
		"server of another":       {validFiles, otherAuthority.IssueHostFiles(t, authority), codes.Unavailable},
		"client trusts another":   {authority.IssueHostFiles(t, otherAuthority), validFiles, codes.Unavailable},
		"server trusts another's": {validFiles, authority.IssueHostFiles(t, otherAuthority), codes.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(call(t, c.client, c.server)).To(Equal(c.want))
		})
	}
}

func TestALoadErrorNamesTheSetting(t *testing.T) {
	g := NewWithT(t)
	authority := certificate.NewAuthority(t)
	s := authority.IssueHostFiles(t, authority)
	_, err := peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: "missing", CAFile: s.CAFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.key_file")))
	_, err = peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.KeyFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.ca_file")))
}
