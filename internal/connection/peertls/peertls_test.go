package peertls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/peertls"
	"wasabifield.example/wasabifield/internal/process/settings"
)

// authority signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate, key, write(t, "ca.pem", "CERTIFICATE", der)}
}

// settings returns the files of a host that a vouches for. The host trusts
// only trusted.
func (a authority) settings(t *testing.T, trusted authority) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{
		CertFile: write(t, "cert.pem", "CERTIFICATE", der),
		KeyFile:  write(t, "key.pem", "EC PRIVATE KEY", private),
		CAFile:   trusted.file,
	}
}

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
	own, other := newAuthority(t), newAuthority(t)
	good := own.settings(t, own)
	cases := map[string]struct {
		client, server settings.TLS
		want           codes.Code
	}{
		"plain":                   {settings.TLS{}, settings.TLS{}, codes.Unimplemented},
		"same authority":          {good, good, codes.Unimplemented},
		"plain client":            {settings.TLS{}, good, codes.Unavailable},
		"plain server":            {good, settings.TLS{}, codes.Unavailable},
		"client of another":       {other.settings(t, own), good, codes.Unavailable},
		"server of another":       {good, other.settings(t, own), codes.Unavailable},
		"client trusts another":   {own.settings(t, other), good, codes.Unavailable},
		"server trusts another's": {good, own.settings(t, other), codes.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(call(t, c.client, c.server)).To(Equal(c.want))
		})
	}
}

func TestFaultNamesTheSetting(t *testing.T) {
	g := NewWithT(t)
	good := newAuthority(t)
	s := good.settings(t, good)
	_, err := peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: "missing", CAFile: s.CAFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.key_file")))
	_, err = peertls.Load(settings.TLS{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.KeyFile})
	g.Expect(err).To(MatchError(ContainSubstring("tls.ca_file")))
}
