// Package certificate issues the TLS certificates with which tests secure the
// links between hosts. Only tests use it.
package certificate

import (
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

	"wasabifield.example/wasabifield/internal/process/settings"
)

const validity = time.Hour

// Authority is a certificate authority that signs the certificates of one test.
type Authority struct {
	CertificateFile string // path of the authority's own certificate, PEM
	certificate     *x509.Certificate
	key             *ecdsa.PrivateKey
}

// NewAuthority returns an Authority with a new key and a self-signed
// certificate. An error fails t.
func NewAuthority(t *testing.T) Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	certificate, err := x509.ParseCertificate(der)
	check(t, err)
	return Authority{write(t, "ca.pem", "CERTIFICATE", der), certificate, key}
}

// IssueHostFiles writes a key and a certificate signed by a for a host at
// 127.0.0.1 and returns their paths as settings. The host accepts only
// certificates signed by trusted. An error fails t.
func (a Authority) IssueHostFiles(t *testing.T, trusted Authority) settings.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(validity),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	check(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	check(t, err)
	return settings.TLS{
		CertFile: write(t, "cert.pem", "CERTIFICATE", der),
		KeyFile:  write(t, "key.pem", "EC PRIVATE KEY", private),
		CAFile:   trusted.CertificateFile,
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
