package gatherer

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// groupShards is the number of a query's shards for which there is one group in each failure domain of a large
	// fleet. With more shards in a group the loss of its daemon costs more; with fewer there are more sub-queries.
	groupShards = 24
	// maxDirectShards is the number of shards of a query up to which a daemon requests them itself. More take the
	// processor of a weak VM longer than the upstreams take to answer.
	maxDirectShards = 60
	// gatherersPerGroup is the number of daemons of a failure domain that may gather a group: the first choice
	// and a standby.
	gatherersPerGroup = 2
	// rankedPerGroup is the number of daemons that are ranked for a group. Those after the first gatherersPerGroup
	// take the places of unreachable ones.
	rankedPerGroup = 6
	// rankPenaltyMillis is the added cost of the standby, whose connections are used less.
	rankPenaltyMillis = 8.0
	// nearPeerLatencyMillis and farPeerLatencyMillis are the latencies assumed for a sub-query in this region
	// and to another one.
	nearPeerLatencyMillis = 30.0
	farPeerLatencyMillis  = 75.0
	// nearRTTMillis and farRTTMillis are the network round-trip times of a sub-query and its reply assumed until
	// one is measured.
	nearRTTMillis = 3.0
	farRTTMillis  = 45.0
)

// groupKey identifies a group of shards in a failure domain. Daemons of that domain gather the group from the
// upstreams there, so that the traffic stays in the domain.
type groupKey struct {
	domain string
	group  int
}

// isGrouped reports whether the shards of a query are divided into groups that daemons gather for each other.
// With few shards in a small fleet, each daemon has enough connections and processor time to request the shards from
// the upstreams of its region itself.
func (s *State) isGrouped(service string) bool {
	if s.configuration == nil {
		return false
	}
	if s.configuration.ShardCount(service) > maxDirectShards {
		return true
	}
	limit := s.configuration.Service(service).MaxConnections
	return limit > 0 && s.fleet.share(float64(limit)) < minConnections
}

// groupCount returns the number of groups for a number of shards.
func groupCount(shards int) int { return (shards + groupShards - 1) / groupShards }

// groupOf returns the index of the group that a shard belongs to.
func groupOf(service string, groups int) int {
	return int(xxhash.Sum64String(service) % uint64(max(groups, 1)))
}

// gatherers returns the daemons of a failure domain that regularly gather a group, the preferred one first. This
// daemon is represented by nil.
func (s *State) gatherers(key groupKey) []*peer {
	ranked := s.rankedGatherers(key)
	return ranked[:min(len(ranked), gatherersPerGroup)]
}

// rankedGatherers returns the daemons of a failure domain that may gather a group, in order of preference.
func (s *State) rankedGatherers(key groupKey) []*peer {
	if known, ok := s.gatherersByGroup[key]; ok {
		return known
	}
	type ranked struct {
		peer  *peer
		score float64
	}
	var all []ranked
	if key.domain == s.settings.Domain {
		all = append(all, ranked{nil, gatherScore(s.settings.VM, s.settings.Power, key)})
	}
	for _, p := range s.peers {
		if p.Domain == key.domain && !p.Leaving {
			all = append(all, ranked{p, gatherScore(p.VM, p.Power, key)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	preferred := make([]*peer, 0, rankedPerGroup)
	for _, r := range all[:min(len(all), rankedPerGroup)] {
		preferred = append(preferred, r.peer)
	}
	s.gatherersByGroup[key] = preferred
	return preferred
}

// gatherScore ranks a daemon for a group by weighted rendezvous hashing. The weight is the square of its power,
// because it gathers for a whole failure domain.
func gatherScore(vm string, power int, key groupKey) float64 {
	h := xxhash.Sum64String(vm + "\x00" + key.domain + "\x00" + string(rune('a'+key.group)))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	weight := float64(max(power, 1))
	return -weight * weight / math.Log(unit)
}

// isGatherer reports whether this daemon gathers a shard from upstreams in its failure domain. groups is the
// number of groups that the shards of the query are divided into.
func (s *State) isGatherer(service string, groups int) bool {
	if !s.isGrouped(service) {
		return true
	}
	for _, p := range s.gatherers(groupKey{s.settings.Domain, groupOf(service, groups)}) {
		if p == nil {
			return true
		}
	}
	return false
}

// peerCost returns the cost in milliseconds of a sub-query to another daemon.
func (s *State) peerCost(now tiller.Millis, p *peer) float64 {
	return p.stat.Cost(now, s.expectedPeerLatency(p), 1, failureCostMillis) * (1 + costJitter*s.random.Float64())
}

func (s *State) expectedPeerLatency(p *peer) float64 {
	if p.Region == s.settings.Region {
		return nearPeerLatencyMillis
	}
	return farPeerLatencyMillis
}

// mayUsePeer reports whether sub-queries of a query may go to another daemon.
func (s *State) mayUsePeer(now tiller.Millis, p *peer, q *query) bool {
	if p.Leaving || p.unreachable || s.isIsolated(now) || now < p.rejectsUntil || !q.route.Allows(p.Region) {
		return false
	}
	return !p.stat.Stalled(now, s.expectedPeerLatency(p))
}

// rankedPeer is a daemon with its cost in milliseconds. A nil peer is this daemon.
type rankedPeer struct {
	peer *peer
	cost float64
}

// cheapestGatherer returns the cheapest daemon to gather the shard that an upstream serves, and false if there
// is none. The daemon except is not used.
func (s *State) cheapestGatherer(now tiller.Millis, q *query, u *upstream, except *peer) (rankedPeer, bool) {
	best := rankedPeer{cost: math.Inf(1)}
	found := false
	usable, limit := 0, math.MaxInt
	if s.isGrouped(u.Service) {
		limit = gatherersPerGroup
	}
	for rank, p := range s.gathererCandidates(u, q.groups) {
		if p == nil {
			// This daemon needs no sub-query.
			return rankedPeer{}, true
		}
		if p.unreachable || p.Leaving {
			continue
		}
		if usable++; usable > limit {
			break
		}
		if p == except || !s.mayUsePeer(now, p, q) {
			continue
		}
		if cost := s.peerCost(now, p) + rankPenaltyMillis*float64(rank); cost < best.cost {
			best, found = rankedPeer{p, cost}, true
		}
	}
	return best, found
}

// gathererCandidates returns the daemons that may gather the shard that an upstream serves, in order of
// preference. groups is the number of groups that the shards of the query are divided into.
func (s *State) gathererCandidates(u *upstream, groups int) []*peer {
	if s.isGrouped(u.Service) {
		return s.rankedGatherers(groupKey{u.Domain, groupOf(u.Service, groups)})
	}
	if u.Region == s.settings.Region {
		return []*peer{nil}
	}
	return s.peersByRegion[u.Region]
}
