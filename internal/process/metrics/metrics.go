package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	prefix    = "wasabifield"
	separator = "_"
	// reportInterval is the interval at which tally reports values, and so the
	// greatest age of a served value.
	reportInterval = 500 * time.Millisecond
)

// Metrics holds the root scope of one process and serves its values.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// NewMetrics returns Metrics that adds the given labels to every series. The caller
// must call Close.
func NewMetrics(labels map[string]string) *Metrics {
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   labels,
		Reporter:               r,
		Separator:              separator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: r}
}

// Scope returns the root scope. The served names of its metrics begin with
// "wasabifield_".
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the values, which are at most half a second
// old.
func (m *Metrics) Handler() http.Handler { return m.reporter }

// Close reports the last values and stops the periodic reports.
func (m *Metrics) Close() error { return m.closer.Close() }
