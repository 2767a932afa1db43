package dialer

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// windowSamples is the number of samples after which older ones are forgotten.
	windowSamples = 1000
	// greatestLatencyMillis is the greatest latency told apart; greater ones count as this.
	greatestLatencyMillis = 10 * tiller.Minute
	// latencyDigits is the precision of the estimate, in significant digits.
	latencyDigits = 2
	// quantilePercent is the percentile that bounds the time without bytes.
	quantilePercent = 99
)

// latency estimates the 99th percentile of an upstream's latency over the last
// windowSamples to 2*windowSamples requests.
type latency struct {
	mu     sync.Mutex
	recent *hdrhistogram.Histogram
	before *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{
		recent: hdrhistogram.New(1, int64(greatestLatencyMillis), latencyDigits),
		before: hdrhistogram.New(1, int64(greatestLatencyMillis), latencyDigits),
	}
}

func (l *latency) record(d tiller.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the range of the histogram, so there is no error.
	_ = l.recent.RecordValue(int64(min(max(d, 1), greatestLatencyMillis)))
	if l.recent.TotalCount() < windowSamples {
		return
	}
	l.recent, l.before = l.before, l.recent
	l.recent.Reset()
}

// p99 returns the greater estimate of the two windows; 0 without samples.
func (l *latency) p99() tiller.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent.ValueAtQuantile(quantilePercent)
	before := l.before.ValueAtQuantile(quantilePercent)
	return tiller.Millis(max(recent, before))
}
