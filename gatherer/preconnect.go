package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

// preconnectCount is the number of connections that are opened to a new upstream in this region.
const preconnectCount = 2

// settleFleet opens connections ahead of the first requests.
func (s *State) settleFleet() {
	s.settled = true
	s.preconnectUpstreams()
	s.preconnectPeers()
}

// SettleMillis is the time in which daemons that start together discover each other. FleetSettled is due after
// it. A fleet with a daemon that is older by this time has already settled.
const SettleMillis = 3 * tiller.Second

// settleIfFleetRuns opens connections at once if the fleet had already settled before this daemon started,
// because queries arrive right after a restart.
func (s *State) settleIfFleetRuns() {
	for _, p := range s.peers {
		if !s.settled && s.settings.Incarnation-p.Incarnation >= SettleMillis.Duration().Nanoseconds() {
			s.settleFleet()
		}
	}
}

// preconnectUpstreams opens connections to the upstreams that this daemon has come to send requests to, for example
// because a configuration names another set of shards.
func (s *State) preconnectUpstreams() {
	if !s.settled {
		return
	}
	for _, u := range s.upstreams {
		s.preconnect(u)
	}
}

// preconnect opens connections to an upstream in this region that this daemon will send requests to.
func (s *State) preconnect(u *upstream) {
	if u.preconnected || s.configuration == nil || !s.configuration.Uses(u.Service) {
		return
	}
	if u.Region != s.settings.Region || u.Draining || s.isGrouped(u.Service) && u.Domain != s.settings.Domain || !s.isGatherer(u.Service, s.groupCountOf(u.Service)) {
		return
	}
	u.preconnected = true
	s.emit(PreconnectUpstream{Upstream: u.Upstream, Connections: preconnectCount})
}

// preconnectPeers opens a connection to each daemon of another region that may gather for this one. Opening it
// takes a network round trip, which a sub-query would otherwise wait for.
func (s *State) preconnectPeers() {
	if !s.settled || s.configuration == nil {
		return
	}
	for _, u := range s.upstreams {
		if u.Region == s.settings.Region || s.configuration.ShardCount(u.Service) == 0 {
			continue
		}
		candidates := s.gathererCandidates(u, s.groupCountOf(u.Service))
		if s.isGrouped(u.Service) {
			candidates = candidates[:min(len(candidates), gatherersPerGroup)]
		}
		for _, p := range candidates {
			if p == nil || p.preconnected || p.unreachable {
				continue
			}
			p.preconnected = true
			s.emit(PreconnectPeer{Member: p.Member})
		}
	}
}
