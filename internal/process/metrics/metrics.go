package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	namePrefix    = "wasabifield"
	nameSeparator = "_"
	// reportInterval bounds how old the served values are.
	reportInterval = 500 * time.Millisecond
)

// Metrics are the metrics of one process.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// NewMetrics returns Metrics whose values all carry the given labels.
func NewMetrics(labels map[string]string) *Metrics {
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		Tags:                   labels,
		Reporter:               r,
		Separator:              nameSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: r}
}

// Scope returns the root scope. Names below it begin with "wasabifield_".
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the values, at most half a second old.
func (m *Metrics) Handler() http.Handler { return m.reporter }

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
