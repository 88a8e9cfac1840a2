// Package profiles serves the CPU, memory and goroutine profiles of the Go runtime over
// HTTP. Package host registers them only if a setting enables them, because profiles
// disclose much about a process.
package profiles

import (
	"net/http"
	"net/http/pprof"
)

// Path is the prefix of the URL paths at which the profiles are served.
const Path = "/debug/pprof/"

// Register adds the handlers of the profiles to mux.
func Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+Path, pprof.Index)
	mux.HandleFunc("GET "+Path+"cmdline", pprof.Cmdline)
	mux.HandleFunc("GET "+Path+"profile", pprof.Profile)
	mux.HandleFunc("GET "+Path+"symbol", pprof.Symbol)
	mux.HandleFunc("GET "+Path+"trace", pprof.Trace)
}
