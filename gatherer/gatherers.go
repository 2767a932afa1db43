package gatherer

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// groupShards is the number of a query's shards that make one more group in each failure domain
	// of a large fleet. More shards in a group make the loss of its daemon dearer, fewer make more
	// sub-queries.
	groupShards = 48
	// gatherersPerGroup is the number of daemons of a failure domain that may gather a group: the
	// first, and one at hand.
	gatherersPerGroup = 2
	// rankPenaltyMillis is the cost of the second daemon, whose connections are used less.
	rankPenaltyMillis = 8.0
	// nearPeerPriorMillis and peerPriorMillis are the latencies expected of a sub-query in the own
	// region and to another one.
	nearPeerLatencyMillis = 30.0
	farPeerLatencyMillis  = 75.0
	// nearWayMillis and farWayMillis are the times that a sub-query and its reply take before any is
	// measured.
	nearRTTMillis = 3.0
	farRTTMillis  = 45.0
)

// groupKey names the daemons of a failure domain that gather a group of the shards that have an
// upstream there, so that the parts stay in the domain.
type groupKey struct {
	domain string
	group  int
}

// isGrouped says whether the shards of a query are divided among the daemons of a region. With few
// daemons each has connections enough to ask the upstreams of its region itself.
func (s *State) isGrouped(service string) bool {
	if s.configuration == nil {
		return false
	}
	limit := s.configuration.Service(service).MaxConnections
	return limit > 0 && s.fleet.share(float64(limit)) < minConnections
}

// groups returns the number of groups into which the shards of a query are divided.
func groupCount(shards int) int { return (shards + groupShards - 1) / groupShards }

// groupOf returns the group of a shard.
func groupOf(service string, groups int) int {
	return int(xxhash.Sum64String(service) % uint64(max(groups, 1)))
}

// gatherers returns the daemons of a failure domain that gather a group, the first one first. The own
// daemon is nil.
func (s *State) gatherers(key groupKey) []*peer {
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
	first := make([]*peer, 0, gatherersPerGroup)
	for _, r := range all[:min(len(all), gatherersPerGroup)] {
		first = append(first, r.peer)
	}
	s.gatherersByGroup[key] = first
	return first
}

// gatherScore ranks a daemon for a group by weighted rendezvous hashing. The weight is the square
// of its power, because it works for a whole domain.
func gatherScore(vm string, power int, key groupKey) float64 {
	h := xxhash.Sum64String(vm + "\x00" + key.domain + "\x00" + string(rune('a'+key.group)))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	weight := float64(max(power, 1))
	return -weight * weight / math.Log(unit)
}

// isGatherer says whether this daemon gathers a shard whose upstream is in its failure domain.
// groups is the number of groups of the query that the shard belongs to.
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

// peerCost ranks another daemon for a sub-query.
func (s *State) peerCost(now tiller.Millis, p *peer) float64 {
	return p.stat.Cost(now, s.expectedPeerLatency(p), 1, failureCostMillis) * (1 + costJitter*s.random.Float64())
}

func (s *State) expectedPeerLatency(p *peer) float64 {
	if p.Region == s.settings.Region {
		return nearPeerLatencyMillis
	}
	return farPeerLatencyMillis
}

// mayAskPeer says whether sub-queries of a query may go to another daemon.
func (s *State) mayUsePeer(now tiller.Millis, p *peer, q *query) bool {
	if p.Leaving || p.unreachable || now < p.rejectsUntil || !q.route.Allows(p.Region) {
		return false
	}
	return !p.stat.Stalled(now, s.expectedPeerLatency(p))
}

// rankedPeer is a daemon with its cost. A nil peer is the own daemon.
type rankedPeer struct {
	peer *peer
	cost float64
}

// gathererFor returns the cheapest daemon to gather the shard that an upstream serves; false when
// there is none. except is left out.
func (s *State) cheapestGatherer(now tiller.Millis, q *query, u *upstream, except *peer) (rankedPeer, bool) {
	best := rankedPeer{cost: math.Inf(1)}
	found := false
	for rank, p := range s.gathererCandidates(u, q.groups) {
		if p == nil {
			// The own daemon needs no hop.
			return rankedPeer{}, true
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

// candidates returns the daemons that may gather the shard that an upstream serves, in the order of
// preference. groups is the number of groups of the query that the shard belongs to.
func (s *State) gathererCandidates(u *upstream, groups int) []*peer {
	if s.isGrouped(u.Service) {
		return s.gatherers(groupKey{u.Domain, groupOf(u.Service, groups)})
	}
	if u.Region == s.settings.Region {
		return []*peer{nil}
	}
	return s.peersByRegion[u.Region]
}
