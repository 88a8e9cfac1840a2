package catalog

import (
	"fmt"
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
	errs := c.Errors()
	if len(errs) == 0 {
		return nil
	}
	return errs[0].err()
}

// Errors returns why the catalog is refused: every invalid field, in the order of the
// catalog. It is empty if the catalog is accepted.
func (c Catalog) Errors() []Remark {
	var errs []Remark
	if c.Version == 0 {
		errs = append(errs, Remark{Severity: finding.Error, Field: "Version", Text: "must be at least 1"})
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	queueByPrefix := map[string]string{}
	for i, q := range c.Queues {
		invalid := func(field, text string) {
			errs = append(errs, Remark{Severity: finding.Error, List: Queues, Index: i, Name: q.Name, Field: field, Text: text})
		}
		if q.Name == "" {
			invalid("Name", "has no name")
		}
		if !services[q.Service] {
			invalid("Service", fmt.Sprintf("names the unknown service %q", q.Service))
		}
		if q.Timeout <= 0 {
			invalid("Timeout", "has no timeout")
		}
		if !strings.HasPrefix(q.PathPrefix, "/") {
			invalid("PathPrefix", "has a path prefix that does not begin with /")
		}
		prefix := q.matchKey()
		if other, taken := queueByPrefix[prefix]; taken {
			invalid("PathPrefix", "has the host and prefix of queue "+other)
			continue
		}
		queueByPrefix[prefix] = q.Name
	}
	return errs
}

// matchKey returns the text that a request's lower-case host and path begin with if the
// queue matches.
func (q Queue) matchKey() string { return strings.ToLower(q.Host) + q.PathPrefix }
