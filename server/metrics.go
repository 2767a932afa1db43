package server

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// sampleSize and sampleAlpha weight the exponentially decaying sample of a histogram to about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics holds the counters, histograms and gauges of a daemon. Its methods may be called concurrently.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns Metrics in which the refusal and retry counters of every Reason exist with the value 0.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	for _, reason := range tiller.Reasons() {
		m.Count("refusal", reason, 0)
		m.Count("retry", reason, 0)
	}
	return m
}

// Count adds n to the counter NAME.LABEL, or to NAME when label is empty.
func (m *Metrics) Count(name string, label tiller.Reason, n int64) {
	if label != "" {
		name += "." + string(label)
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Observe adds a duration to the histogram name.
func (m *Metrics) Observe(name string, d tiller.Millis) {
	h := m.registry.GetOrRegister(name, newHistogram)
	h.(metrics.Histogram).Update(int64(d))
}

// Gauge registers a gauge whose value is that of f. f is called whenever the metrics are read.
func (m *Metrics) Gauge(name string, f func() int64) {
	// Register fails only for a name that exists, and each name is registered at most once.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// Registry returns the registry, for packages that register their own metrics.
func (m *Metrics) Registry() metrics.Registry {
	return m.registry
}

// Value returns the value of the counter NAME.LABEL, or of NAME when label is empty; 0 when it does not exist.
func (m *Metrics) Value(name string, label tiller.Reason) int64 {
	if label != "" {
		name += "." + string(label)
	}
	if c, ok := m.registry.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func (m *Metrics) serveText(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(m.registry, w)
}

func (m *Metrics) serveJSON(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	metrics.WriteJSONOnce(m.registry, w)
}
