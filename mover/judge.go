package mover

import "math"

const (
	// faultScore is the log-likelihood ratio at which a version is called faulty. A good version reaches
	// it with a probability of about e^-faultScore per route and restart of the sum.
	faultScore = 16.0
	// minOld is the number of requests of the old version without which nothing is compared.
	minOld = 20
	// riseFactor and riseShare set the smallest rise of a rate that counts as a fault:
	// to three times the old rate, and by at least 4 in 100.
	riseFactor = 3.0
	riseShare  = 0.04
	// minRate is the lowest old rate that is assumed. Below it, a handful of failures by chance would be
	// many times the old rate: with 0.002, good versions with a true rate of 0.005 were taken back (seed 365).
	minRate = 0.01
	// minRequests is the number of requests on a route after which a version without a fault is judged good there.
	minRequests = 60
	// recentRequests bounds the number of old requests that the old rate is estimated from. Older ones
	// count half again and again, because the rates of the old version change with load and time of day.
	recentRequests = 1000
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
	seen   map[string]RouteCounts
	scores map[string]*score
	fault  Fault
}

// score holds the cumulative sums of one route. Restarting a sum at zero when it
// falls below finds faults that begin late or grow slowly.
type score struct {
	failed, slow float64
	total        RouteCounts
	// recent are the latest counts of the old version, fading.
	recent Counts
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{seen: make(map[string]RouteCounts), scores: make(map[string]*score)}
}

// Update takes the present evidence of one owner, named by owner, and returns the fault if one has been found.
func (j *Judge) Update(owner string, e Evidence) Fault {
	for route, now := range e {
		key := owner + "\x00" + route
		before := j.seen[key]
		j.seen[key] = now
		j.add(route, RouteCounts{Old: now.Old.Sub(before.Old), New: now.New.Sub(before.New)})
	}
	return j.fault
}

// Forget removes what is known of an owner that has lost its counts, so that its next evidence starts from zero.
func (j *Judge) Forget(owner string) {
	for key := range j.seen {
		if len(key) > len(owner) && key[:len(owner)] == owner && key[len(owner)] == 0 {
			delete(j.seen, key)
		}
	}
}

// Fault returns the fault that was found; its Cause is NoFault while there is none.
func (j *Judge) Fault() Fault { return j.fault }

// Judged says whether every route with requests of the old version has enough requests of the new one.
func (j *Judge) Judged() bool {
	judged := false
	for _, s := range j.scores {
		if s.total.Old.Requests < minOld {
			continue
		}
		if s.total.New.Requests < minRequests {
			return false
		}
		judged = true
	}
	return judged
}

func (j *Judge) add(route string, delta RouteCounts) {
	s, ok := j.scores[route]
	if !ok {
		s = &score{}
		j.scores[route] = s
	}
	s.total.Old = s.total.Old.Add(delta.Old)
	s.total.New = s.total.New.Add(delta.New)
	s.recent = s.recent.Add(delta.Old).faded()
	old := s.recent
	s.failed = max(0, s.failed+ratio(delta.New.Failed, delta.New.Requests, old.Failed, old.Requests))
	s.slow = max(0, s.slow+ratio(delta.New.Slow, delta.New.Timed, old.Slow, old.Timed))
	j.decide(route, s)
}

// faded returns half of the counts when they are more than are to be kept.
func (c Counts) faded() Counts {
	if c.Requests <= recentRequests {
		return c
	}
	return Counts{c.Requests / 2, c.Failed / 2, c.Timed / 2, c.Slow / 2}
}

func (j *Judge) decide(route string, s *score) {
	switch {
	case j.fault.Cause != NoFault:
	case s.failed > faultScore:
		j.fault = Fault{Route: route, Cause: FaultFailures}
	case s.slow > faultScore:
		j.fault = Fault{Route: route, Cause: FaultLatency}
	}
}

// ratio returns the logarithm of how much better k events in n trials fit a raised rate than the old rate.
func ratio(k, n, oldK, oldN int64) float64 {
	if n <= 0 || oldN < minOld {
		return 0
	}
	p0 := max(minRate, float64(oldK)/float64(max(oldN, 1)))
	p1 := min(max(p0*riseFactor, p0+riseShare), 0.95)
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}
