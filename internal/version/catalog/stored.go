package catalog

import (
	"encoding/json"
	"fmt"
)

// Stored is the form in which a catalog is replicated: the operator's document
// under its version.
type Stored struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// DecodeStored reads the replicated form. No content is version 0.
func DecodeStored(content []byte) (Stored, error) {
	var s Stored
	if len(content) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(content, &s); err != nil {
		return s, fmt.Errorf("the replicated catalog cannot be read: %w", err)
	}
	return s, nil
}

// Replace returns the content after next was offered: next if its version is
// higher, else current unchanged. Offering a catalog again changes nothing.
func Replace(current []byte, next Stored) ([]byte, error) {
	held, err := DecodeStored(current)
	if err != nil {
		return nil, err
	}
	if next.Version <= held.Version {
		return current, nil
	}
	return json.Marshal(next)
}
