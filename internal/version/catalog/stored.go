package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"wasabifield.example/wasabifield/internal/version/evacuation"
)

const (
	// compressThreshold is the size above which a document is compressed, bytes. The
	// stored form of a catalog with a dozen queues stays readable. A catalog with
	// thousands of queues is repetitive and shrinks to less than a tenth on every
	// link and disk.
	compressThreshold = 16 << 10
	// maxDocumentBytes is the maximum size of a decompressed document.
	maxDocumentBytes = 16 << 20
)

// Stored is the replicated form of the operators' requests: the catalog's version and
// document, and the evacuations in force. The zero value stands for no catalog and no
// evacuations. Evacuations may be in force while there is no catalog.
type Stored struct {
	Version     uint64
	Document    []byte
	Evacuations evacuation.Set
}

// storedJSON is Stored as it is written: with the document, or with its compressed
// form.
type storedJSON struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	Packed   []byte          `json:"packed,omitempty"` // document compressed with DEFLATE (RFC 1951)

	Evacuations evacuation.Set `json:"evacuations,omitempty"`
}

// DecodeStored decodes the replicated form. Empty content decodes to version 0 with
// no document.
func DecodeStored(content []byte) (Stored, error) {
	text, err := decodeJSON(content)
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Version: text.Version, Document: text.Document, Evacuations: text.Evacuations}
	if text.Packed != nil {
		s.Document, err = decompress(text.Packed)
	}
	return s, err
}

// VersionOf returns the version in a replicated form without decompressing the
// document.
func VersionOf(content []byte) (uint64, error) {
	text, err := decodeJSON(content)
	return text.Version, err
}

func decodeJSON(content []byte) (storedJSON, error) {
	var t storedJSON
	if len(content) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(content, &t); err != nil {
		return t, fmt.Errorf("the replicated catalog cannot be decoded: %w", err)
	}
	return t, nil
}

// ReplaceIfNewer returns the replicated form of next if its version is higher than that
// of current, otherwise current unchanged. A version therefore keeps its first document.
// The evacuations are those of current. It fails if current cannot be decoded.
func ReplaceIfNewer(current []byte, next Stored) ([]byte, error) {
	held, err := decodeJSON(current)
	if err != nil {
		return nil, err
	}
	if next.Version <= held.Version {
		return current, nil
	}
	next.Evacuations = held.Evacuations
	return next.encode()
}

// ChangeEvacuations returns the replicated form of current with the changed evacuations,
// or current itself if change leaves them as they are. The stored document stays byte for
// byte the same. It fails if current cannot be decoded.
func ChangeEvacuations(current []byte, change func(evacuation.Set) evacuation.Set) ([]byte, error) {
	text, err := decodeJSON(current)
	if err != nil {
		return nil, err
	}
	next := change(text.Evacuations)
	if slices.Equal(next, text.Evacuations) {
		return current, nil
	}
	text.Evacuations = next
	return json.Marshal(text)
}

func (s Stored) encode() ([]byte, error) {
	text := storedJSON{Version: s.Version, Document: s.Document, Evacuations: s.Evacuations}
	if len(s.Document) > compressThreshold || !survivesEncoding(s.Document) {
		compressed, err := compress(s.Document)
		if err != nil {
			return nil, err
		}
		text.Document, text.Packed = nil, compressed
	}
	return json.Marshal(text)
}

// survivesEncoding reports whether a document is written byte for byte inside other JSON.
// Package json removes space and escapes some characters; such a document is stored
// compressed, as a read must return what the operator sent.
func survivesEncoding(document []byte) bool {
	written, err := json.Marshal(json.RawMessage(document))
	return err == nil && bytes.Equal(written, document)
}

func compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		err = fmt.Errorf("it is larger than %d bytes", maxDocumentBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("the replicated catalog's document cannot be decompressed: %w", err)
	}
	return document, nil
}
