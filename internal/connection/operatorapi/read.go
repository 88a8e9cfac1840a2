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
)

// view reads the state and says how far it can be trusted.
func (a *API) view(r *http.Request) (control.State, wire.Freshness, error) {
	ctx, cancel := context.WithTimeout(r.Context(), a.config.Timeout)
	defer cancel()
	view, err := a.config.Changer.State(ctx)
	reading := wire.Freshness{Host: a.config.Host, Confirmed: view.Confirmed, AgeMS: view.Age.Milliseconds()}
	return view.State, reading, err
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s, reading, err := a.view(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	status := wire.ControlStatus{
		Freshness:         reading,
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
	s, reading, err := a.view(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	history := wire.History{Freshness: reading, Versions: []wire.VersionStatus{}}
	for i := len(s.Versions) - 1; i >= 0; i-- {
		history.Versions = append(history.Versions, wire.NewVersionStatus(s.Versions[i]))
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, history)
}

func (a *API) version(w http.ResponseWriter, r *http.Request) {
	s, reading, err := a.view(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	v, err := find(s, "version", r.PathValue("version"))
	if err != nil {
		a.fail(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.VersionDocument{
		Freshness:     reading,
		VersionStatus: wire.NewVersionStatus(v),
		Document:      []byte(v.Document),
	})
}

// find returns the version that a field of the request names, with its
// document.
func find(s control.State, field, text string) (control.Version, error) {
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

// diff compares two versions. Version 0 is empty.
func (a *API) diff(w http.ResponseWriter, r *http.Request) {
	s, reading, err := a.view(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	query := r.URL.Query()
	var from control.Version
	if text := query.Get("from"); text != "0" {
		from, err = find(s, "from", text)
	}
	if err != nil {
		a.fail(w, err)
		return
	}
	to, err := find(s, "to", query.Get("to"))
	if err != nil {
		a.fail(w, err)
		return
	}
	lines := bundle.Diff([]byte(from.Document), []byte(to.Document))
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.Diff{Freshness: reading, From: from.Number, To: to.Number, Lines: lines})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	from := uint64(1)
	if text := r.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			a.fail(w, failure.Invalid("from", fmt.Sprintf("is %q, must be an index", text)))
			return
		}
	}
	s, reading, err := a.view(r)
	if err != nil {
		a.fail(w, err)
		return
	}
	entries, err := a.entries(r.Context(), s, from)
	if err != nil {
		a.fail(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.AuditPage{Freshness: reading, Entries: entries, Head: s.Head})
}

// entries returns a page of the trail that the host keeps, or of its end that
// the state holds.
func (a *API) entries(ctx context.Context, s control.State, from uint64) ([]control.Entry, error) {
	if a.config.Trail != nil {
		return a.config.Trail.Entries(ctx, from, auditPage)
	}
	entries := []control.Entry{}
	for _, e := range s.Entries {
		if e.Index >= from {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

const defaultPeriod = 24 * time.Hour // of a report that states none

func (a *API) report(w http.ResponseWriter, r *http.Request) {
	to, err := instant(r, "to", a.config.Clock())
	if err != nil {
		a.fail(w, err)
		return
	}
	from, err := instant(r, "from", to.Add(-defaultPeriod))
	if err != nil {
		a.fail(w, err)
		return
	}
	if !from.Before(to) {
		a.fail(w, failure.Invalid("from", "must be before to"))
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, a.config.Reporter.Report(from, to))
}

// instant reads a time in RFC 3339 from the query.
func instant(r *http.Request, field string, otherwise time.Time) (time.Time, error) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return otherwise, nil
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
		a.fail(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, jobs)
}
