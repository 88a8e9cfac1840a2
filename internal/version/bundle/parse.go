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

// DigestOf returns the digest of a document.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// ShortDigestLength is the number of digits that Short returns. They are enough to
// make a second content with the same ones infeasible to find by accident.
const ShortDigestLength = 16

// Short returns the first digits of d, for people.
func (d Digest) Short() string {
	return string(d[:min(ShortDigestLength, len(d))])
}

// Parse reads and checks a document. Its error is of type Faults.
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

// parseNode reads the one YAML document that text must hold.
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

// Encode returns b as a document.
func Encode(b Bundle) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(b); err != nil {
		return nil, err
	}
	return out.Bytes(), encoder.Close()
}
