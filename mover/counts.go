package mover

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Counts holds the numbers of requests of one version on one route since the start of a rollout.
type Counts struct {
	Requests int64
	Failed   int64
	// Timed is the number of successful requests since the slow threshold of the route was set,
	// and Slow the number of those that took longer than the threshold.
	Timed int64
	Slow  int64
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{c.Requests + other.Requests, c.Failed + other.Failed, c.Timed + other.Timed, c.Slow + other.Slow}
}

// Sub returns the difference c - other.
func (c Counts) Sub(other Counts) Counts {
	return Counts{c.Requests - other.Requests, c.Failed - other.Failed, c.Timed - other.Timed, c.Slow - other.Slow}
}

// RouteCounts holds the counts of both versions on one route.
type RouteCounts struct {
	Old Counts
	New Counts
}

// Evidence holds the counts of a rollout at one owner of a unit, by route. The counts never decrease.
type Evidence map[string]RouteCounts

// Sample is one completed or failed request of a rollout.
type Sample struct {
	Route string
	// New is set when the request went to the new version.
	New     bool
	Failed  bool
	Latency tiller.Millis
}

// Counter counts the samples of one rollout on one daemon. It must not be used concurrently.
type Counter struct {
	routes map[string]*routeCounter
}

// routeCounter counts the samples of one route and sets the route's slow threshold.
type routeCounter struct {
	counts RouteCounts
	// baselineLatencies holds the first latencies of the old version until slowThreshold is set.
	baselineLatencies []tiller.Millis
	// slowThreshold is the latency above which a response counts as slow; 0 until it is set.
	slowThreshold tiller.Millis
}

const (
	// slowShare is the fraction of the old version's requests that counts as slow. With a tenth, an increase
	// is still visible, and the estimate needs fewer samples than with a hundredth.
	slowShare = 0.1
	// baselineSamples is the number of samples of the old version that set the slow threshold of a route. The
	// threshold is then fixed. If it followed the latencies, the share of slow responses would drift, and a good
	// version would look worse than an old one whose share was counted with an earlier threshold.
	baselineSamples = 200
)

// NewCounter returns an empty Counter.
func NewCounter() *Counter {
	return &Counter{routes: make(map[string]*routeCounter)}
}

// Record counts a sample. The caller must leave out samples of upstreams in a cold start, because
// a new version always starts cold.
func (c *Counter) Record(s Sample) {
	r, ok := c.routes[s.Route]
	if !ok {
		r = &routeCounter{}
		c.routes[s.Route] = r
	}
	delta := Counts{Requests: 1}
	switch {
	case s.Failed:
		delta.Failed = 1
	case r.slowThreshold > 0 && s.Latency > r.slowThreshold:
		delta.Timed, delta.Slow = 1, 1
	case r.slowThreshold > 0:
		delta.Timed = 1
	}
	if r.slowThreshold == 0 {
		r.addBaseline(s)
	}
	if s.New {
		r.counts.New = r.counts.New.Add(delta)
		return
	}
	r.counts.Old = r.counts.Old.Add(delta)
}

// addBaseline adds a successful sample of the old version to the baseline and, when the baseline
// is complete, sets the slow threshold. It ignores other samples.
func (r *routeCounter) addBaseline(s Sample) {
	if s.New || s.Failed {
		return
	}
	r.baselineLatencies = append(r.baselineLatencies, s.Latency)
	if len(r.baselineLatencies) < baselineSamples {
		return
	}
	slices.Sort(r.baselineLatencies)
	r.slowThreshold = max(1, r.baselineLatencies[int((1-slowShare)*baselineSamples)])
	r.baselineLatencies = nil
}

// Evidence returns a copy of the current counts.
func (c *Counter) Evidence() Evidence {
	e := make(Evidence, len(c.routes))
	for route, r := range c.routes {
		e[route] = r.counts
	}
	return e
}
