package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// readState returns the control state and how current it is known to be.
func (a *API) readState(r *http.Request) (control.State, wire.Freshness, error) {
	ctx, cancel := context.WithTimeout(r.Context(), a.config.Timeout)
	defer cancel()
	view, err := a.config.Changer.State(ctx)
	freshness := wire.Freshness{Host: a.config.Host, Confirmed: view.Confirmed, AgeMS: view.Age.Milliseconds()}
	return view.State, freshness, err
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	status := wire.ControlStatus{
		Freshness:         freshness,
		OpenProposals:     []wire.VersionStatus{},
		NextVersion:       s.HighestProposed + 1,
		RequiredApprovals: a.config.Rules.RequiredApprovals,
		Audit:             s.Head,
	}
	if v, ok := s.AcceptedVersion(); ok {
		accepted := wire.NewVersionStatus(v)
		status.Accepted = &accepted
	}
	for _, v := range s.Versions {
		if v.Status == control.Proposed {
			status.OpenProposals = append(status.OpenProposals, wire.NewVersionStatus(v))
		}
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, status)
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	history := wire.History{Freshness: freshness, Versions: []wire.VersionStatus{}}
	for i := len(s.Versions) - 1; i >= 0; i-- {
		history.Versions = append(history.Versions, wire.NewVersionStatus(s.Versions[i]))
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, history)
}

func (a *API) version(w http.ResponseWriter, r *http.Request) {
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	v, err := findVersion(s, "version", r.PathValue("version"))
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.VersionDocument{
		Freshness:     freshness,
		VersionStatus: wire.NewVersionStatus(v),
		Document:      []byte(v.Document),
	})
}

// findVersion returns the version whose number is given in text. field names the
// request's parameter in errors: InvalidRequest if text is no number, and NotFound if
// the version is unknown or its document is no longer stored.
func findVersion(s control.State, field, text string) (control.Version, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return control.Version{}, failure.Invalid(field, fmt.Sprintf("is %q, must be a version number", text))
	}
	v, ok := s.Version(number)
	if !ok {
		return v, &failure.Error{Kind: failure.NotFound, Field: field, Message: fmt.Sprintf("version %d is not known", number)}
	}
	if v.Document == "" {
		return v, &failure.Error{Kind: failure.NotFound, Field: field, Message: fmt.Sprintf("the content of version %d is no longer kept", number)}
	}
	return v, nil
}

// diff serves the differences between two versions. Version 0 is the empty document.
func (a *API) diff(w http.ResponseWriter, r *http.Request) {
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	query := r.URL.Query()
	var from control.Version
	if text := query.Get("from"); text != "0" {
		from, err = findVersion(s, "from", text)
	}
	if err != nil {
		a.writeError(w, err)
		return
	}
	to, err := findVersion(s, "to", query.Get("to"))
	if err != nil {
		a.writeError(w, err)
		return
	}
	lines := bundle.Diff([]byte(from.Document), []byte(to.Document))
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.Diff{Freshness: freshness, From: from.Number, To: to.Number, Lines: lines})
}

func (a *API) evacuations(w http.ResponseWriter, r *http.Request) {
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	list := append([]evacuation.Evacuation{}, s.Evacuations...)
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.Evacuations{Freshness: freshness, Evacuations: list})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	from := uint64(1)
	if text := r.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			a.writeError(w, failure.Invalid("from", fmt.Sprintf("is %q, must be an index", text)))
			return
		}
	}
	s, freshness, err := a.readState(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	entries, err := a.auditEntries(r.Context(), s, from)
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.AuditPage{Freshness: freshness, Entries: entries, Head: s.Head})
}

// auditEntries returns a page of the audit trail that the host stores. A host without
// a trail returns the latest entries, which the control state holds.
func (a *API) auditEntries(ctx context.Context, s control.State, from uint64) ([]control.Entry, error) {
	if a.config.Trail != nil {
		return a.config.Trail.Entries(ctx, from, maxAuditPageEntries)
	}
	entries := []control.Entry{}
	for _, e := range s.Entries {
		if e.Index >= from {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

const defaultReportPeriod = 24 * time.Hour // of a report without a start in the request

func (a *API) report(w http.ResponseWriter, r *http.Request) {
	to, err := queryTime(r, "to", a.config.Clock())
	if err != nil {
		a.writeError(w, err)
		return
	}
	from, err := queryTime(r, "from", to.Add(-defaultReportPeriod))
	if err != nil {
		a.writeError(w, err)
		return
	}
	if !from.Before(to) {
		a.writeError(w, failure.Invalid("from", "must be before to"))
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, a.config.Reporter.Report(from, to))
}

// queryTime returns the RFC 3339 time in a query parameter, or defaultTime if the
// parameter is missing.
func queryTime(r *http.Request, field string, defaultTime time.Time) (time.Time, error) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return defaultTime, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, failure.Invalid(field, fmt.Sprintf("is %q, must be a time such as 2026-01-02T15:04:05Z", text))
	}
	return t, nil
}

func (a *API) jobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := a.config.Jobs.Jobs(r.Context())
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, jobs)
}
