// Package balancer estimates how long an upstream or a daemon takes to answer, and ranks
// candidates by it. Times are in milliseconds.
//
// It answers three load patterns: upstreams that turn slow while healthy (the moving average),
// upstreams that pause (the age of the oldest outstanding request), and upstreams that shed
// while their reported load is low (the share shed lately).
package balancer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.2
	// latencyHalfLifeMillis is the half-life of what is known of an upstream that is not asked.
	latencyHalfLifeMillis = 3000.0
	// inflightCostMillis is the cost of each outstanding request, about one service time of a shard.
	inflightCostMillis = 15.0
	// shedCostMillis is the cost of an upstream that sheds every request.
	shedCostMillis = 80.0
	// outcomeHalfLifeMillis is the half-life in milliseconds of the shares shed and failed.
	outcomeHalfLifeMillis = 1500.0
	// maxPauseMillis is longer than upstreams pause for a moment.
	maxPauseMillis = 350.0
	// overdueFactor is the multiple of the expected time after which an outstanding request
	// counts as a sign that its upstream is stalled.
	overdueFactor = 2.0
	// clipFactor and clipMillis bound a sample by the mean before: one pause says little about the
	// next request, and an upstream that turned slow is known after a few samples all the same.
	clipFactor       = 3.0
	clipMarginMillis = 20.0
)

// Stat is what one daemon has measured of one upstream. It changes in place and has one owner.
type Stat struct {
	mean           float64
	deviation      float64
	latencyUpdated tiller.Millis
	shedShare      float64
	failedShare    float64
	outcomeUpdated tiller.Millis
	waiting        float64
	// outstanding holds the send times of unanswered requests by attempt.
	outstanding map[uint64]tiller.Millis
}

// New returns a Stat without measurements.
func New() *Stat { return &Stat{outstanding: make(map[uint64]tiller.Millis)} }

// Sent records that a request was sent.
func (s *Stat) Sent(now tiller.Millis, attempt uint64) { s.outstanding[attempt] = now }

// Answered records an answer with the number of requests that wait at the upstream.
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

// Shed records that the upstream turned a request away.
func (s *Stat) Shed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.recordOutcome(now, 1, 0)
}

// Failed records that a request ended without an answer.
func (s *Stat) Failed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.recordOutcome(now, 0, 1)
}

// Abandoned records that a request was given up. The time that it took so far is a lower bound, and
// one that a pause does not explain counts as a failure.
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
	keep := decay(now-s.outcomeUpdated, outcomeHalfLifeMillis)
	s.shedShare = s.shedShare*keep*(1-smoothing) + shed*smoothing
	s.failedShare = s.failedShare*keep*(1-smoothing) + failed*smoothing
	s.outcomeUpdated = now
}

// Inflight returns the number of outstanding requests.
func (s *Stat) Inflight() int { return len(s.outstanding) }

// Mean returns the expected latency. What was measured long ago counts less than prior,
// which is the latency of comparable upstreams.
func (s *Stat) Mean(now tiller.Millis, prior float64) float64 {
	if s.latencyUpdated == 0 {
		return prior
	}
	keep := decay(now-s.latencyUpdated, latencyHalfLifeMillis)
	return s.mean*keep + prior*(1-keep)
}

// HighLatency returns a latency that few answers exceed.
func (s *Stat) HighLatency(now tiller.Millis, prior float64) float64 {
	if s.latencyUpdated == 0 {
		return 2 * prior
	}
	return s.Mean(now, prior) + 3*s.deviation
}

// Cost ranks an upstream: the latency that the next request has to expect there, in milliseconds,
// with what speaks against the upstream added. failure is the cost of an upstream that fails every
// request, in milliseconds.
func (s *Stat) Cost(now tiller.Millis, prior float64, slots int, failure float64) float64 {
	mean := s.Mean(now, prior)
	cost := mean
	if age := s.oldestAge(now); age > overdueFactor*mean {
		cost = math.Max(cost, age)
	}
	cost += inflightCostMillis * float64(len(s.outstanding))
	cost += s.waiting * decay(now-s.latencyUpdated, latencyHalfLifeMillis/10) * mean / float64(max(slots, 1))
	keep := decay(now-s.outcomeUpdated, outcomeHalfLifeMillis)
	return cost + keep*(s.shedShare*shedCostMillis+s.failedShare*failure)
}

// Stalled says whether the oldest outstanding request has taken far longer than expected.
func (s *Stat) Stalled(now tiller.Millis, prior float64) bool {
	return s.oldestAge(now) > overdueFactor*s.HighLatency(now, prior)
}

// oldestAge returns the age of the oldestAge outstanding request.
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
