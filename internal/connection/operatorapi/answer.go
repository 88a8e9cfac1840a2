package operatorapi

import (
	"net/http"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// writeAnswer writes the answer to a command. A refusal has the HTTP status of its
// kind; its headers state whether the command may have been carried out and when to
// retry it.
func (a *API) writeAnswer(w http.ResponseWriter, answer control.Answer) {
	if answer.Done() {
		wire.WriteJSON(w, a.config.Log, http.StatusOK, answer)
		return
	}
	row := failure.Lookup(answer.Kind)
	w.Header().Set(wire.RanHeader, string(row.AttemptRan))
	if row.RetryAfter != failure.Never {
		seconds := (row.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	wire.WriteJSON(w, a.config.Log, row.Status, answer)
}

// writeError writes err as a refusal. An error that is not a failure.Error has the
// kind Internal.
func (a *API) writeError(w http.ResponseWriter, err error) {
	f, ok := failure.As(err)
	if !ok {
		f = failure.New(failure.Internal, err.Error())
	}
	a.writeAnswer(w, control.Refusal(f))
}
