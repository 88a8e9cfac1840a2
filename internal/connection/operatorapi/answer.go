package operatorapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// answer writes the answer to a command. A refusal has the status of its kind,
// and says in headers whether the command may have been carried out and when
// to come back.
func (a *API) answer(w http.ResponseWriter, answer control.Answer) {
	if answer.Done() {
		a.write(w, http.StatusOK, answer)
		return
	}
	row := failure.Lookup(answer.Kind)
	w.Header().Set(wire.RanHeader, string(row.AttemptRan))
	if row.ComeBack != failure.Never {
		seconds := (row.ComeBack + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	a.write(w, row.Status, answer)
}

// fail writes err as an answer.
func (a *API) fail(w http.ResponseWriter, err error) {
	f, ok := failure.As(err)
	if !ok {
		f = failure.New(failure.Internal, err.Error())
	}
	a.answer(w, control.Refusal(f))
}

func (a *API) write(w http.ResponseWriter, status int, document any) {
	text, err := json.Marshal(document)
	if err != nil {
		a.config.Log.Error("Could not encode an answer.", "error", err)
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if _, err := w.Write(text); err != nil {
		a.config.Log.Debug("Could not write an answer.", "error", err)
	}
}
