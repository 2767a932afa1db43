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
	// forgetMillis is the half-life of what is known of an upstream that is not asked.
	forgetMillis = 3000.0
	// inflightMillis is the cost of each outstanding request, about one service time of a shard.
	inflightMillis = 15.0
	// shedMillis is the cost of an upstream that sheds every request.
	shedMillis = 80.0
	// outcomeHalfLife is the half-life in milliseconds of the shares shed and failed.
	outcomeHalfLife = 1500.0
	// pauseMillis is longer than upstreams pause for a moment.
	pauseMillis = 350.0
	// overdueFactor is the multiple of the expected time after which an outstanding request
	// counts as a sign that its upstream is stalled.
	overdueFactor = 2.0
	// clipFactor and clipMillis bound a sample by the mean before: one pause says little about the
	// next request, and an upstream that turned slow is known after a few samples all the same.
	clipFactor = 3.0
	clipMillis = 20.0
)

// Stat is what one daemon has measured of one upstream. It changes in place and has one owner.
type Stat struct {
	mean      float64
	deviation float64
	updated   tiller.Millis
	shed      float64
	failed    float64
	judged    tiller.Millis
	waiting   float64
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
	s.sample(now, float64(now-sent))
	s.judge(now, 0, 0)
	s.waiting = float64(waiting)
}

// Shed records that the upstream turned a request away.
func (s *Stat) Shed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.judge(now, 1, 0)
}

// Failed records that a request ended without an answer.
func (s *Stat) Failed(now tiller.Millis, attempt uint64) {
	delete(s.outstanding, attempt)
	s.judge(now, 0, 1)
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
		s.sample(now, took)
	}
	if took > pauseMillis {
		s.judge(now, 0, 1)
	}
}

func (s *Stat) sample(now tiller.Millis, took float64) {
	if s.updated == 0 {
		s.mean, s.deviation = took, took/2
	} else {
		took = math.Min(took, clipFactor*s.mean+clipMillis)
		s.deviation += smoothing * (math.Abs(took-s.mean) - s.deviation)
		s.mean += smoothing * (took - s.mean)
	}
	s.updated = now
}

func (s *Stat) judge(now tiller.Millis, shed, failed float64) {
	keep := decay(now-s.judged, outcomeHalfLife)
	s.shed = s.shed*keep*(1-smoothing) + shed*smoothing
	s.failed = s.failed*keep*(1-smoothing) + failed*smoothing
	s.judged = now
}

// Inflight returns the number of outstanding requests.
func (s *Stat) Inflight() int { return len(s.outstanding) }

// Mean returns the expected latency. What was measured long ago counts less than prior,
// which is the latency of comparable upstreams.
func (s *Stat) Mean(now tiller.Millis, prior float64) float64 {
	if s.updated == 0 {
		return prior
	}
	keep := decay(now-s.updated, forgetMillis)
	return s.mean*keep + prior*(1-keep)
}

// High returns a latency that few answers exceed.
func (s *Stat) High(now tiller.Millis, prior float64) float64 {
	if s.updated == 0 {
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
	if age := s.oldest(now); age > overdueFactor*mean {
		cost = math.Max(cost, age)
	}
	cost += inflightMillis * float64(len(s.outstanding))
	cost += s.waiting * decay(now-s.updated, forgetMillis/10) * mean / float64(max(slots, 1))
	keep := decay(now-s.judged, outcomeHalfLife)
	return cost + keep*(s.shed*shedMillis+s.failed*failure)
}

// Stalled says whether the oldest outstanding request has taken far longer than expected.
func (s *Stat) Stalled(now tiller.Millis, prior float64) bool {
	return s.oldest(now) > overdueFactor*s.High(now, prior)
}

// oldest returns the age of the oldest outstanding request.
func (s *Stat) oldest(now tiller.Millis) float64 {
	var age tiller.Millis
	for _, sent := range s.outstanding {
		age = max(age, now-sent)
	}
	return float64(age)
}

func decay(age tiller.Millis, halfLife float64) float64 {
	return math.Exp2(-float64(max(age, 0)) / halfLife)
}
