package tool

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

const (
	privateKeyPEMType = "PRIVATE KEY" // PEM type of PKCS #8
	operatorPEMHeader = "Operator"    // PEM header with the operator's name
)

// operatorKey holds an operator's name and private key.
type operatorKey struct {
	name       string
	privateKey ed25519.PrivateKey
}

var errInvalidKeyFile = errors.New("is not an operator's key as keygen writes it")

// loadKey reads a key file written by keygen. Its errors are usage errors.
func loadKey(file string) (operatorKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return operatorKey{}, usageError{err}
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != privateKeyPEMType || block.Headers[operatorPEMHeader] == "" {
		return operatorKey{}, usageError{fmt.Errorf("%s: %w", file, errInvalidKeyFile)}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return operatorKey{}, usageError{fmt.Errorf("%s: %w", file, errInvalidKeyFile)}
	}
	return operatorKey{name: block.Headers[operatorPEMHeader], privateKey: key}, nil
}

// encode returns the content of a key file: the key in PKCS #8 as PEM, with the
// operator's name in a header.
func (k operatorKey) encode() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k.privateKey)
	if err != nil {
		return nil, err
	}
	block := &pem.Block{Type: privateKeyPEMType, Headers: map[string]string{operatorPEMHeader: k.name}, Bytes: der}
	return pem.EncodeToMemory(block), nil
}
