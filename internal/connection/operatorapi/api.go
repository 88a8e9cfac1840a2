package operatorapi

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/version/control"
)

// StateView is the control state as known to a host.
type StateView struct {
	State     control.State
	Confirmed bool          // a quorum of the disk hosts confirmed the state for this read
	Age       time.Duration // time since a quorum last confirmed the state
}

// Changer changes and reads the control state. Its errors carry a failure.Kind:
// Undecided if the outcome is unknown; NoQuorum, NotReady or Overloaded if nothing was
// changed.
type Changer interface {
	Change(ctx context.Context, c control.Command) (control.Answer, error)
	State(ctx context.Context) (StateView, error)
}

// Trail reads the audit trail that a host stores.
type Trail interface {
	// Entries returns at most limit entries from the given index on, in order. Entries
	// that the host does not store are omitted.
	Entries(ctx context.Context, from uint64, limit int) ([]control.Entry, error)
}

// Reporter returns the report of a period.
type Reporter interface {
	Report(from, to time.Time) report.Report
}

// JobLister lists the jobs in progress at a host.
type JobLister interface {
	Jobs(ctx context.Context) ([]wire.JobStatus, error)
}

// Config configures an API.
type Config struct {
	Host         string        // this host's name
	MaxBodyBytes int64         // maximum size of a request body; 0 means DefaultMaxBodyBytes
	Timeout      time.Duration // of one command or read of the state; 0 means DefaultTimeout
	Rules        control.Rules // decide dry runs; the Changer applies the same rules
	Changer      Changer
	Trail        Trail // nil on a host without a trail; the latest entries in the control state are served then
	Reporter     Reporter
	Jobs         JobLister
	Clock        func() time.Time
	Log          *slog.Logger
}

// Limits of requests and answers.
const (
	DefaultMaxBodyBytes = 256 << 10
	DefaultTimeout      = 5 * time.Second // of one command or read
	maxAuditPageEntries = 256             // maximum number of entries in one answer
)

// API answers operators' HTTP requests.
type API struct{ config Config }

// New returns an API. It sets the defaults of config.
func New(config Config) *API {
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	return &API{config: config}
}

// Register adds the handlers of the API to mux. Reports and jobs are served only if
// Config.Reporter and Config.Jobs are set.
func (a *API) Register(mux *http.ServeMux) {
	for _, action := range control.Actions {
		mux.HandleFunc("POST "+wire.PathControl+string(action), a.handleCommand(action))
	}
	mux.HandleFunc("GET "+wire.PathStatus, a.status)
	mux.HandleFunc("GET "+wire.PathHistory, a.history)
	mux.HandleFunc("GET "+wire.PathVersions+"/{version}", a.version)
	mux.HandleFunc("GET "+wire.PathDiff, a.diff)
	mux.HandleFunc("GET "+wire.PathAudit, a.audit)
	mux.HandleFunc("GET "+wire.PathEvacuations, a.evacuations)
	if a.config.Reporter != nil {
		mux.HandleFunc("GET "+wire.PathReport, a.report)
	}
	if a.config.Jobs != nil {
		mux.HandleFunc("GET "+wire.PathJobs, a.jobs)
	}
}
