package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// packAbove is the size from which on a document is compressed, bytes. A
	// catalog of a dozen queues stays readable; one of thousands, which repeats
	// itself, shrinks to less than a tenth on every link and disk.
	packAbove = 16 << 10
	// maxDocument bounds an unpacked document, bytes.
	maxDocument = 16 << 20
)

// Stored is the form in which a catalog is replicated: the operator's document
// under its version.
type Stored struct {
	Version  uint64
	Document []byte
}

// storedText is Stored as it is written: with the document, or with its compressed
// form.
type storedText struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	Packed   []byte          `json:"packed,omitempty"` // by DEFLATE (RFC 1951)
}

// DecodeStored reads the replicated form. No content is version 0.
func DecodeStored(content []byte) (Stored, error) {
	text, err := decodeText(content)
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Version: text.Version, Document: text.Document}
	if text.Packed != nil {
		s.Document, err = unpack(text.Packed)
	}
	return s, err
}

// VersionOf returns the version of a replicated form without reading its document.
func VersionOf(content []byte) (uint64, error) {
	text, err := decodeText(content)
	return text.Version, err
}

func decodeText(content []byte) (storedText, error) {
	var t storedText
	if len(content) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(content, &t); err != nil {
		return t, fmt.Errorf("the replicated catalog cannot be read: %w", err)
	}
	return t, nil
}

// ReplaceIfNewer returns the content after next was offered: next if its version is
// higher, else current unchanged. Offering a catalog again changes nothing.
func ReplaceIfNewer(current []byte, next Stored) ([]byte, error) {
	held, err := VersionOf(current)
	if err != nil {
		return nil, err
	}
	if next.Version <= held {
		return current, nil
	}
	return next.encode()
}

func (s Stored) encode() ([]byte, error) {
	text := storedText{Version: s.Version, Document: s.Document}
	if len(s.Document) > packAbove {
		packed, err := pack(s.Document)
		if err != nil {
			return nil, err
		}
		text.Document, text.Packed = nil, packed
	}
	return json.Marshal(text)
}

func pack(document []byte) ([]byte, error) {
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

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err == nil && len(document) > maxDocument {
		err = fmt.Errorf("it has more than %d bytes", maxDocument)
	}
	if err != nil {
		return nil, fmt.Errorf("the replicated catalog's document cannot be unpacked: %w", err)
	}
	return document, nil
}
