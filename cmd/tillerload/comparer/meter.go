package comparer

import (
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms hold nanoseconds up to maxNanos with 3 significant digits.
	maxNanos          = int64(time.Minute)
	significantDigits = 3
)

// meter measures the time and the allocations of one way to ask.
type meter struct {
	times  *hdrhistogram.Histogram
	allocs uint64
}

// run runs and measures ask once. Allocations of the whole process count.
func (m *meter) run(ask func() error) error {
	if m.times == nil {
		m.times = hdrhistogram.New(1, maxNanos, significantDigits)
	}
	allocs := countAllocs()
	start := time.Now()
	err := ask()
	took := time.Since(start)
	m.allocs += countAllocs() - allocs
	// A value within the bounds is never refused.
	_ = m.times.RecordValue(min(took.Nanoseconds(), maxNanos))
	return err
}

func countAllocs() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}

func (m *meter) quantileMillis(q float64) float64 {
	return float64(m.times.ValueAtQuantile(q)) / float64(time.Millisecond)
}

func (m *meter) allocsPerRun() float64 {
	return float64(m.allocs) / float64(m.times.TotalCount())
}
