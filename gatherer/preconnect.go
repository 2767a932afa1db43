package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

// warmConnections is the number of connections that are opened to a new upstream of the own region.
const preconnectCount = 2

// settle opens connections ahead of the first requests.
func (s *State) settleFleet() {
	s.settled = true
	for _, u := range s.upstreams {
		s.preconnect(u)
	}
	s.preconnectPeers()
}

// SettleMillis is the time in which daemons that start together get to know each other. FleetSettled is due
// then, and a fleet with a daemon that is older has settled before.
const SettleMillis = 3 * tiller.Second

// join opens connections at once in a fleet that has settled before this daemon started. After a restart
// queries come right away.
func (s *State) settleIfFleetRuns() {
	for _, p := range s.peers {
		if !s.settled && s.settings.Incarnation-p.Incarnation >= SettleMillis.Duration().Nanoseconds() {
			s.settleFleet()
		}
	}
}

// warm opens connections to an upstream that this daemon is going to ask.
func (s *State) preconnect(u *upstream) {
	if u.Region != s.settings.Region || u.Draining || s.isGrouped(u.Service) && u.Domain != s.settings.Domain || !s.isGatherer(u.Service, s.groupCountOf(u.Service)) {
		return
	}
	s.emit(PreconnectUpstream{Upstream: u.Upstream, Connections: preconnectCount})
}

// warmPeers opens a connection to each daemon of another region that may gather for this one. To open
// one takes the way there and back, which a sub-query would have to wait for.
func (s *State) preconnectPeers() {
	if !s.settled || s.configuration == nil {
		return
	}
	for _, u := range s.upstreams {
		if u.Region == s.settings.Region || s.configuration.ShardsWith(u.Service) == 0 {
			continue
		}
		for _, p := range s.gathererCandidates(u, s.groupCountOf(u.Service)) {
			if p == nil || p.preconnected || p.unreachable {
				continue
			}
			p.preconnected = true
			s.emit(PreconnectPeer{Member: p.Member})
		}
	}
}
