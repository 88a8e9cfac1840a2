// Package peertls loads the transport credentials of the connections between entry
// hosts. With certificates, each end verifies that the certificate of the other end is
// signed by the configured authority. Without certificates, connections are plain TCP.
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

// Credentials holds the credentials of the two ends of a connection.
type Credentials struct {
	Client credentials.TransportCredentials
	Server credentials.TransportCredentials
}

// Load reads the files named in the settings. The certificate of a host must contain
// the IP address that its peers dial. An error names the setting of the faulty file.
// Empty settings give credentials for plain TCP.
func Load(s settings.TLS) (Credentials, error) {
	if s == (settings.TLS{}) {
		return Credentials{Client: insecure.NewCredentials(), Server: insecure.NewCredentials()}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return Credentials{}, oops.In("peertls").Wrapf(err, "tls.cert_file or tls.key_file")
	}
	caPEM, err := os.ReadFile(s.CAFile)
	if err != nil {
		return Credentials{}, oops.In("peertls").Wrapf(err, "tls.ca_file")
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(caPEM) {
		return Credentials{}, oops.In("peertls").Errorf("tls.ca_file: %q holds no certificate", s.CAFile)
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      caPool,
		ClientCAs:    caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return Credentials{Client: credentials.NewTLS(config), Server: credentials.NewTLS(config)}, nil
}
