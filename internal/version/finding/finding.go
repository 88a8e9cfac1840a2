// Package finding defines what a check of a configuration reports: findings with a
// severity, a place and a text. Packages bundle and catalog return them, and the
// commands of the operators print them. An error is what a host refuses; a warning is
// what a host accepts although it cannot be meant.
package finding

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is the severity of a finding.
type Severity string

// The severities.
const (
	Warning Severity = "warning" // hosts accept it
	Error   Severity = "error"   // hosts refuse it
)

// Exit codes of a command that checks a configuration.
const (
	ExitClean    = 0
	ExitWarnings = 1
	ExitErrors   = 2
)

// Finding is one remark on a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path,omitempty"` // of the field, such as teams[2].queued; empty if it concerns the whole document
	Line     int      `json:"line,omitempty"` // in the document, from 1; 0 if it is not known
	Text     string   `json:"text"`
}

// String returns the finding as one line: severity, line, path and text.
func (f Finding) String() string {
	s := string(f.Severity)
	if f.Line > 0 {
		s += fmt.Sprintf(", line %d", f.Line)
	}
	if f.Path != "" {
		s += ", " + f.Path
	}
	return s + ": " + f.Text
}

// ExitCode returns the exit code that the findings call for.
func ExitCode(findings []Finding) int {
	code := ExitClean
	for _, f := range findings {
		if f.Severity == Error {
			return ExitErrors
		}
		code = ExitWarnings
	}
	return code
}

// Sort orders findings: errors first, then by line. Findings of the same line keep
// their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if a.Severity != b.Severity {
			return cmp.Compare(a.Severity, b.Severity) // "error" is before "warning"
		}
		return cmp.Compare(a.Line, b.Line)
	})
}
