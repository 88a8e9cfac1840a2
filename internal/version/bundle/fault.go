package bundle

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a bundle.
type Fault struct {
	Field   string `json:"field"`   // path of the field, such as teams[2].queued
	Value   string `json:"value"`   // what the document holds
	Allowed string `json:"allowed"` // what it may hold
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: is %q, must be %s", f.Field, f.Value, f.Allowed)
}

// Faults is the error of a document that is no valid bundle.
type Faults []Fault

// Error implements error: one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// err returns f as an error, nil if it is empty.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
