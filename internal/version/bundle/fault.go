package bundle

import (
	"fmt"
	"strings"
)

// Fault is one invalid field of a bundle.
type Fault struct {
	Field   string `json:"field"`   // path of the field, such as teams[2].queued
	Value   string `json:"value"`   // value in the document
	Allowed string `json:"allowed"` // values that are allowed
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: is %q, must be %s", f.Field, f.Value, f.Allowed)
}

// Faults is the error for a document that is not a valid bundle. It lists all faults
// that were found.
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
