package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/hedger"
)

const (
	// nearPriorMillis is the latency expected of an upstream of the own region before any is measured.
	nearLatencyMillis = 20.0
	// farPriorMillis is the same for other regions, with about two ways of 20 ms.
	farLatencyMillis = 65.0
	// farPenaltyMillis makes up for the price of bytes between regions.
	farPenaltyMillis = 15.0
	// noisePart spreads requests over candidates whose costs are about equal.
	costJitter = 0.15
	// failureMillis is the cost of an upstream that fails every request, about the longest wait for
	// another one.
	failureCostMillis = 400.0
	// shardFailureMillis is the same for a shard, whose request is sent again at once: about the way to
	// another region and back.
	shardFailureCostMillis = 60.0
	// minConnections is the number of requests that a daemon may have outstanding at an upstream
	// even when the fleet is large.
	minConnections = 2
)

// priorKey names requests with about the same latency: those on one route to one region.
type latencyKey struct{ region, route string }

// prior returns the latencies of upstreams like u.
func (s *State) latencyOf(u *upstream, q *query) *hedger.Latency {
	key := latencyKey{region: u.Region, route: q.route.Name}
	p, ok := s.latencies[key]
	if !ok {
		p = hedger.NewLatency()
		s.latencies[key] = p
	}
	return p
}

// expected returns the median latency of upstreams like u, in milliseconds.
func (s *State) expectedLatency(now tiller.Millis, u *upstream, q *query) float64 {
	if p := s.latencyOf(u, q); p.Known(now) {
		return float64(p.Median(now))
	}
	if u.Region == s.settings.Region {
		return nearLatencyMillis
	}
	return farLatencyMillis
}

// failureCost returns the cost of an upstream that fails every request, for the next one of a shard. Where a
// first request is lost, a second one mostly follows; where the last one is lost, so is the shard.
func (s *State) failureCost(sh *shard) float64 {
	if !sh.query.isSingle() && s.allowsAnother(sh) {
		return shardFailureCostMillis
	}
	return failureCostMillis
}

// cost ranks an upstream for a query. failure is the failureCost of the shard.
func (s *State) cost(now tiller.Millis, u *upstream, q *query, failure float64) float64 {
	cost := u.stat.Cost(now, s.expectedLatency(now, u, q), u.Slots, failure)
	cost += s.pauses.Remaining(now, &u.stalls)
	cost *= 1 + costJitter*s.random.Float64()
	if u.Region != s.settings.Region {
		cost += farPenaltyMillis
	}
	return cost
}

// mayFollow says whether the route and the budget allow one more request after the next one.
func (s *State) allowsAnother(sh *shard) bool {
	return sh.possibleRuns+sh.outstanding+1 < sh.query.route.Attempts && s.budget(sh.service).Allows(1)
}

// mayCarry says whether this daemon's share of the connections of an upstream has room. An upstream
// resets connections beyond its limit, and a request on one of those is lost.
func (s *State) hasConnectionShare(u *upstream) bool {
	limit := s.configuration.Service(u.Service).MaxConnections
	return limit <= 0 || u.stat.Inflight() < max(int(safetyFactor*float64(limit))/s.connectionSharers(u), minConnections)
}

// callers returns the number of daemons that divide the connections of an upstream like this one.
// The upstreams of shards are mostly asked by few daemons near them; one share is left to the others.
func (s *State) connectionSharers(u *upstream) int {
	switch {
	case s.configuration.ShardsWith(u.Service) == 0 || u.Region != s.settings.Region:
		return max(s.fleet.size, 1)
	case s.isGrouped(u.Service):
		return gatherersPerGroup + 1
	}
	return len(s.peersByRegion[u.Region]) + 2
}

// candidate is an upstream with its cost.
type candidate struct {
	upstream *upstream
	cost     float64
	// full says that the upstream has no room now; the cost holds the wait for it.
	full bool
}

// best returns the cheapest upstream for a shard that was not asked before; when all were asked,
// the cheapest of those, which have all turned the request away. again permits that.
func (s *State) cheapestByRegion(now tiller.Millis, sh *shard, again bool) (near, far candidate) {
	near.cost, far.cost = math.Inf(1), math.Inf(1)
	failure := s.failureCost(sh)
	for _, u := range s.upstreamsByService[sh.service] {
		if !s.isUsable(u, sh.query.route) || sh.hasTried(u) != again || u.isUnreachable(now) || !s.admitsCold(now, u) {
			continue
		}
		c := candidate{upstream: u, cost: s.cost(now, u, sh.query, failure)}
		if !s.hasCapacity(now, u, sh.query) {
			c.full = true
			c.cost += u.stat.Mean(now, s.expectedLatency(now, u, sh.query))
		}
		if u.Region == s.settings.Region {
			if c.cost < near.cost {
				near = c
			}
		} else if c.cost < far.cost {
			far = c
		}
	}
	return near, far
}

// cheaper returns the cheaper of two candidates; its upstream is nil when there is none.
func cheaper(a, b candidate) candidate {
	if b.cost < a.cost {
		return b
	}
	return a
}

// next returns the upstream for the next request of a shard; nil when there is none. It may be one
// without room: waiting for it is better than to ask one that is worse by more than the wait.
func (s *State) chooseUpstream(now tiller.Millis, sh *shard) candidate {
	c := cheaper(s.cheapestByRegion(now, sh, false))
	if c.upstream == nil && len(sh.tried) > 0 && sh.outstanding == 0 {
		c = cheaper(s.cheapestByRegion(now, sh, true))
	}
	return c
}
