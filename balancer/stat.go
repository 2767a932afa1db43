// Package balancer estimates the latency of upstreams and daemons, and ranks candidates by it. Times are
// in milliseconds.
//
// It handles three load patterns: upstreams that become slow while healthy (moving average of the
// latency), upstreams that pause (age of the oldest outstanding request), and upstreams that shed
// requests while they report a low load (recent share of shed requests).
package balancer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// smoothing is the weight of a new sample in the exponential moving averages.
	smoothing = 0.2
	// latencyHalfLifeMillis is the half-life of the latency estimate of an upstream that receives no requests.
	latencyHalfLifeMillis = 3000.0
	// inflightCostMillis is the cost of each outstanding request: about one service time of a shard.
	inflightCostMillis = 15.0
	// shedCostMillis is the cost added for an upstream that sheds every request.
	shedCostMillis = 80.0
	// outcomeHalfLifeMillis is the half-life of the shares of shed and failed requests.
	outcomeHalfLifeMillis = 1500.0
	// maxPauseMillis is an upper bound on the length of a brief pause of an upstream.
	maxPauseMillis = 350.0
	// overdueFactor is the multiple of the expected latency above which the age of an outstanding request
	// indicates that the upstream is stalled.
	overdueFactor = 2.0
	// clipFactor and clipMarginMillis bound a sample relative to the previous mean: one pause predicts
	// little about the next request, and an upstream that became slow is still detected after a few samples.
	clipFactor       = 3.0
	clipMarginMillis = 20.0
)

// Stat holds the latency and outcome statistics that a daemon has measured for one upstream or peer daemon.
// It is mutable and not safe for concurrent use.
type Stat struct {
	mean           float64
	deviation      float64
	latencyUpdated tiller.Millis
	shedShare      float64
	failedShare    float64
	outcomeUpdated tiller.Millis
	waiting        float64
	// outstanding holds the send times of outstanding requests by attempt.
	outstanding map[uint64]tiller.Millis
}

// New returns a Stat without measurements.
func New() *Stat { return &Stat{outstanding: make(map[uint64]tiller.Millis)} }

// Sent records that a request was sent.
func (s *Stat) Sent(now tiller.Millis, attempt uint64) { s.outstanding[attempt] = now }

// Answered records a response. waiting is the number of requests queued at the upstream.
func (s *Stat) Answered(now tiller.Millis, attempt uint64, waiting int) {
	sent, ok := s.outstanding[attempt]
	if !ok {
		return
	}
	delete(s.outstanding, attempt)
	s.recordLatency(now, float64(now-sent))
	s.recordOutcome(now, 0, 0)
	s.waiting = float64(waiting)
}

// Shed records that the upstream shed a request.
func (s *Stat) Shed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.recordOutcome(now, 1, 0)
}

// Failed records that a request ended without a response.
func (s *Stat) Failed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.recordOutcome(now, 0, 1)
}

// Abandoned records that a request was cancelled by the daemon. The elapsed time is a lower bound of its
// latency; above maxPauseMillis, which a pause does not explain, it counts as a failure.
func (s *Stat) Abandoned(now tiller.Millis, attempt uint64) {
	sent, ok := s.outstanding[attempt]
	if !ok {
		return
	}
	delete(s.outstanding, attempt)
	took := float64(now - sent)
	if took > s.mean {
		s.recordLatency(now, took)
	}
	if took > maxPauseMillis {
		s.recordOutcome(now, 0, 1)
	}
}

func (s *Stat) recordLatency(now tiller.Millis, took float64) {
	if s.latencyUpdated == 0 {
		s.mean, s.deviation = took, took/2
	} else {
		took = math.Min(took, clipFactor*s.mean+clipMarginMillis)
		s.deviation += smoothing * (math.Abs(took-s.mean) - s.deviation)
		s.mean += smoothing * (took - s.mean)
	}
	s.latencyUpdated = now
}

func (s *Stat) recordOutcome(now tiller.Millis, shed, failed float64) {
	weight := decay(now-s.outcomeUpdated, outcomeHalfLifeMillis)
	s.shedShare = s.shedShare*weight*(1-smoothing) + shed*smoothing
	s.failedShare = s.failedShare*weight*(1-smoothing) + failed*smoothing
	s.outcomeUpdated = now
}

// Inflight returns the number of outstanding requests.
func (s *Stat) Inflight() int { return len(s.outstanding) }

// Mean returns the expected latency. The measured mean decays with its age towards prior, the latency of
// comparable upstreams.
func (s *Stat) Mean(now tiller.Millis, prior float64) float64 {
	if s.latencyUpdated == 0 {
		return prior
	}
	weight := decay(now-s.latencyUpdated, latencyHalfLifeMillis)
	return s.mean*weight + prior*(1-weight)
}

// HighLatency returns a latency that few responses exceed: the mean plus three mean deviations.
func (s *Stat) HighLatency(now tiller.Millis, prior float64) float64 {
	if s.latencyUpdated == 0 {
		return 2 * prior
	}
	return s.Mean(now, prior) + 3*s.deviation
}

// Cost returns the rank of an upstream, where lower is better: the expected latency of the next request plus
// penalties for outstanding, queued, shed and failed requests. failure is the penalty for an upstream
// that fails every request.
func (s *Stat) Cost(now tiller.Millis, prior float64, slots int, failure float64) float64 {
	mean := s.Mean(now, prior)
	cost := mean
	if age := s.oldestAge(now); age > overdueFactor*mean {
		cost = math.Max(cost, age)
	}
	cost += inflightCostMillis * float64(len(s.outstanding))
	cost += s.waiting * decay(now-s.latencyUpdated, latencyHalfLifeMillis/10) * mean / float64(max(slots, 1))
	weight := decay(now-s.outcomeUpdated, outcomeHalfLifeMillis)
	return cost + weight*(s.shedShare*shedCostMillis+s.failedShare*failure)
}

// Stalled reports whether the age of the oldest outstanding request exceeds overdueFactor times HighLatency.
func (s *Stat) Stalled(now tiller.Millis, prior float64) bool {
	return s.oldestAge(now) > overdueFactor*s.HighLatency(now, prior)
}

// oldestAge returns the age of the oldest outstanding request, or 0 if there is none.
func (s *Stat) oldestAge(now tiller.Millis) float64 {
	var age tiller.Millis
	for _, sent := range s.outstanding {
		age = max(age, now-sent)
	}
	return float64(age)
}

func decay(age tiller.Millis, halfLife float64) float64 {
	return math.Exp2(-float64(max(age, 0)) / halfLife)
}
