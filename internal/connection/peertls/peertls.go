// Package peertls makes the transport credentials of links between entry
// hosts. With certificates, both ends prove that the same authority vouches
// for them; without, links are plain TCP.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"wasabifield.example/wasabifield/internal/process/settings"
)

// Credentials are those of the two ends of a link.
type Credentials struct {
	Client credentials.TransportCredentials
	Server credentials.TransportCredentials
}

// Load reads the files that the settings name. Certificates must hold the IP
// number that the peer dials.
func Load(s settings.TLS) (Credentials, error) {
	if s == (settings.TLS{}) {
		return Credentials{Client: insecure.NewCredentials(), Server: insecure.NewCredentials()}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return Credentials{}, oops.In("peertls").Wrapf(err, "tls.cert_file or tls.key_file")
	}
	authority, err := os.ReadFile(s.CAFile)
	if err != nil {
		return Credentials{}, oops.In("peertls").Wrapf(err, "tls.ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Credentials{}, oops.In("peertls").Errorf("tls.ca_file: %q holds no certificate", s.CAFile)
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return Credentials{Client: credentials.NewTLS(config), Server: credentials.NewTLS(config)}, nil
}
