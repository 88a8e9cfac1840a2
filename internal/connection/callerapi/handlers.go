package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// cancel cancels the job of the ticket in the query.
func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	err := a.config.Backend.Cancel(r.Context(), r.URL.Query().Get("ticket"))
	if err != nil {
		a.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) issueTicket(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, a.config.Log, http.StatusOK, wire.TicketGrant{
		Ticket:      a.config.Minter.Issue(a.config.Clock()),
		ExpiresInMS: a.config.Minter.Lifetime().Milliseconds(),
	})
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	announcement, err := parseAnnouncement(body)
	if err != nil {
		a.writeError(w, err)
		return
	}
	lease, err := a.config.Backend.Announce(announcement)
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, lease)
}

// parseAnnouncement decodes an announcement. Its values are checked where the targets
// are stored.
func parseAnnouncement(body []byte) (wire.Announcement, error) {
	var announcement wire.Announcement
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		return announcement, failure.Invalid("body", "not a valid announcement: "+err.Error())
	}
	return announcement, nil
}

func (a *API) targets(w http.ResponseWriter, r *http.Request) {
	list, err := a.config.Backend.Targets(r.Context())
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, list)
}

func (a *API) hosts(w http.ResponseWriter, r *http.Request) {
	list, err := a.config.Backend.Hosts(r.Context())
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, a.config.Log, http.StatusOK, list)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.config.Backend.Ready(); err != nil {
		a.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
