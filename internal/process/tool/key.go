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
	keyType        = "PRIVATE KEY" // PEM type of PKCS #8
	operatorHeader = "Operator"    // PEM header with the operator's name
)

// operatorKey is an operator's name and private key.
type operatorKey struct {
	name string
	key  ed25519.PrivateKey
}

var errNoKey = errors.New("is not an operator's key as keygen writes it")

// loadKey reads a key file written by keygen.
func loadKey(file string) (operatorKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return operatorKey{}, usageError{err}
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != keyType || block.Headers[operatorHeader] == "" {
		return operatorKey{}, usageError{fmt.Errorf("%s: %w", file, errNoKey)}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return operatorKey{}, usageError{fmt.Errorf("%s: %w", file, errNoKey)}
	}
	return operatorKey{name: block.Headers[operatorHeader], key: key}, nil
}

// encode returns the key as a PEM file.
func (k operatorKey) encode() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k.key)
	if err != nil {
		return nil, err
	}
	block := &pem.Block{Type: keyType, Headers: map[string]string{operatorHeader: k.name}, Bytes: der}
	return pem.EncodeToMemory(block), nil
}
