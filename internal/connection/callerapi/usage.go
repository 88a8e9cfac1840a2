package callerapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const maxWorkerNameBytes = 128 // maximum length of a worker's name

const maxReportedWorkers = 4096 // maximum number of workers in one report

func (a *API) reportUsage(w http.ResponseWriter, r *http.Request) {
	body, err := a.readBody(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	list, err := parseUsage(body)
	if err == nil {
		err = a.config.Backend.ReportUsage(list)
	}
	if err != nil {
		a.writeError(w, err)
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
	if len(list) > maxReportedWorkers {
		return nil, failure.Invalid("body", "must list at most 4096 workers")
	}
	for i, u := range list {
		if err := checkUsage(fmt.Sprintf("[%d].", i), u); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func checkUsage(fieldPrefix string, u wire.WorkerUsage) error {
	if u.Worker == "" || len(u.Worker) > maxWorkerNameBytes {
		return failure.Invalid(fieldPrefix+"worker", "must be 1 to 128 bytes")
	}
	if u.AgeMS < 0 {
		return failure.Invalid(fieldPrefix+"age_ms", "must be 0 or more")
	}
	if u.Processors < 0 || u.Processors > 1 {
		return failure.Invalid(fieldPrefix+"processors", "must be from 0 to 1")
	}
	if u.Memory < 0 || u.Memory > 1 {
		return failure.Invalid(fieldPrefix+"memory", "must be from 0 to 1")
	}
	return nil
}
