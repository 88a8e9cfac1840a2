package catalog

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/finding"
)

// List names the part of a catalog that a remark concerns.
type List string

// The parts of a catalog.
const (
	WholeCatalog List = ""
	Queues       List = "queue"
	Services     List = "service"
	LimitValues  List = "limits"
)

// Remark is a finding about a catalog. It names the field as this package does; the
// package that decodes the operator's document translates it to a path.
type Remark struct {
	Severity finding.Severity
	List     List
	Index    int    // in the list; 0 for the others
	Name     string // of the queue or service
	Field    string // Go name of the field, empty if the remark concerns the entry
	Text     string
}

// err returns the InvalidRequest error for the remark.
func (r Remark) err() error {
	switch {
	case r.List == WholeCatalog:
		return failure.Invalid(strings.ToLower(r.Field), r.Text)
	case r.Name == "":
		return failure.Invalid(string(r.List), r.Text)
	}
	return failure.Invalid(string(r.List)+" "+r.Name, r.Text)
}

// Check returns an InvalidRequest error for the first of the catalog's Errors, or nil.
func (c Catalog) Check() error {
	for remark := range c.errors() {
		return remark.err()
	}
	return nil
}

// Errors returns why the catalog is refused: every invalid field, in the order of the
// catalog. It is empty if the catalog is accepted.
func (c Catalog) Errors() []Remark { return slices.Collect(c.errors()) }

// errors yields the Errors one by one: a document of the largest size may have a million.
func (c Catalog) errors() iter.Seq[Remark] {
	return func(yield func(Remark) bool) {
		if c.Version == 0 && !yield(Remark{Severity: finding.Error, Field: "Version", Text: "must be at least 1"}) {
			return
		}
		services := map[string]bool{}
		for _, s := range c.Services {
			services[s.Name] = true
		}
		queueByPrefix := map[string]string{}
		for i, q := range c.Queues {
			report := func(field, text string) bool {
				return yield(Remark{Severity: finding.Error, List: Queues, Index: i, Name: q.Name, Field: field, Text: text})
			}
			if q.Name == "" && !report("Name", "has no name") {
				return
			}
			if !services[q.Service] && !report("Service", fmt.Sprintf("names the unknown service %q", q.Service)) {
				return
			}
			if q.Timeout <= 0 && !report("Timeout", "has no timeout") {
				return
			}
			if !strings.HasPrefix(q.PathPrefix, "/") && !report("PathPrefix", "has a path prefix that does not begin with /") {
				return
			}
			prefix := q.matchKey()
			if other, taken := queueByPrefix[prefix]; !taken {
				queueByPrefix[prefix] = q.Name
			} else if !report("PathPrefix", "has the host and prefix of queue "+other) {
				return
			}
		}
	}
}

// matchKey returns the text that a request's lower-case host and path begin with if the
// queue matches.
func (q Queue) matchKey() string { return strings.ToLower(q.Host) + q.PathPrefix }
