package dialer

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// windowSamples is the number of samples in a window; with each full window, the one before is dropped.
	windowSamples = 1000
	// maxLatencyMillis is the maximum latency recorded; greater values are recorded as this one.
	maxLatencyMillis = 10 * tiller.Minute
	// latencyDigits is the precision of the estimate, in significant digits.
	latencyDigits = 2
	// latencyPercentile is the percentile from which the limit of the time without received bytes derives.
	latencyPercentile = 99
)

// latency estimates the 99th percentile of an upstream's latency over the last
// windowSamples to 2*windowSamples requests.
type latency struct {
	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{
		current:  hdrhistogram.New(1, int64(maxLatencyMillis), latencyDigits),
		previous: hdrhistogram.New(1, int64(maxLatencyMillis), latencyDigits),
	}
}

func (l *latency) record(d tiller.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue only fails for a value outside the histogram's range.
	_ = l.current.RecordValue(int64(min(max(d, 1), maxLatencyMillis)))
	if l.current.TotalCount() < windowSamples {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
}

// p99 returns the greater of the 99th percentiles of the two windows, or 0 without samples.
func (l *latency) p99() tiller.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.ValueAtQuantile(latencyPercentile)
	previous := l.previous.ValueAtQuantile(latencyPercentile)
	return tiller.Millis(max(current, previous))
}
