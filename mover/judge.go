package mover

import "math"

const (
	// faultThreshold is the log-likelihood ratio above which a version is considered faulty. A good version
	// exceeds it with a probability of about e^-faultThreshold per route and restart of the sum.
	faultThreshold = 16.0
	// minOldRequests is the minimum number of requests of the old version for a comparison.
	minOldRequests = 20
	// minRiseFactor and minRise set the smallest increase of a rate that counts as a fault:
	// to three times the old rate, and by at least 4 in 100 requests.
	minRiseFactor = 3.0
	minRise       = 0.04
	// minOldRate is the lower bound of the old rate in the comparison. With a smaller bound, a few random
	// failures would be many times the old rate: with 0.002, good versions with a true failure rate of 0.005 were
	// rolled back in simulation (seed 365).
	minOldRate = 0.01
	// minNewRequests is the number of requests on a route after which a new version without a fault is considered
	// good on that route.
	minNewRequests = 60
	// maxRecentRequests bounds the number of requests from which the rates of the old version are estimated.
	// When it is exceeded, the counts are halved, so that older requests lose weight: the rates
	// change with load and time of day.
	maxRecentRequests = 1000
)

// Cause is the rate that increased when a fault was found.
type Cause string

// The values of Cause.
const (
	// NoFault means that no fault was found.
	NoFault Cause = ""
	// FaultFailures means that the new version fails more often than the old one.
	FaultFailures Cause = "Failures"
	// FaultLatency means that the new version is slow more often than the old one.
	FaultLatency Cause = "Latency"
)

// Fault is a fault of the new version with the route on which it was found.
type Fault struct {
	Route string
	Cause Cause
}

// Judge compares the two versions of a rollout by the combined evidence of all owners. Once a fault is found,
// it stays, whatever evidence follows. A Judge must not be used concurrently.
type Judge struct {
	lastCounts map[string]RouteCounts
	scores     map[string]*routeScore
	fault      Fault
}

// routeScore holds the cumulative sums (CUSUM) of log-likelihood ratios of one route. A sum that falls below
// zero restarts at zero, so that faults that begin late or grow slowly are found.
type routeScore struct {
	failureScore, latencyScore float64
	total                      RouteCounts
	// recentOld holds the counts of the old version, with less weight for older requests.
	recentOld Counts
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{lastCounts: make(map[string]RouteCounts), scores: make(map[string]*routeScore)}
}

// Update adds what is new in the evidence of one owner and returns the fault if one has been found. The evidence
// holds all counts of the owner, not the difference to the last call.
func (j *Judge) Update(owner string, e Evidence) Fault {
	for route, current := range e {
		key := owner + "\x00" + route
		previous := j.lastCounts[key]
		j.lastCounts[key] = current
		j.add(route, RouteCounts{Old: current.Old.Sub(previous.Old), New: current.New.Sub(previous.New)})
	}
	return j.fault
}

// Forget resets an owner that has lost its counts, so that its next evidence counts from zero. What the owner
// contributed before is kept.
func (j *Judge) Forget(owner string) {
	for key := range j.lastCounts {
		if len(key) > len(owner) && key[:len(owner)] == owner && key[len(owner)] == 0 {
			delete(j.lastCounts, key)
		}
	}
}

// Fault returns the fault that was found. Its Cause is NoFault if there is none.
func (j *Judge) Fault() Fault { return j.fault }

// Judged reports whether there is enough evidence to call a version without a fault good: every route with
// enough requests of the old version, of which there must be one, also has enough of the new one.
func (j *Judge) Judged() bool {
	judged := false
	for _, s := range j.scores {
		if s.total.Old.Requests < minOldRequests {
			continue
		}
		if s.total.New.Requests < minNewRequests {
			return false
		}
		judged = true
	}
	return judged
}

func (j *Judge) add(route string, delta RouteCounts) {
	s, ok := j.scores[route]
	if !ok {
		s = &routeScore{}
		j.scores[route] = s
	}
	s.total.Old = s.total.Old.Add(delta.Old)
	s.total.New = s.total.New.Add(delta.New)
	s.recentOld = s.recentOld.Add(delta.Old).decayed()
	old := s.recentOld
	s.failureScore = max(0, s.failureScore+logLikelihoodRatio(delta.New.Failed, delta.New.Requests, old.Failed, old.Requests))
	s.latencyScore = max(0, s.latencyScore+logLikelihoodRatio(delta.New.Slow, delta.New.Timed, old.Slow, old.Timed))
	j.decide(route, s)
}

// decayed returns c, halved if it exceeds maxRecentRequests.
func (c Counts) decayed() Counts {
	if c.Requests <= maxRecentRequests {
		return c
	}
	return Counts{c.Requests / 2, c.Failed / 2, c.Timed / 2, c.Slow / 2}
}

// decide sets the fault if none is set and a sum of the route exceeds faultThreshold.
func (j *Judge) decide(route string, s *routeScore) {
	switch {
	case j.fault.Cause != NoFault:
	case s.failureScore > faultThreshold:
		j.fault = Fault{Route: route, Cause: FaultFailures}
	case s.latencyScore > faultThreshold:
		j.fault = Fault{Route: route, Cause: FaultLatency}
	}
}

// logLikelihoodRatio returns the logarithm of the likelihood of the given events in the given trials at the
// smallest rate that counts as a fault, divided by their likelihood at the old rate.
// It returns 0 when there are too few old trials.
func logLikelihoodRatio(events, trials, oldEvents, oldTrials int64) float64 {
	if trials <= 0 || oldTrials < minOldRequests {
		return 0
	}
	p0 := max(minOldRate, float64(oldEvents)/float64(max(oldTrials, 1)))
	p1 := min(max(p0*minRiseFactor, p0+minRise), 0.95)
	return float64(events)*math.Log(p1/p0) + float64(trials-events)*math.Log((1-p1)/(1-p0))
}
