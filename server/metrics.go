package server

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// sampleSize and sampleAlpha set the decaying sample of a histogram to the last five minutes or so.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics holds the counters of a daemon. Its methods may be called from any goroutine.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns Metrics with a counter of refusals and of retries for every Reason.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	for _, reason := range tiller.Reasons() {
		m.Count("refusal", reason, 0)
		m.Count("retry", reason, 0)
	}
	return m
}

// Count adds n to the counter NAME.LABEL, or NAME when there is no label.
func (m *Metrics) Count(name string, label tiller.Reason, n int64) {
	if label != "" {
		name += "." + string(label)
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Observe adds a length of time to the histogram name.
func (m *Metrics) Observe(name string, d tiller.Millis) {
	h := m.registry.GetOrRegister(name, newHistogram)
	h.(metrics.Histogram).Update(int64(d))
}

// Gauge shows the value of f under name. f is called when the page is read.
func (m *Metrics) Gauge(name string, f func() int64) {
	// The name is taken at most once, so that there is no error.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// Registry returns the registry, for packages that count into one themselves.
func (m *Metrics) Registry() metrics.Registry {
	return m.registry
}

// Value returns the counter NAME.LABEL; 0 when nothing was counted.
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
