package callerapi

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"wasabifield.example/wasabifield/internal/connection/intake"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Backend is the part of the host that answers the requests.
type Backend interface {
	// Submit submits a job, at this host or at the host that issued its ticket, and
	// returns the answer. body is the job as received.
	Submit(ctx context.Context, spec *job.Spec, body []byte) *job.Answer
	// Cancel cancels the job of a ticket.
	Cancel(ctx context.Context, ticket string) error
	// Announce records what a target reports of itself and returns its lease.
	Announce(a wire.Announcement) (wire.Lease, error)
	// ReportUsage records what the platform reports of its workers.
	ReportUsage(list []wire.WorkerUsage) error
	// Targets returns the known targets.
	Targets(ctx context.Context) ([]wire.TargetStatus, error)
	// Hosts returns the known entry hosts, this one included.
	Hosts(ctx context.Context) ([]wire.HostStatus, error)
	// Ready returns nil while the host accepts new work, and otherwise the reason why
	// it does not.
	Ready() error
	// BundleVersion returns the version of the bundle in force, or nil if it is unknown.
	BundleVersion() *uint64
}

// Config configures an API.
type Config struct {
	Host         string // this host's name
	MaxBodyBytes int64  // maximum size of a request body
	Backend      Backend
	Minter       *ticket.Minter
	Clock        ticket.Clock
	Log          *slog.Logger
}

// API answers the HTTP requests.
type API struct{ config Config }

// New returns an API.
func New(config Config) *API { return &API{config: config} }

// Register adds the handlers of the API to mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+wire.PathJobs, a.submit)
	mux.HandleFunc("DELETE "+wire.PathJobs, a.cancel)
	mux.HandleFunc("POST "+wire.PathTickets, a.issueTicket)
	mux.HandleFunc("POST "+wire.PathTargets, a.announce)
	mux.HandleFunc("GET "+wire.PathTargets, a.targets)
	mux.HandleFunc("POST "+wire.PathWorkers, a.reportUsage)
	mux.HandleFunc("GET "+wire.PathHosts, a.hosts)
	mux.HandleFunc("GET "+wire.PathReady, a.ready)
	mux.HandleFunc("GET "+wire.PathHealth, a.healthy)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(r)
	if err != nil {
		a.writeAnswer(w, job.ErrorAnswer(err))
		return
	}
	spec, err := job.Parse(body)
	if err == nil {
		_, err = ticket.Parse(spec.Ticket)
	}
	if err != nil {
		a.writeAnswer(w, job.ErrorAnswer(err))
		return
	}
	a.writeAnswer(w, a.config.Backend.Submit(r.Context(), spec, body))
}

// listEntryBytes is what a task of a job, or an entry of a report, takes in a list that
// has grown.
const listEntryBytes = 256

// readBody returns the whole body. The request is charged with it and with what decoding
// takes. The errors are those of intake.Request.
func (a *API) readBody(r *http.Request) ([]byte, error) {
	request := intake.RequestOf(r)
	body, err := request.ReadBody(r, a.config.MaxBodyBytes, 0)
	if err != nil {
		return nil, err
	}
	_, err = request.HoldDecoded(body, listEntryBytes)
	return body, err
}

// writeAnswer adds this host's name, the bundle version and the caller's next ticket
// to an answer and writes it. They are set in a copy, since the stored answer is
// shared.
func (a *API) writeAnswer(w http.ResponseWriter, answer *job.Answer) {
	response := *answer
	response.Host = a.config.Host
	response.BundleVersion = a.config.Backend.BundleVersion()
	response.NextTicket = a.config.Minter.Issue(a.config.Clock())
	status := http.StatusOK
	if e := response.Error; e != nil {
		status = failure.Lookup(failure.Kind(e.Kind)).Status
		setRetryAfter(w, e)
	}
	wire.WriteJSON(w, a.config.Log, status, response)
}

// setRetryAfter sets the Retry-After header if the error states a time. The header
// holds whole seconds, so the time is rounded up.
func setRetryAfter(w http.ResponseWriter, e *job.Error) {
	if e.RetryAfterMS == nil {
		return
	}
	seconds := (*e.RetryAfterMS + 999) / 1000
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
}

// writeError writes err as the response to a request other than a submission.
func (a *API) writeError(w http.ResponseWriter, err error) {
	refusal := job.ErrorAnswer(err)
	setRetryAfter(w, refusal.Error)
	wire.WriteJSON(w, a.config.Log, failure.Lookup(failure.KindOf(err)).Status, refusal)
}
