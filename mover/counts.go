package mover

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Counts are the requests of one version on one route, since the start of a rollout.
type Counts struct {
	Requests int64
	Failed   int64
	// Timed counts the successful requests since the slow bound of the route is known,
	// and Slow those of them that took longer.
	Timed int64
	Slow  int64
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{c.Requests + other.Requests, c.Failed + other.Failed, c.Timed + other.Timed, c.Slow + other.Slow}
}

// Sub returns c less other.
func (c Counts) Sub(other Counts) Counts {
	return Counts{c.Requests - other.Requests, c.Failed - other.Failed, c.Timed - other.Timed, c.Slow - other.Slow}
}

// RouteCounts are the counts of both versions on one route.
type RouteCounts struct {
	Old Counts
	New Counts
}

// Evidence is what one owner of a unit has counted for a rollout, by route. Its counts only grow.
type Evidence map[string]RouteCounts

// Sample is one completed or failed request of a rollout.
type Sample struct {
	Route string
	// New says that the request went to the new version.
	New     bool
	Failed  bool
	Latency tiller.Millis
}

// Counter counts the samples of one rollout on one daemon.
type Counter struct {
	routes map[string]*routeCounter
}

// routeCounter also learns the latency above which a response counts as slow.
type routeCounter struct {
	counts RouteCounts
	// learned holds the first latencies of the old version, until slow is set.
	baselineLatencies []tiller.Millis
	slowThreshold     tiller.Millis
}

const (
	// slowShare is the share of the old version's requests that are to count as slow. A tenth leaves room
	// to see a rise and needs fewer samples to estimate than a hundredth.
	slowShare = 0.1
	// learnSamples is the number of samples of the old version from which the slow bound of a route is taken.
	// The bound then stays: a bound that follows the latencies makes the share of slow responses drift, and
	// a good version looks worse than an old one whose share was counted under an earlier bound.
	baselineSamples = 200
)

// NewCounter returns an empty Counter.
func NewCounter() *Counter {
	return &Counter{routes: make(map[string]*routeCounter)}
}

// Record counts a sample. Samples of upstreams in cold start are to be left out by the caller,
// because a new version always starts cold.
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

// learn takes a sample of the old version towards the slow bound.
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

// Evidence returns a copy of the counts.
func (c *Counter) Evidence() Evidence {
	e := make(Evidence, len(c.routes))
	for route, r := range c.routes {
		e[route] = r.counts
	}
	return e
}
