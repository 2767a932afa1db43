package mover

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// latencyBuckets is the number of latency classes, each bucketGrowth times as wide as the one before. The
	// first one holds everything up to minLatencyMillis, since opening a connection to a new upstream takes some
	// milliseconds, and the last one everything from about 60 s on.
	latencyBuckets   = 51
	bucketGrowth     = 1.19
	minLatencyMillis = 10.0
	// minConfirmations is the number of requests of a new version with a latency below which it is never
	// confirmed. A route needs minRouteConfirmations requests, or routeConfirmationShare of those of the old
	// version if that is less.
	minConfirmations       = 16
	minRouteConfirmations  = 5
	routeConfirmationShare = 0.05
	// rollbackThreshold is the log-likelihood ratio above which a version is rolled back. It is lower than
	// faultThreshold: the evidence of a whole fleet must decide while few requests have failed.
	rollbackThreshold = 10.0
	// maxFailedShare is the share of failed requests, above that of the old version, up to which a version is
	// confirmed. It holds also where the old version has too few requests for a comparison.
	maxFailedShare = 0.1
	// maxConfirmedFailureScore and maxConfirmedLatencyScore are the sums up to which a version is confirmed.
	// Above them, the evidence speaks for a fault without proving it. Slow answers are more frequent by chance.
	maxConfirmedFailureScore = 3.0
	maxConfirmedLatencyScore = 4.0
	// slowerBuckets is the number of latency classes above the slowest answers of the old version from which an
	// answer counts as slow. Upstreams differ in speed; requests to the old version go to fast ones, those to the
	// new version to any.
	slowerBuckets = 2
	// minSlowRate is the lower bound of the old version's share of slow answers.
	minSlowRate = 0.05
	// slowDeviations is the number of standard deviations by which the share of slow answers of a confirmed
	// version may exceed that of the old one.
	slowDeviations = 2.5
)

// Observation counts the requests of one version on one route. Latencies lets daemons that each see few
// requests add up their measurements. It is immutable.
type Observation struct {
	_        struct{} `cbor:",toarray"`
	Requests int64
	Failed   int64
	// Latencies holds the number of answers by latency class.
	Latencies [latencyBuckets]uint32
}

// WithFailure counts a request that failed.
func (o Observation) WithFailure() Observation {
	o.Requests++
	o.Failed++
	return o
}

// WithSuccess counts a request that was answered, without its latency.
func (o Observation) WithSuccess() Observation {
	o.Requests++
	return o
}

// WithLatency counts a request that was answered, or that was cancelled, after a time.
func (o Observation) WithLatency(took tiller.Millis) Observation {
	o.Requests++
	o.Latencies[bucketOf(took)]++
	return o
}

// bucketOf returns the latency class of a time.
func bucketOf(took tiller.Millis) int {
	return min(int(math.Log(max(float64(took), minLatencyMillis)/minLatencyMillis)/math.Log(bucketGrowth)), latencyBuckets-1)
}

// plus returns the sum of two observations.
func (o Observation) plus(other Observation) Observation {
	o.Requests += other.Requests
	o.Failed += other.Failed
	for i, n := range other.Latencies {
		o.Latencies[i] += n
	}
	return o
}

// minus returns what o counts beyond an earlier observation of the same daemon.
func (o Observation) minus(earlier Observation) Observation {
	o.Requests -= earlier.Requests
	o.Failed -= earlier.Failed
	for i, n := range earlier.Latencies {
		o.Latencies[i] -= n
	}
	return o
}

// includes reports whether o is a later state of the counts of earlier.
func (o Observation) includes(earlier Observation) bool {
	for i, n := range earlier.Latencies {
		if o.Latencies[i] < n {
			return false
		}
	}
	return o.Requests >= earlier.Requests && o.Failed >= earlier.Failed
}

// above returns the number of answers in latency classes above a class, and the number of all answers.
func (o Observation) above(bucket int) (slow, timed int64) {
	for i, n := range o.Latencies {
		timed += int64(n)
		if i > bucket {
			slow += int64(n)
		}
	}
	return slow, timed
}

// slowBucket returns the latency class that holds the slowest slowShare of the answers.
func (o Observation) slowBucket() int {
	_, timed := o.above(-1)
	rest := int64(float64(timed) * slowShare)
	for i := latencyBuckets - 1; i > 0; i-- {
		if rest -= int64(o.Latencies[i]); rest < 0 {
			return i
		}
	}
	return 0
}

// RouteObservations holds the observations of both versions on one route.
type RouteObservations struct {
	_   struct{} `cbor:",toarray"`
	Old Observation
	New Observation
}

func (r RouteObservations) includes(earlier RouteObservations) bool {
	return r.Old.includes(earlier.Old) && r.New.includes(earlier.New)
}

// Observations holds what one daemon has seen of a rollout since its start, by route. Its counts never decrease.
type Observations map[string]RouteObservations

// Comparison compares the two versions of a rollout by the combined observations of all daemons. Once a fault
// is found, it stays. A Comparison must not be used concurrently.
type Comparison struct {
	latest map[string]RouteObservations
	routes map[string]*routeComparison
	// whole holds the failures on all routes together.
	whole routeComparison
	fault Fault
}

// routeComparison holds the sums of one route, as in routeScore.
type routeComparison struct {
	failureScore, latencyScore float64
	total                      RouteObservations
	// pending holds the requests of the new version that wait for enough requests of the old one.
	pending Observation
}

// NewComparison returns a Comparison without observations.
func NewComparison() *Comparison {
	return &Comparison{latest: make(map[string]RouteObservations), routes: make(map[string]*routeComparison)}
}

