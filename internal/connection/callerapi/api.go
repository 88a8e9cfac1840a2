package callerapi

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Backend is the part of the host that the API serves from.
type Backend interface {
	// Submit returns the answer to a job, from this host or its ticket's issuer.
	Submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer
	// Cancel withdraws the job of a ticket.
	Cancel(ctx context.Context, ticket string) error
	// Announce takes in what a target says of itself.
	Announce(a wire.Announcement) (wire.Lease, error)
	// ReportUsage takes in what the platform says of its workers.
	ReportUsage(list []wire.WorkerUsage) error
	// Targets lists the known targets.
	Targets(ctx context.Context) ([]wire.TargetStatus, error)
	// Hosts lists the known entry hosts, this one included.
	Hosts(ctx context.Context) ([]wire.HostStatus, error)
	// Ready returns nil while new work is accepted.
	Ready() error
	// BundleVersion returns the version of the bundle in force, nil while it is not
	// known.
	BundleVersion() *uint64
}

// Config configures an API.
type Config struct {
	Host         string // this host's name
	MaxBodyBytes int64  // greatest body of a request
	Backend      Backend
	Minter       *ticket.Minter
	Clock        ticket.Clock
	Log          *slog.Logger
}

// API answers HTTP requests.
type API struct{ config Config }

// New returns an API.
func New(config Config) *API { return &API{config: config} }

// Register adds the API's paths to mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+wire.PathJobs, a.submit)
	mux.HandleFunc("DELETE "+wire.PathJobs, a.cancel)
	mux.HandleFunc("POST "+wire.PathTickets, a.grant)
	mux.HandleFunc("POST "+wire.PathTargets, a.announce)
	mux.HandleFunc("GET "+wire.PathTargets, a.targets)
	mux.HandleFunc("POST "+wire.PathWorkers, a.reportUsage)
	mux.HandleFunc("GET "+wire.PathHosts, a.hosts)
	mux.HandleFunc("GET "+wire.PathReady, a.ready)
	mux.HandleFunc("GET "+wire.PathHealth, a.healthy)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(w, r)
	if err != nil {
		a.answer(w, job.ErrorAnswer(err))
		return
	}
	spec, err := job.Parse(body)
	if err == nil {
		_, err = ticket.Parse(spec.Ticket)
	}
	if err != nil {
		a.answer(w, job.ErrorAnswer(err))
		return
	}
	a.answer(w, a.config.Backend.Submit(r.Context(), spec, body))
}

// readBody returns the whole body. Its errors are TooLarge and InvalidRequest.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.config.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "must be at most " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return nil, &failure.Error{Kind: failure.TooLarge, Field: "body", Message: message}
	}
	if err != nil {
		return nil, failure.Invalid("body", "could not be read: "+err.Error())
	}
	return body, nil
}

// answer writes an answer with this host's name and the caller's next ticket.
// The stored answer is shared, so a copy is changed.
func (a *API) answer(w http.ResponseWriter, answer *job.Answer) {
	stamped := *answer
	stamped.Host = a.config.Host
	stamped.BundleVersion = a.config.Backend.BundleVersion()
	stamped.NextTicket = a.config.Minter.Issue(a.config.Clock())
	status := http.StatusOK
	if e := stamped.Error; e != nil {
		status = failure.Lookup(failure.Kind(e.Kind)).Status
		setRetryAfter(w, e)
	}
	wire.WriteJSON(w, a.config.Log, status, stamped)
}

// setRetryAfter rounds up to the whole seconds that the header can state.
func setRetryAfter(w http.ResponseWriter, e *job.Error) {
	if e.RetryAfterMS == nil {
		return
	}
	seconds := (*e.RetryAfterMS + 999) / 1000
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
}

// fail writes err as the answer to a request that is not a submission.
func (a *API) fail(w http.ResponseWriter, err error) {
	refused := job.ErrorAnswer(err)
	setRetryAfter(w, refused.Error)
	wire.WriteJSON(w, a.config.Log, failure.Lookup(failure.KindOf(err)).Status, refused)
}
