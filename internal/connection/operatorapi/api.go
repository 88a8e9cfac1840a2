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

// StateView is the control state as a host knows it.
type StateView struct {
	State     control.State
	Confirmed bool          // whether a quorum of the disk hosts confirmed it just now
	Age       time.Duration // since a quorum last confirmed it
}

// Changer changes and reads the control state. Its errors carry a
// failure.Kind: Undecided when the outcome is not known, NoQuorum, NotReady or
// Overloaded when nothing was changed.
type Changer interface {
	Change(ctx context.Context, c control.Command) (control.Answer, error)
	State(ctx context.Context) (StateView, error)
}

// Trail reads the audit trail that a host keeps.
type Trail interface {
	// Entries returns at most limit entries from the given index on, in their
	// order. Entries that the host does not hold are left out.
	Entries(ctx context.Context, from uint64, limit int) ([]control.Entry, error)
}

// Reporter accounts for a period.
type Reporter interface {
	Report(from, to time.Time) report.Report
}

// JobLister lists the jobs that a host works on.
type JobLister interface {
	Jobs(ctx context.Context) ([]wire.JobStatus, error)
}

// Config configures an API.
type Config struct {
	Host         string // this host's name
	MaxBodyBytes int64  // greatest body of a request; 0 means DefaultBodyBytes
	Timeout      time.Duration
	Rules        control.Rules // judge dry runs; the Changer has the same
	Changer      Changer
	Trail        Trail // nil on a host that keeps no trail: the end in the state is served
	Reporter     Reporter
	Jobs         JobLister
	Clock        func() time.Time
	Log          *slog.Logger
}

// Bounds of requests and answers.
const (
	DefaultMaxBodyBytes = 256 << 10
	DefaultTimeout      = 5 * time.Second // of one command or reading
	auditPage           = 256             // entries of one answer
)

// API answers operators' requests.
type API struct{ config Config }

// New returns an API.
func New(config Config) *API {
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	return &API{config: config}
}

// Register adds the API's paths to mux. The paths of parts that Config leaves
// nil are not served.
func (a *API) Register(mux *http.ServeMux) {
	for _, action := range control.Actions {
		mux.HandleFunc("POST "+wire.PathControl+string(action), a.command(action))
	}
	mux.HandleFunc("GET "+wire.PathStatus, a.status)
	mux.HandleFunc("GET "+wire.PathHistory, a.history)
	mux.HandleFunc("GET "+wire.PathVersions+"/{version}", a.version)
	mux.HandleFunc("GET "+wire.PathDiff, a.diff)
	mux.HandleFunc("GET "+wire.PathAudit, a.audit)
	if a.config.Reporter != nil {
		mux.HandleFunc("GET "+wire.PathReport, a.report)
	}
	if a.config.Jobs != nil {
		mux.HandleFunc("GET "+wire.PathJobs, a.jobs)
	}
}
