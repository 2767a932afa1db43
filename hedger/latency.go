package hedger

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// windowMillis is the length of a window.
	windowMillis = 10 * tiller.Second
	// windowSamples is the maximum number of samples in a window, so that a busy service adapts sooner.
	windowSamples = 4096
	// minCurrentSamples is the number of samples from which quantiles always come from the current window.
	// With fewer, the previous window is used if it has more samples.
	minCurrentSamples = 512
	// refreshSamples is the number of new samples after which the quantiles are recomputed. It is also the
	// minimum number of samples for an estimate.
	refreshSamples = 32
	// maxTrackedMillis is the longest response time that is recorded; longer ones are clamped to it.
	maxTrackedMillis = 10 * tiller.Minute
)

// Latency estimates quantiles of recent response times. It must not be used concurrently.
type Latency struct {
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	windowStart  tiller.Millis
	sinceRefresh int
	median       tiller.Millis
	p95          tiller.Millis
	p99          tiller.Millis
}

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{
		current:  hdrhistogram.New(1, int64(maxTrackedMillis), 2),
		previous: hdrhistogram.New(1, int64(maxTrackedMillis), 2),
	}
}

// Record adds the response time d, measured at now.
func (l *Latency) Record(now, d tiller.Millis) {
	l.rotate(now)
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = l.current.RecordValue(int64(min(max(d, 0), maxTrackedMillis)))
	l.sinceRefresh++
	if l.sinceRefresh >= refreshSamples || l.current.TotalCount() < refreshSamples {
		l.refresh()
	}
}

// HasEnoughSamples reports whether there are enough samples for an estimate.
func (l *Latency) HasEnoughSamples(now tiller.Millis) bool {
	l.rotate(now)
	return l.current.TotalCount()+l.previous.TotalCount() >= refreshSamples
}

// Median returns the 50th percentile.
func (l *Latency) Median(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.median
}

// P95 returns the 95th percentile.
func (l *Latency) P95(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.p95
}

// P99 returns the 99th percentile.
func (l *Latency) P99(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.p99
}

// rotate starts a new window when the current one is expired or full. When the current window started
// at least two window lengths ago, the samples of both windows are discarded.
func (l *Latency) rotate(now tiller.Millis) {
	expired := now-l.windowStart >= windowMillis
	if !expired && l.current.TotalCount() < windowSamples {
		return
	}
	if now-l.windowStart >= 2*windowMillis {
		l.current.Reset()
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	l.windowStart = now
	l.refresh()
}

// refresh recomputes the quantiles.
func (l *Latency) refresh() {
	l.sinceRefresh = 0
	h := l.current
	if h.TotalCount() < minCurrentSamples && l.previous.TotalCount() > h.TotalCount() {
		h = l.previous
	}
	l.median = tiller.Millis(h.ValueAtQuantile(50))
	l.p95 = tiller.Millis(h.ValueAtQuantile(95))
	l.p99 = tiller.Millis(h.ValueAtQuantile(99))
}
