package hedger

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// windowMillis is the age at which measurements are replaced by newer ones.
	windowMillis = 10 * tiller.Second
	// windowSamples bounds a window by number, so that a busy service adapts sooner.
	windowSamples = 4096
	// minCurrentSamples is the number of samples from which the running window is used alone.
	minCurrentSamples = 512
	// refreshSamples is the number of new samples after which the quantiles are read again.
	refreshSamples = 32
	// maxTrackedMillis is the longest time that is told apart from longer ones.
	maxTrackedMillis = 10 * tiller.Minute
)

// Latency estimates quantiles over a window of the last seconds. It changes in place and has one owner.
type Latency struct {
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	windowStart  tiller.Millis
	sinceRefresh int
	median       tiller.Millis
	p95          tiller.Millis
	p99          tiller.Millis
}

// NewLatency returns an estimate without samples.
func NewLatency() *Latency {
	return &Latency{
		current:  hdrhistogram.New(1, int64(maxTrackedMillis), 2),
		previous: hdrhistogram.New(1, int64(maxTrackedMillis), 2),
	}
}

// Record adds the response time d, measured at the time now.
func (l *Latency) Record(now, d tiller.Millis) {
	l.rotate(now)
	// A value above the tracked range is clamped, so the histogram cannot fail.
	_ = l.current.RecordValue(int64(min(max(d, 0), maxTrackedMillis)))
	l.sinceRefresh++
	if l.sinceRefresh >= refreshSamples || l.current.TotalCount() < refreshSamples {
		l.refresh()
	}
}

// HasEnoughSamples says whether there are enough samples for an estimate.
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

// rotate starts a new window when the running one is old or full. After two windows
// without samples nothing is known any more.
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
