package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/hedger"
)

const (
	// nearLatencyMillis is the latency assumed for an upstream in this region until enough is measured.
	nearLatencyMillis = 20.0
	// farLatencyMillis is the same for other regions. It includes a network round trip of about 2 × 20 ms.
	farLatencyMillis = 65.0
	// farPenaltyMillis is the added cost of an upstream in another region. It stands for the price of traffic
	// between regions.
	farPenaltyMillis = 15.0
	// costJitter is the largest relative random increase of a cost. It spreads requests over candidates with
	// about equal costs.
	costJitter = 0.15
	// failureCostMillis is the cost of an upstream that fails every request, about the longest wait for
	// another upstream.
	failureCostMillis = 400.0
	// shardFailureCostMillis is the same for a shard whose request can be sent again at once, about the network
	// round trip to another region.
	shardFailureCostMillis = 60.0
	// minConnections is the minimum number of outstanding requests that a daemon may have at an upstream, even
	// in a large fleet.
	minConnections = 2
)

// latencyKey identifies requests with similar latency: those of one route to one region.
type latencyKey struct{ region, route string }

// latencyOf returns the latency estimate shared by upstreams in the region of u for the route of q.
func (s *State) latencyOf(u *upstream, q *query) *hedger.Latency {
	key := latencyKey{region: u.Region, route: q.route.Name}
	latency, ok := s.latencies[key]
	if !ok {
		latency = hedger.NewLatency()
		s.latencies[key] = latency
	}
	return latency
}

// expectedLatency returns the median latency, in milliseconds, of upstreams in the region of u for the route
// of q.
func (s *State) expectedLatency(now tiller.Millis, u *upstream, q *query) float64 {
	if latency := s.latencyOf(u, q); latency.HasEnoughSamples(now) {
		return float64(latency.Median(now))
	}
	if u.Region == s.settings.Region {
		return nearLatencyMillis
	}
	return farLatencyMillis
}

// failureCost returns the cost, for the next request of a shard, of an upstream that fails every request. It
// is low if the request can be sent again afterwards, and high if a failure loses the shard.
func (s *State) failureCost(sh *shard) float64 {
	if !sh.query.isSingle() && s.allowsAnother(sh) {
		return shardFailureCostMillis
	}
	return failureCostMillis
}

// cost returns the cost in milliseconds by which upstreams are compared for a query. failure is the
// failureCost of the shard.
func (s *State) cost(now tiller.Millis, u *upstream, q *query, failure float64) float64 {
	cost := u.stat.Cost(now, s.expectedLatency(now, u, q), u.Slots, failure)
	cost += s.pauses.Remaining(now, &u.stalls)
	cost *= 1 + costJitter*s.random.Float64()
	if u.Region != s.settings.Region {
		cost += farPenaltyMillis
	}
	return cost
}

// allowsAnother reports whether the route and the retry budget allow one more request after the next one.
func (s *State) allowsAnother(sh *shard) bool {
	return sh.possibleRuns+sh.outstanding+1 < sh.query.route.Attempts && s.budget(sh.service).Allows(1)
}

// hasConnectionShare reports whether one more outstanding request, which takes a connection, is within this
// daemon's share of the upstream's connection limit. An upstream resets connections beyond the limit, and the
// requests on them are lost.
func (s *State) hasConnectionShare(u *upstream) bool {
	limit := s.configuration.Service(u.Service).MaxConnections
	return limit <= 0 || u.stat.Inflight() < max(int(safetyFactor*float64(limit))/s.connectionSharers(u), minConnections)
}

// connectionSharers returns the number of daemons that share the connection limit of an upstream. The
// upstreams of shards mostly get requests from a few daemons near them; one further share is reserved for all
// other daemons.
func (s *State) connectionSharers(u *upstream) int {
	switch {
	case s.configuration.ShardCount(u.Service) == 0 || u.Region != s.settings.Region:
		return max(s.fleet.size, 1)
	case s.isGrouped(u.Service):
		return gatherersPerGroup + 1
	}
	return len(s.peersByRegion[u.Region]) + 2
}

// candidate is an upstream with its cost in milliseconds.
type candidate struct {
	upstream *upstream
	cost     float64
	// full is true if the upstream has no capacity now. The cost then includes the expected wait.
	full bool
}

// cheapestByRegion returns the cheapest upstream for a shard in this region and the cheapest one in other
// regions; an upstream is nil if there is none. If again is false it considers only upstreams that the shard
// was not sent to, otherwise only those that it was sent to.
func (s *State) cheapestByRegion(now tiller.Millis, sh *shard, again bool) (near, far candidate) {
	near.cost, far.cost = math.Inf(1), math.Inf(1)
	failure := s.failureCost(sh)
	for _, u := range s.upstreamsByService[sh.service] {
		if !s.isUsable(u, sh.query.route) || sh.hasTried(u) != again || !s.allowsVersion(now, u, sh.canary) || sh.canary && !s.admitsCanary(now, u) || u.isUnreachable(now) || sh.query.cut[u.Domain] || !s.admitsCold(now, u) || !s.admitsLimit(now, u) {
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

// cheaper returns the cheaper of two candidates.
func cheaper(a, b candidate) candidate {
	if b.cost < a.cost {
		return b
	}
	return a
}

// chooseUpstream returns the upstream for the next request of a shard; the upstream is nil if there is none.
// An upstream that the shard was already sent to is used only if there is no other and no request is
// outstanding. The upstream may be full: waiting for it is better than using another one whose cost is higher
// by more than the wait.
func (s *State) chooseUpstream(now tiller.Millis, sh *shard) candidate {
	if s.wantsCanary(now, sh) {
		sh.canary = true
		c := cheaper(s.cheapestByRegion(now, sh, false))
		sh.canary = false
		if c.upstream != nil && !c.full {
			return c
		}
	}
	c := cheaper(s.cheapestByRegion(now, sh, false))
	if c.upstream == nil && len(sh.tried) > 0 && sh.outstanding == 0 {
		c = cheaper(s.cheapestByRegion(now, sh, true))
	}
	return c
}
