package limiter

import tiller "github.com/carawaytiller/carawaytiller"

// Limit holds the number of requests in flight on one upstream and the number allowed.
// It is an immutable value; the With methods return the changed copy.
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

// New returns the Limit of an upstream about which nothing is known: it is taken to be cold.
// The allowance and the quota are numbers of requests.
func New(quota, allowance int) Limit {
	l := Limit{quota: max(quota, 0), coldAllowance: max(allowance, 0), halvedAt: -1}
	return l.WithRestart()
}

// InFlight returns the number of requests in flight.
func (l Limit) InFlight() int { return l.inFlight }

// Limit returns the number of requests allowed in flight.
func (l Limit) Limit() int { return l.limit }

// Quota returns the bound of the limit.
func (l Limit) Quota() int { return l.quota }

// ColdAllowance returns the number of requests allowed after a restart of the upstream.
func (l Limit) ColdAllowance() int { return l.coldAllowance }

// Cold says whether the upstream has not yet shown that it bears its quota, nor shed since it started.
func (l Limit) Cold() bool { return l.cold }

// Admits says whether one more request may be sent.
func (l Limit) Admits() bool { return l.inFlight < l.limit }

// WithStarted returns l with one more request in flight.
func (l Limit) WithStarted() Limit {
	l.inFlight++
	return l
}

// WithEnded returns l with one request less in flight, where its end says nothing about the upstream.
func (l Limit) WithEnded() Limit {
	l.inFlight = max(l.inFlight-1, 0)
	return l
}

// WithCompleted returns l after a completed request. The limit doubles while the upstream is cold,
// else grows by one, after as many completed requests of normal latency as the limit counts.
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

// WithShed returns l after the upstream shed a request sent at sentAt. The limit is halved
// once per round trip: requests sent before the last halving do not halve it again.
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

// WithRestart returns l after a sign that the upstream is cold.
func (l Limit) WithRestart() Limit {
	l.limit = min(l.coldAllowance, l.quota)
	l.completed = 0
	l.cold = true
	return l
}

// WithWarm returns l for a unit without a cold allowance, after the unit
// that has the allowance reported that the upstream is warm.
func (l Limit) WithWarm() Limit {
	l.limit = max(l.limit, min(1, l.quota))
	l.cold = false
	return l
}

// WithQuota returns l under another quota and allowance. A smaller quota holds at once;
// requests in flight above it are left to finish.
func (l Limit) WithQuota(quota, allowance int) Limit {
	l.quota = max(quota, 0)
	l.coldAllowance = max(allowance, 0)
	l.limit = min(l.limit, l.quota)
	if l.cold && l.limit == 0 {
		l.limit = min(l.coldAllowance, l.quota)
	}
	return l
}

// WithExcess returns l after a report that the upstream runs excess requests more than its slots.
// A report can only lower the limit, and not below one request, because it may be stale.
func (l Limit) WithExcess(excess int) Limit {
	if excess <= 0 || l.limit == 0 {
		return l
	}
	l.limit = min(l.limit, max(l.quota-excess, 1))
	l.completed = 0
	return l
}

func (l Limit) increasedBy(n int) Limit {
	l.limit += n
	if l.limit >= l.quota {
		l.limit = l.quota
		l.cold = false
	}
	return l
}
