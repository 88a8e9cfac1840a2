package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// cancel withdraws the job of the ticket in the query.
func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	err := a.config.Backend.Cancel(r.Context(), r.URL.Query().Get("ticket"))
	if err != nil {
		a.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) grant(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, a.config.Log, http.StatusOK, wire.TicketGrant{
		Ticket:      a.config.Minter.Issue(a.config.Clock()),
		ExpiresInMS: a.config.Minter.Life().Milliseconds(),
	})
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(w, r)
	if err != nil {
		a.fail(w, err)
		return
	}
	announcement, err := parseAnnouncement(body)
	if err != nil {
		a.fail(w, err)
		return
	}
	lease, err := a.config.Backend.Announce(announcement)
	if err != nil {
		a.fail(w, err)
		return
	}
	wire.Write(w, a.config.Log, http.StatusOK, lease)
}

const (
	maxNameBytes   = 128
	maxSlots       = 1024
	maxConnections = 65_536
)

func parseAnnouncement(body []byte) (wire.Announcement, error) {
	var n wire.Announcement
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&n); err != nil {
		return n, failure.Invalid("body", "not a valid announcement: "+err.Error())
	}
	if n.Target == "" || len(n.Target) > maxNameBytes {
		return n, failure.Invalid("target", "must be 1 to 128 bytes")
	}
	if _, err := netip.ParseAddrPort(n.Address); err != nil {
		return n, failure.Invalid("address", "must be an IP number and port")
	}
	if n.Slots < 1 || n.Slots > maxSlots {
		return n, failure.Invalid("slots", "must be from 1 to 1024")
	}
	if n.Connections < 0 || n.Connections > maxConnections {
		return n, failure.Invalid("connections", "must be from 0 to 65536")
	}
	if n.Accelerators < 0 || n.Accelerators > maxSlots {
		return n, failure.Invalid("accelerators", "must be from 0 to 1024")
	}
	return n, nil
}

func (a *API) targets(w http.ResponseWriter, r *http.Request) {
	list, err := a.config.Backend.Targets(r.Context())
	if err != nil {
		a.fail(w, err)
		return
	}
	wire.Write(w, a.config.Log, http.StatusOK, list)
}

func (a *API) hosts(w http.ResponseWriter, r *http.Request) {
	list, err := a.config.Backend.Hosts(r.Context())
	if err != nil {
		a.fail(w, err)
		return
	}
	wire.Write(w, a.config.Log, http.StatusOK, list)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.config.Backend.Ready(); err != nil {
		a.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
