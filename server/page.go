package server

import (
	"fmt"
	"net/http"
)

// pages serves health and metrics, which both interfaces have.
type pages struct {
	metrics *Metrics
	// ready returns why the daemon takes no new work; empty when it does.
	ready func() string
}

// find returns what serves the page at path; nil when there is none.
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
