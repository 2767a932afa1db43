package gatekeeper

import (
	"net/http"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// observer counts and logs what was decided.
type observer struct {
	log      logr.Logger
	registry metrics.Registry
	latency  metrics.Histogram
	upstream metrics.Histogram
}

// metricsPath is the path of the metrics as text. deploy/system.toml names it to the platform.
const metricsPath = "/metrics"

// reservoirSize is the number of samples of a latency histogram.
const reservoirSize = 512

// newObserver returns an observer. droppedLines returns the number of log lines dropped so far.
func newObserver(log logr.Logger, droppedLines func() int64) *observer {
	r := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("Log.Dropped", r, droppedLines)
	return &observer{
		log:      log,
		registry: r,
		latency:  metrics.GetOrRegisterHistogram("Query.Millis", r, metrics.NewExpDecaySample(reservoirSize, 0.015)),
		upstream: metrics.GetOrRegisterHistogram("Upstream.Millis", r, metrics.NewExpDecaySample(reservoirSize, 0.015)),
	}
}

func (o *observer) count(name string) { metrics.GetOrRegisterCounter(name, o.registry).Inc(1) }

// answer is told of each request to an upstream that ended.
func (o *observer) answer(took tiller.Millis, opened bool) {
	o.upstream.Update(int64(took))
	o.count("Upstream.Requests")
	if opened {
		o.count("Upstream.Connections")
	}
}

// refused is told of requests that were refused before they were submitted.
func (o *observer) refused(reason tiller.Reason) {
	o.count("Refused." + string(reason))
	o.log.Info("Request rejected", "Reason", reason)
}

// effect is told of each effect.
func (o *observer) effect(e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.Retried:
		o.count("Retried." + string(e.Reason))
	case gatherer.ReplyPassthrough:
		o.ended("Answered", e.Decision)
	case gatherer.ReplyGathered:
		o.count("Answered.Gathered")
		if e.Missing > 0 {
			o.count("Answered.Partial")
		}
		o.ended("Gathered", e.Decision, "Missing", e.Missing)
	case gatherer.ReplySub:
		o.count("Answered.SubQuery")
		o.ended("Gathered for another daemon", e.Decision, "Missing", len(e.Reply.Missing))
	case gatherer.Refuse:
		o.count("Refused." + string(e.Reason))
		o.ended("Refused", e.Decision, "Reason", e.Reason, "Verdict", e.Verdict.String(), "RetryAfter", e.RetryAfter)
	}
}

// ended logs the end of a query with the attempts that did not lead to its answer.
func (o *observer) ended(outcome string, d gatherer.Decision, more ...any) {
	o.latency.Update(int64(d.Took))
	fields := append([]any{
		"ID", d.ID, "Route", d.Route, "Version", d.Configuration, "Took", d.Took, "Attempts", d.Attempts,
	}, more...)
	if len(d.Trouble) > 0 {
		fields = append(fields, "Trouble", d.Trouble)
	}
	o.log.Info(outcome, fields...)
}

// handle serves the metrics as text and as JSON.
func (o *observer) handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(o.registry, w)
	})
	mux.HandleFunc("GET "+metricsPath+".json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(o.registry, w)
	})
}
