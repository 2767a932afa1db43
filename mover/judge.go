package mover

import "math"

const (
	// faultScore is the log-likelihood ratio at which a version is called faulty. A good version reaches
	// it with a probability of about e^-faultScore per route and restart of the sum.
	faultThreshold = 16.0
	// minOld is the number of requests of the old version without which nothing is compared.
	minOldRequests = 20
	// riseFactor and riseShare set the smallest rise of a rate that counts as a fault:
	// to three times the old rate, and by at least 4 in 100.
	minRiseFactor = 3.0
	minRise       = 0.04
	// minRate is the lowest old rate that is assumed. Below it, a handful of failures by chance would be
	// many times the old rate: with 0.002, good versions with a true rate of 0.005 were taken back (seed 365).
	minOldRate = 0.01
	// minRequests is the number of requests on a route after which a version without a fault is judged good there.
	minNewRequests = 60
	// recentRequests bounds the number of old requests that the old rate is estimated from. Older ones
	// count half again and again, because the rates of the old version change with load and time of day.
	maxRecentRequests = 1000
)

// Cause says what a fault showed in.
type Cause string

// The causes.
const (
	// NoFault says that no fault showed.
	NoFault Cause = ""
	// FaultFailures says that the new version fails more often.
	FaultFailures Cause = "Failures"
	// FaultLatency says that the new version is slow more often.
	FaultLatency Cause = "Latency"
)

// Fault names the route and the cause of a fault.
type Fault struct {
	Route string
	Cause Cause
}

// Judge compares two versions over the joint evidence of all owners.
// A fault that was found stays: the judge never takes it back.
type Judge struct {
	lastCounts map[string]RouteCounts
	scores     map[string]*routeScore
	fault      Fault
}

// score holds the cumulative sums of one route. Restarting a sum at zero when it
// falls below finds faults that begin late or grow slowly.
type routeScore struct {
	failureScore, latencyScore float64
	total                      RouteCounts
	// recent are the latest counts of the old version, fading.
	recentOld Counts
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{lastCounts: make(map[string]RouteCounts), scores: make(map[string]*routeScore)}
}

// Update takes the present evidence of one owner, named by owner, and returns the fault if one has been found.
func (j *Judge) Update(owner string, e Evidence) Fault {
	for route, current := range e {
		key := owner + "\x00" + route
		previous := j.lastCounts[key]
		j.lastCounts[key] = current
		j.add(route, RouteCounts{Old: current.Old.Sub(previous.Old), New: current.New.Sub(previous.New)})
	}
	return j.fault
}

// Forget removes what is known of an owner that has lost its counts, so that its next evidence starts from zero.
func (j *Judge) Forget(owner string) {
	for key := range j.lastCounts {
		if len(key) > len(owner) && key[:len(owner)] == owner && key[len(owner)] == 0 {
			delete(j.lastCounts, key)
		}
	}
}

// Fault returns the fault that was found; its Cause is NoFault while there is none.
func (j *Judge) Fault() Fault { return j.fault }

// Judged says whether every route with requests of the old version has enough requests of the new one.
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

// faded returns half of the counts when they are more than are to be kept.
func (c Counts) decayed() Counts {
	if c.Requests <= maxRecentRequests {
		return c
	}
	return Counts{c.Requests / 2, c.Failed / 2, c.Timed / 2, c.Slow / 2}
}

func (j *Judge) decide(route string, s *routeScore) {
	switch {
	case j.fault.Cause != NoFault:
	case s.failureScore > faultThreshold:
		j.fault = Fault{Route: route, Cause: FaultFailures}
	case s.latencyScore > faultThreshold:
		j.fault = Fault{Route: route, Cause: FaultLatency}
	}
}

// ratio returns the logarithm of how much better k events in n trials fit a raised rate than the old rate.
func logLikelihoodRatio(events, trials, oldEvents, oldTrials int64) float64 {
	if trials <= 0 || oldTrials < minOldRequests {
		return 0
	}
	p0 := max(minOldRate, float64(oldEvents)/float64(max(oldTrials, 1)))
	p1 := min(max(p0*minRiseFactor, p0+minRise), 0.95)
	return float64(events)*math.Log(p1/p0) + float64(trials-events)*math.Log((1-p1)/(1-p0))
}
