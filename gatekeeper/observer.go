package gatekeeper

import (
	"net/http"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// observer counts and logs the daemon's decisions and its requests to upstreams.
type observer struct {
	log logr.Logger
	// regained is called when contact with a failure domain is regained after a time.
	regained        func(silent tiller.Millis)
	registry        metrics.Registry
	queryLatency    metrics.Histogram
	upstreamLatency metrics.Histogram
}

// metricsPath is the path of the metrics as text. deploy/system.toml declares it to the platform.
const metricsPath = "/metrics"

// reservoirSize is the number of samples of a latency histogram.
const reservoirSize = 512

// newObserver returns an observer. droppedLines returns the number of log lines dropped so far.
func newObserver(log logr.Logger, droppedLines func() int64) *observer {
	r := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("Log.Dropped", r, droppedLines)
	return &observer{
		log:             log,
		regained:        func(tiller.Millis) {},
		registry:        r,
		queryLatency:    metrics.GetOrRegisterHistogram("Query.Millis", r, metrics.NewExpDecaySample(reservoirSize, 0.015)),
		upstreamLatency: metrics.GetOrRegisterHistogram("Upstream.Millis", r, metrics.NewExpDecaySample(reservoirSize, 0.015)),
	}
}

func (o *observer) count(name string) { metrics.GetOrRegisterCounter(name, o.registry).Inc(1) }

// countAttempt counts a request to an upstream that has ended. opened reports whether it opened a
// connection.
func (o *observer) countAttempt(took tiller.Millis, opened bool) {
	o.upstreamLatency.Update(int64(took))
	o.count("Upstream.Requests")
	if opened {
		o.count("Upstream.Connections")
	}
}

// recordRejection counts and logs a request that was refused before it was submitted.
func (o *observer) recordRejection(reason tiller.Reason) {
	o.count("Refused." + string(reason))
	o.log.Info("Request rejected", "Reason", reason)
}

// recordCut counts a message that was cut off to keep within the memory limit.
func (o *observer) recordCut(bytes int64) {
	o.count("Memory.Cuts")
	o.log.Info("Message was cut off at the memory limit", "Bytes", bytes)
}

// addHeldGauge adds the gauge of the bytes that received messages hold.
func (o *observer) addHeldGauge(held func() int64) {
	metrics.NewRegisteredFunctionalGauge("Memory.Held", o.registry, held)
}

// recordEffect counts retries, and counts and logs the ends of queries.
func (o *observer) recordEffect(e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.RolloutChanged:
		o.count("Rollout." + e.State.String())
		o.log.Info("Rollout changed", "Service", e.Rollout.Service, "Target", e.Rollout.Target, "Order", e.Rollout.Revision,
			"State", e.State.String(), "Cause", e.Cause, "Age", e.Age, "Reporters", e.Reporters, "Evidence", e.Evidence,
			"Fault", e.Fault, "Sent", e.Sent)
	case gatherer.RequestSuspected:
		o.count("Suspect.Losses")
		if e.Blocked {
			o.count("Suspect.Blocked")
		}
		o.log.Info("Upstream crashed under a request", "Digest", e.Digest, "Upstreams", e.Upstreams, "Blocked", e.Blocked)
	case gatherer.UpstreamLimited:
		o.count("Upstream.LimitChanges")
		o.log.Info("Limit of an upstream changed", "Upstream", e.Upstream, "PerSecond", e.PerSecond, "Share", e.Share)
	case gatherer.UpstreamLeaving:
		o.count("Upstream.Leaving")
		o.log.Info("Upstream is leaving", "Upstream", e.Upstream.ID, "Daemon", e.Daemon)
	case gatherer.UpstreamPaused:
		o.count("Upstream.Pauses")
		o.log.Info("Upstream asked for a pause", "Upstream", e.Upstream, "For", e.For, "Named", e.Named)
	case gatherer.DomainCut:
		o.count("Domain.Cuts")
		o.log.Info("Contact with a failure domain changed", "Domain", e.Domain, "Cut", e.Cut, "Silent", e.Silent)
		if !e.Cut {
			o.regained(e.Silent)
		}
	case gatherer.ProbeUpstream:
		o.count("Upstream.Probes")
	case gatherer.PublishRollout:
		o.count("Rollout.Published")
	case gatherer.SendReport:
		o.count("Rollout.Reports")
	case gatherer.Retried:
		o.count("Retried." + string(e.Reason))
	case gatherer.ReplyPassthrough:
		o.recordEnd("Answered", e.Decision)
	case gatherer.ReplyGathered:
		o.count("Answered.Gathered")
		if e.Missing > 0 {
			o.count("Answered.Partial")
		}
		o.recordEnd("Gathered", e.Decision, "Missing", e.Missing)
	case gatherer.ReplySub:
		o.count("Answered.SubQuery")
		o.recordEnd("Gathered for another daemon", e.Decision, "Missing", len(e.Reply.Missing))
	case gatherer.Refuse:
		o.count("Refused." + string(e.Reason))
		o.recordEnd("Refused", e.Decision, "Reason", e.Reason, "Verdict", e.Verdict.String(), "RetryAfter", e.RetryAfter)
	}
}

// recordEnd logs the end of a query with the attempts that did not lead to its answer.
func (o *observer) recordEnd(outcome string, d gatherer.Decision, more ...any) {
	o.queryLatency.Update(int64(d.Took))
	fields := append([]any{
		"ID", d.ID, "Route", d.Route, "Version", d.Configuration, "Took", d.Took, "Attempts", d.Attempts,
	}, more...)
	if len(d.Trouble) > 0 {
		fields = append(fields, "Trouble", d.Trouble)
	}
	o.log.Info(outcome, fields...)
}

// addMetricsHandlers registers the handlers for the metrics as text and as JSON.
func (o *observer) addMetricsHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(o.registry, w)
	})
	mux.HandleFunc("GET "+metricsPath+".json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(o.registry, w)
	})
}
