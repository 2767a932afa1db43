package server

import (
	"fmt"
	"net/http"
)

// pages serves the health and metrics pages of the callers' and the operators' interface.
type pages struct {
	metrics *Metrics
	// ready returns why the daemon accepts no new queries, or an empty string when it accepts them.
	ready func() string
}

// handlerFor returns the function that serves the page at path, or nil when there is none.
func (p pages) handlerFor(path string) func(http.ResponseWriter) {
	switch path {
	case "/healthz":
		return serveHealth
	case "/readyz":
		return p.serveReady
	case "/metrics":
		return p.metrics.serveText
	case "/metrics.json":
		return p.metrics.serveJSON
	}
	return nil
}

func serveHealth(w http.ResponseWriter) {
	fmt.Fprintln(w, "ok")
}

func (p pages) serveReady(w http.ResponseWriter) {
	if reason := p.ready(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, reason)
		return
	}
	fmt.Fprintln(w, "ready")
}
