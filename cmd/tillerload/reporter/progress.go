package reporter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

// Progress gathers what happened since the last line. Its methods may be called from any goroutine.
type Progress struct {
	w io.Writer

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	refused int
	lost    int
}

// NewProgress returns a Progress that writes lines to w.
func NewProgress(w io.Writer) *Progress {
	return &Progress{w: w, latency: newHistogram()}
}

// Add adds the outcome of a query.
func (p *Progress) Add(o sender.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case o.Answer != nil:
		record(p.latency, o.Latency)
	case o.Refusal != nil:
		p.refused++
	default:
		p.lost++
	}
}

// WriteLine writes a line about the time since the last one. phase and violations are as of now.
func (p *Progress) WriteLine(since time.Duration, phase string, violations int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Progress that cannot be written is not worth ending the load for.
	_, _ = fmt.Fprintf(p.w, "%5.1f s %-7s answers %d, refusals %d, lost %d, p50 %.1f ms, p99 %.1f ms, violations %d\n",
		since.Seconds(), phase, p.latency.TotalCount(), p.refused, p.lost,
		millis(p.latency.ValueAtQuantile(50)), millis(p.latency.ValueAtQuantile(99)), violations)
	p.latency.Reset()
	p.refused, p.lost = 0, 0
}
