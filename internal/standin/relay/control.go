package relay

import (
	"fmt"
	"net/http"
	"time"
)

// Handler returns the HTTP handler that controls the relay. It serves
// POST /cut?direction=both|up|down (both if absent), /heal, /refuse, /silence
// (answers with the number of silenced connections) and /delay?time=10ms.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", r.serveCut)
	mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { r.Heal() })
	mux.HandleFunc("POST /refuse", func(http.ResponseWriter, *http.Request) { r.Refuse() })
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, r.Silence())
	})
	mux.HandleFunc("POST /delay", r.serveDelay)
	return mux
}

func (r *Relay) serveCut(w http.ResponseWriter, request *http.Request) {
	d := Direction(request.FormValue("direction"))
	switch d {
	case "":
		r.Cut(Both)
	case Both, Up, Down:
		r.Cut(d)
	default:
		http.Error(w, "direction: must be both, up or down", http.StatusBadRequest)
	}
}

func (r *Relay) serveDelay(w http.ResponseWriter, request *http.Request) {
	d, err := time.ParseDuration(request.FormValue("time"))
	if err != nil {
		http.Error(w, "time: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.Delay(d)
}
