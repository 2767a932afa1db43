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
	// enoughSamples is the number of samples from which the running window is used alone.
	enoughSamples = 512
	// refreshSamples is the number of new samples after which the quantiles are read again.
	refreshSamples = 32
	// trackedMillis is the longest time that is told apart from longer ones.
	trackedMillis = 10 * tiller.Minute
)

// Latency estimates quantiles over a window of the last seconds. It changes in place and has one owner.
type Latency struct {
	running  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	started  tiller.Millis
	unread   int
	median   tiller.Millis
	high     tiller.Millis
	extreme  tiller.Millis
}

// NewLatency returns an estimate without samples.
func NewLatency() *Latency {
	return &Latency{
		running:  hdrhistogram.New(1, int64(trackedMillis), 2),
		previous: hdrhistogram.New(1, int64(trackedMillis), 2),
	}
}

// Record adds the response time d, measured at the time now.
func (l *Latency) Record(now, d tiller.Millis) {
	l.rotate(now)
	// A value above the tracked range is clamped, so the histogram cannot fail.
	_ = l.running.RecordValue(int64(min(max(d, 0), trackedMillis)))
	l.unread++
	if l.unread >= refreshSamples || l.running.TotalCount() < refreshSamples {
		l.refresh()
	}
}

// HasEnoughSamples says whether there are enough samples for an estimate.
func (l *Latency) HasEnoughSamples(now tiller.Millis) bool {
	l.rotate(now)
	return l.running.TotalCount()+l.previous.TotalCount() >= refreshSamples
}

// Median returns the 50th percentile.
func (l *Latency) Median(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.median
}

// P95 returns the 95th percentile.
func (l *Latency) P95(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.high
}

// Extreme returns the 99th percentile.
func (l *Latency) Extreme(now tiller.Millis) tiller.Millis {
	l.rotate(now)
	return l.extreme
}

// rotate starts a new window when the running one is old or full. After two windows
// without samples nothing is known any more.
func (l *Latency) rotate(now tiller.Millis) {
	old := now-l.started >= windowMillis
	if !old && l.running.TotalCount() < windowSamples {
		return
	}
	if now-l.started >= 2*windowMillis {
		l.running.Reset()
	}
	l.running, l.previous = l.previous, l.running
	l.running.Reset()
	l.started = now
	l.refresh()
}

func (l *Latency) refresh() {
	l.unread = 0
	h := l.running
	if h.TotalCount() < enoughSamples && l.previous.TotalCount() > h.TotalCount() {
		h = l.previous
	}
	l.median = tiller.Millis(h.ValueAtQuantile(50))
	l.high = tiller.Millis(h.ValueAtQuantile(95))
	l.extreme = tiller.Millis(h.ValueAtQuantile(99))
}
