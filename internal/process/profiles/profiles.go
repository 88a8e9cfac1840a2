// Package profiles serves the runtime's CPU, memory and goroutine profiles
// over HTTP. They tell much about a process, so a setting turns them on.
package profiles

import (
	"net/http"
	"net/http/pprof"
)

// Path is the path below which the profiles are served.
const Path = "/debug/pprof/"

// Register adds the profiles to mux.
func Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+Path, pprof.Index)
	mux.HandleFunc("GET "+Path+"cmdline", pprof.Cmdline)
	mux.HandleFunc("GET "+Path+"profile", pprof.Profile)
	mux.HandleFunc("GET "+Path+"symbol", pprof.Symbol)
	mux.HandleFunc("GET "+Path+"trace", pprof.Trace)
}
