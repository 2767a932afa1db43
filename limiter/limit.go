package limiter

import tiller "github.com/carawaytiller/carawaytiller"

// Limit tracks the number of requests in flight on one upstream and the number allowed.
// It is an immutable value; the With methods return a changed copy.
type Limit struct {
	inFlight      int
	limit         int
	coldAllowance int
	quota         int
	// completed counts the requests completed at normal latency since the limit last changed.
	completed int
	cold      bool
	// halvedAt is the time of the last halving.
	halvedAt tiller.Millis
}

// New returns the Limit of an upstream whose state is unknown; it is assumed to be cold.
// The quota and the cold allowance are numbers of requests.
func New(quota, allowance int) Limit {
	l := Limit{quota: max(quota, 0), coldAllowance: max(allowance, 0), halvedAt: -1}
	return l.WithRestart()
}

// InFlight returns the number of requests in flight.
func (l Limit) InFlight() int { return l.inFlight }

// Limit returns the number of requests allowed in flight.
func (l Limit) Limit() int { return l.limit }

// Quota returns the upper bound of the limit.
func (l Limit) Quota() int { return l.quota }

// ColdAllowance returns the number of requests allowed in flight after a restart of the upstream.
func (l Limit) ColdAllowance() int { return l.coldAllowance }

// Cold reports whether the upstream is assumed to be in a cold start. It is true from New or WithRestart
// until the limit reaches the quota, WithWarm is called, or a shed request leaves the halved limit above
// the cold allowance.
func (l Limit) Cold() bool { return l.cold }

// Admits reports whether another request may be sent.
func (l Limit) Admits() bool { return l.inFlight < l.limit }

// WithStarted returns l with one more request in flight.
func (l Limit) WithStarted() Limit {
	l.inFlight++
	return l
}

// WithEnded returns l after a request ended with an outcome that does not reflect the upstream's load.
func (l Limit) WithEnded() Limit {
	l.inFlight = max(l.inFlight-1, 0)
	return l
}

// WithCompleted returns l after a completed request; normal states whether its latency was normal.
// After as many requests of normal latency as the current limit, the limit doubles while the upstream
// is cold, and otherwise grows by one.
func (l Limit) WithCompleted(normal bool) Limit {
	l = l.WithEnded()
	if !normal || l.limit == 0 {
		return l
	}
	l.completed++
	if l.completed < l.limit {
		return l
	}
	l.completed = 0
	if l.cold {
		return l.increasedBy(l.limit)
	}
	return l.increasedBy(1)
}

// WithShed returns l after the upstream shed a request that was sent at sentAt. The limit is halved
// at most once per round trip: requests sent before the last halving do not halve it again.
func (l Limit) WithShed(sentAt, now tiller.Millis) Limit {
	l = l.WithEnded()
	if sentAt <= l.halvedAt || l.limit == 0 {
		return l
	}
	l.limit = max(l.limit/2, 1)
	l.completed = 0
	l.cold = l.cold && l.limit <= l.coldAllowance
	l.halvedAt = now
	return l
}

// WithRestart returns l after an indication that the upstream is cold: the limit returns to the cold allowance.
func (l Limit) WithRestart() Limit {
	l.limit = min(l.coldAllowance, l.quota)
	l.completed = 0
	l.cold = true
	return l
}

// WithWarm returns l for a unit without a cold allowance, after the unit with the allowance reported
// that the upstream is warm. The limit becomes at least 1, within the quota.
func (l Limit) WithWarm() Limit {
	l.limit = max(l.limit, min(1, l.quota))
	l.cold = false
	return l
}

// WithQuota returns l with another quota and cold allowance. A smaller quota applies immediately;
// requests in flight above it are not cancelled.
func (l Limit) WithQuota(quota, allowance int) Limit {
	l.quota = max(quota, 0)
	l.coldAllowance = max(allowance, 0)
	l.limit = min(l.limit, l.quota)
	if l.cold && l.limit == 0 {
		l.limit = min(l.coldAllowance, l.quota)
	}
	return l
}

// WithExcess returns l after a load report that the upstream runs excess more requests than it has
// slots. Because the report may be stale, it can only lower the limit, and not below 1.
func (l Limit) WithExcess(excess int) Limit {
	if excess <= 0 || l.limit == 0 {
		return l
	}
	l.limit = min(l.limit, max(l.quota-excess, 1))
	l.completed = 0
	return l
}

// increasedBy returns l with the limit increased by n, up to the quota. At the quota it is no longer cold.
func (l Limit) increasedBy(n int) Limit {
	l.limit += n
	if l.limit >= l.quota {
		l.limit = l.quota
		l.cold = false
	}
	return l
}
