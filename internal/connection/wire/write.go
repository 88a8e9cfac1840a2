package wire

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
)

// WriteJSON writes a document as the JSON response to a request. It sets the
// Content-Length, so that a truncated response is detected. Failures are logged.
func WriteJSON(w http.ResponseWriter, log *slog.Logger, status int, document any) {
	text, err := json.Marshal(document)
	if err != nil {
		log.Error("Encoding a response failed.", "error", err)
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if _, err := w.Write(text); err != nil {
		log.Debug("Writing a response failed.", "error", err)
	}
}
