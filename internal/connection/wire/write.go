package wire

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
)

// WriteJSON answers a request with a document as JSON. Its length is stated, so
// that an answer that is cut short shows. Failures are logged.
func WriteJSON(w http.ResponseWriter, log *slog.Logger, status int, document any) {
	text, err := json.Marshal(document)
	if err != nil {
		log.Error("Could not encode an answer.", "error", err)
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if _, err := w.Write(text); err != nil {
		log.Debug("Could not write an answer.", "error", err)
	}
}
