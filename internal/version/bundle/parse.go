package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

// Digest is the SHA-256 of a document's exact bytes, in lower-case hex.
type Digest string

// DigestOf returns the digest of a document's bytes.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// ShortDigestLength is the number of hex digits that Short returns. With 16 digits
// (64 bits) it is infeasible that another document has the same ones by accident.
const ShortDigestLength = 16

// Short returns the first ShortDigestLength digits of d, for display.
func (d Digest) Short() string {
	return string(d[:min(ShortDigestLength, len(d))])
}

// Parse decodes and checks a document of at most MaxBytes bytes. Missing fields get the
// values of Default. Its error is of type Faults.
func Parse(text []byte) (Bundle, error) {
	if len(text) > MaxBytes {
		return Bundle{}, documentFault(fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	root, err := parseNode(text)
	if err != nil {
		return Bundle{}, err
	}
	if faults := inspect(root); len(faults) > 0 {
		return Bundle{}, faults
	}
	b := Default()
	if err := root.Decode(&b); err != nil {
		return Bundle{}, documentFault(err.Error(), "a bundle in YAML")
	}
	if err := b.Check(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

// parseNode decodes text, which must contain exactly one YAML document.
func parseNode(text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root, more yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, documentFault(err.Error(), "a bundle in YAML")
	}
	if err := decoder.Decode(&more); !errors.Is(err, io.EOF) {
		return nil, documentFault("more than one YAML document", "one YAML document")
	}
	return root.Content[0], nil
}

func documentFault(value, allowed string) Faults {
	return Faults{{Field: "bundle", Value: value, Allowed: allowed}}
}

// Encode returns b as a YAML document with all fields.
func Encode(b Bundle) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(b); err != nil {
		return nil, err
	}
	return out.Bytes(), encoder.Close()
}
