package reporter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

const (
	// Histograms hold microseconds up to maxMicros with 3 significant digits.
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Figures gathers the outcomes of a stretch of time. Its methods may be called from any goroutine.
type Figures struct {
	deadline time.Duration
	// minimum is the least number of upstream requests for a query by service and route.
	minimum func(planner.Request) int

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	lag       *hdrhistogram.Histogram
	kinds     map[planner.Kind]*kindFigures
	offered   int
	answers   int
	inTime    int
	whole     int
	coverage  float64
	leastSent int
	refusals  map[refusalKey]int
	lost      map[string]int
}

type kindFigures struct {
	offered int
	latency *hdrhistogram.Histogram
}

type refusalKey struct{ verdict, reason string }

// NewFigures returns Figures of no outcome. deadline is the time after the intended start
// up to which an answer is in time; minimum is the least number of upstream requests for a query.
func NewFigures(deadline time.Duration, minimum func(planner.Request) int) *Figures {
	return &Figures{
		deadline: deadline,
		minimum:  minimum,
		latency:  newHistogram(),
		lag:      newHistogram(),
		kinds:    map[planner.Kind]*kindFigures{},
		refusals: map[refusalKey]int{},
		lost:     map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// record adds a length of time, bounded by what a histogram holds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the bounds is never refused.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Add adds the outcome of a query.
func (f *Figures) Add(o sender.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offered++
	record(f.lag, o.Lag)
	k := f.kind(o.Request.Kind)
	k.offered++
	switch {
	case o.Answer != nil:
		record(k.latency, o.Latency)
		f.addAnswer(o)
	case o.Refusal != nil:
		f.refusals[refusalKey{string(o.Refusal.Verdict), o.Refusal.Reason}]++
	default:
		f.lost[o.Cause()]++
	}
}

func (f *Figures) addAnswer(o sender.Outcome) {
	record(f.latency, o.Latency)
	f.answers++
	if o.Latency <= f.deadline {
		f.inTime++
	}
	if len(o.Answer.Coverage.Missing) == 0 {
		f.whole++
	}
	f.coverage += o.Answer.Coverage.Share
	f.leastSent += f.minimum(o.Request)
}

func (f *Figures) kind(k planner.Kind) *kindFigures {
	known, ok := f.kinds[k]
	if !ok {
		known = &kindFigures{latency: newHistogram()}
		f.kinds[k] = known
	}
	return known
}

// Part returns the figures of a stretch of time with the daemons' counters over it.
func (f *Figures) Part(name string, length time.Duration, c Counters) Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Part{
		Name:              name,
		Seconds:           length.Seconds(),
		Offered:           f.offered,
		OfferedPerSecond:  perSecond(f.offered, length),
		AchievedPerSecond: perSecond(f.answers, length),
		GoodputPerSecond:  perSecond(f.inTime, length),
		Latency:           newLatency(f.latency),
		SendLagP99Millis:  millis(f.lag.ValueAtQuantile(99)),
		Coverage:          Coverage{WholeShare: ratio(f.whole, f.answers), Mean: f.coverage / max(float64(f.answers), 1)},
		Load:              newLoad(c, f.leastSent),
		Refusals:          []RefusalCount{},
		Lost:              f.lost,
		Kinds:             []KindPart{},
	}
	for key, n := range f.refusals {
		p.Refusals = append(p.Refusals, RefusalCount{Verdict: key.verdict, Reason: key.reason, Count: n})
	}
	slices.SortFunc(p.Refusals, compareRefusals)
	for kind, k := range f.kinds {
		p.Kinds = append(p.Kinds, KindPart{Kind: kind, Offered: k.offered, Answered: int(k.latency.TotalCount()), Latency: newLatency(k.latency)})
	}
	slices.SortFunc(p.Kinds, func(a, b KindPart) int { return cmp.Compare(a.Kind, b.Kind) })
	return p
}

func compareRefusals(a, b RefusalCount) int {
	return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Reason, b.Reason))
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50Millis:  millis(h.ValueAtQuantile(50)),
		P90Millis:  millis(h.ValueAtQuantile(90)),
		P99Millis:  millis(h.ValueAtQuantile(99)),
		P999Millis: millis(h.ValueAtQuantile(99.9)),
		MaxMillis:  millis(h.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func perSecond(n int, length time.Duration) float64 {
	if length <= 0 {
		return 0
	}
	return float64(n) / length.Seconds()
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
