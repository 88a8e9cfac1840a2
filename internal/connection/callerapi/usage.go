package callerapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const maxNameBytes = 128 // of a worker's name

const maxWorkers = 4096 // in one report

func (a *API) reportUsage(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(w, r)
	if err != nil {
		a.fail(w, err)
		return
	}
	list, err := parseUsage(body)
	if err == nil {
		err = a.config.Backend.ReportUsage(list)
	}
	if err != nil {
		a.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseUsage(body []byte) ([]wire.WorkerUsage, error) {
	var list []wire.WorkerUsage
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, failure.Invalid("body", "not a valid list of usages: "+err.Error())
	}
	if len(list) > maxWorkers {
		return nil, failure.Invalid("body", "must list at most 4096 workers")
	}
	for i, u := range list {
		if err := checkUsage(fmt.Sprintf("[%d].", i), u); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func checkUsage(field string, u wire.WorkerUsage) error {
	if u.Worker == "" || len(u.Worker) > maxNameBytes {
		return failure.Invalid(field+"worker", "must be 1 to 128 bytes")
	}
	if u.AgeMS < 0 {
		return failure.Invalid(field+"age_ms", "must be 0 or more")
	}
	if u.Processors < 0 || u.Processors > 1 {
		return failure.Invalid(field+"processors", "must be from 0 to 1")
	}
	if u.Memory < 0 || u.Memory > 1 {
		return failure.Invalid(field+"memory", "must be from 0 to 1")
	}
	return nil
}