// Update adds what is new in the observations of one process of a daemon and returns the fault if one has been
// found. It ignores observations that are older than those it has.
func (c *Comparison) Update(process string, observed Observations) Fault {
	for route, current := range observed {
		key := process + "\x00" + route
		previous := c.latest[key]
		if !current.includes(previous) {
			continue
		}
		c.latest[key] = current
		c.add(route, RouteObservations{Old: current.Old.minus(previous.Old), New: current.New.minus(previous.New)})
	}
	return c.fault
}

func (c *Comparison) add(route string, delta RouteObservations) {
	r, ok := c.routes[route]
	if !ok {
		r = &routeComparison{}
		c.routes[route] = r
	}
	c.whole.add(delta)
	recent, ok := r.add(delta)
	if !ok {
		c.judgeWhole()
		return
	}
	old := r.total.Old
	bucket := old.slowBucket() + slowerBuckets
	slow, timed := recent.above(bucket)
	oldSlow, oldTimed := old.above(bucket)
	oldSlow = max(oldSlow, int64(minSlowRate*float64(oldTimed)))
	r.latencyScore = max(0, r.latencyScore+logLikelihoodRatio(slow, timed, oldSlow, oldTimed))
	switch {
	case c.fault.Cause != NoFault:
	case r.failureScore > rollbackThreshold:
		c.fault = Fault{Route: route, Cause: FaultFailures}
	case r.latencyScore > rollbackThreshold:
		c.fault = Fault{Route: route, Cause: FaultLatency}
	}
	c.judgeWhole()
}

// judgeWhole sets the fault if none is set and the failures on all routes together show one.
func (c *Comparison) judgeWhole() {
	if c.fault.Cause == NoFault && c.whole.failureScore > rollbackThreshold {
		c.fault = Fault{Cause: FaultFailures}
	}
}

// add adds observations and updates the sum of failures. It returns the requests of the new version that can be
// compared now, and false if the old version has too few.
func (r *routeComparison) add(delta RouteObservations) (Observation, bool) {
	r.total.Old = r.total.Old.plus(delta.Old)
	r.total.New = r.total.New.plus(delta.New)
	recent, old := r.pending.plus(delta.New), r.total.Old
	if old.Requests < minOldRequests {
		r.pending = recent
		return recent, false
	}
	r.pending = Observation{}
	r.failureScore = max(0, r.failureScore+logLikelihoodRatio(recent.Failed, recent.Requests, old.Failed, old.Requests))
	return recent, true
}

// Fault returns the fault that was found. Its Cause is NoFault if there is none, and its Route is empty if only
// all routes together show it.
func (c *Comparison) Fault() Fault { return c.fault }

// Confirmed reports whether the observations so far speak for the new version: enough requests in total and on
// each route that the old version serves, and no sum that speaks for a fault.
func (c *Comparison) Confirmed() bool {
	if c.Fails() {
		return false
	}
	timed := int64(0)
	for _, r := range c.routes {
		needed := min(minRouteConfirmations, routeConfirmationShare*float64(r.total.Old.Requests))
		if r.total.Old.Requests >= minOldRequests && float64(r.total.New.Requests) < needed {
			return false
		}
		if r.latencyScore > maxConfirmedLatencyScore || r.isSlower() {
			return false
		}
		_, n := r.total.New.above(-1)
		timed += n
	}
	return timed >= minConfirmations
}

// Fails reports whether the new version seems to fail more often than the old one, or has a proven fault.
func (c *Comparison) Fails() bool {
	if c.fault.Cause != NoFault || c.whole.failureScore > maxConfirmedFailureScore || c.whole.failsMore() {
		return true
	}
	for _, r := range c.routes {
		if r.failureScore > maxConfirmedFailureScore || r.failsMore() {
			return true
		}
	}
	return false
}

// failsMore reports whether the new version fails more often than the old one by more than maxFailedShare and
// a single request.
func (r *routeComparison) failsMore() bool {
	oldRate := float64(r.total.Old.Failed) / float64(max(r.total.Old.Requests, 1))
	return float64(r.total.New.Failed) > 1+(oldRate+maxFailedShare)*float64(r.total.New.Requests)
}

// isSlower reports whether the new version has more slow answers than chance explains.
func (r *routeComparison) isSlower() bool {
	bucket := r.total.Old.slowBucket() + slowerBuckets
	oldSlow, oldTimed := r.total.Old.above(bucket)
	slow, timed := r.total.New.above(bucket)
	if oldTimed < minOldRequests {
		return false
	}
	rate := max(minSlowRate, float64(oldSlow)/float64(oldTimed))
	expected := rate * float64(timed)
	return float64(slow) > expected+slowDeviations*math.Sqrt(expected*(1-rate))
}

// Summary holds the sums of a Comparison over all routes, for logs.
type Summary struct {
	OldRequests, OldFailed, NewRequests, NewFailed int64
	// FailureScore and LatencyScore are the highest sums of any route or of all.
	FailureScore, LatencyScore float64
}

// Summary returns the sums over all routes.
func (c *Comparison) Summary() Summary {
	whole := c.whole.total
	s := Summary{
		OldRequests: whole.Old.Requests, OldFailed: whole.Old.Failed, NewRequests: whole.New.Requests, NewFailed: whole.New.Failed,
		FailureScore: c.whole.failureScore,
	}
	for _, r := range c.routes {
		s.FailureScore = max(s.FailureScore, r.failureScore)
		s.LatencyScore = max(s.LatencyScore, r.latencyScore)
	}
	return s
}
