package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"wasabifield.example/wasabifield/internal/connection/intake"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// handleCommand returns the handler of one action.
func (a *API) handleCommand(action control.Action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := a.readCommand(r, action)
		if err != nil {
			a.writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.config.Timeout)
		defer cancel()
		answer, err := a.execute(ctx, r, c)
		if err != nil {
			a.writeError(w, err)
			return
		}
		a.writeAnswer(w, answer)
	}
}

// execute carries a command out. For a dry run it returns the answer that the command
// would get now and changes nothing.
func (a *API) execute(ctx context.Context, r *http.Request, c control.Command) (control.Answer, error) {
	dryRun, err := strconv.ParseBool(r.URL.Query().Get(wire.DryRunParam))
	if err != nil || !dryRun {
		return a.config.Changer.Change(ctx, c)
	}
	view, err := a.config.Changer.State(ctx)
	if err != nil {
		return control.Answer{}, err
	}
	_, answer := a.config.Rules.Apply(view.State, c, a.config.Clock())
	return answer, nil
}

// listEntryBytes is what an entry of a list in a command takes.
const listEntryBytes = 256

// readCommand decodes the command in a request's body. Its errors are those of
// intake.Request, or InvalidRequest for the invalid field.
func (a *API) readCommand(r *http.Request, action control.Action) (control.Command, error) {
	var c control.Command
	request := intake.RequestOf(r)
	body, err := request.ReadBody(r, a.config.MaxBodyBytes, 0)
	if err != nil {
		return c, err
	}
	if _, err := request.HoldDecoded(body, listEntryBytes); err != nil {
		return c, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, decodeError(err)
	}
	if decoder.More() {
		return c, failure.Invalid("body", "must be one JSON document")
	}
	if c.Action != action {
		return c, failure.Invalid("action", fmt.Sprintf("is %q, but the path says %q", c.Action, action))
	}
	return c, nil
}

// decodeError converts an error of the JSON decoder into InvalidRequest for the field
// concerned, or for the body if the error names no field.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return failure.Invalid(wrongType.Field, fmt.Sprintf("is a JSON %s, must be a %s", wrongType.Value, wrongType.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return failure.Invalid(strings.Trim(name, `"`), "is not known")
	}
	return failure.Invalid("body", "must be a command in JSON: "+err.Error())
}
