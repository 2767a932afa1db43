package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// This file notices that this daemon is cut off from a failure domain. Requests to it are lost one way or the other,
// and a query that needs it would be held until its deadline and then fail with an answer that promises nothing. Such
// a query is refused at once as not run, so that its client tries another daemon, and the daemon reports itself as
// not ready while it cannot serve.

const (
	// cutMillis is the time without any answer from a failure domain after which it counts as cut off.
	cutMillis = 700 * tiller.Millis(1)
	// cutTargets is the number of upstreams and daemons of the failure domain that must have failed meanwhile.
	cutTargets = 3
	// cutTrialMillis is the interval at which one query uses the failure domains that are cut off, if no probe reaches
	// a daemon there before.
	cutTrialMillis = 3 * tiller.Second
)

// contact holds the requests that a failure domain did not answer since its last answer.
type contact struct {
	// silentSince is the time of the first of them; 0 if there is none.
	silentSince tiller.Millis
	// failed holds the upstreams and daemons that failed, up to cutTargets of them.
	failed map[string]bool
}

const (
	// isolatedMillis and isolatedPeers are the same as cutMillis and cutTargets for all other daemons together.
	// Several daemons are asked for each query, so both are reached within one query.
	isolatedMillis = 50 * tiller.Millis(1)
	isolatedPeers  = 4
)

// isIsolated reports whether no other daemon answers this one.
func (s *State) isIsolated(now tiller.Millis) bool {
	c := s.peerContact
	return c != nil && len(c.failed) >= min(isolatedPeers, len(s.peers)) && now-c.silentSince >= isolatedMillis
}

// recordPeerContact records whether another daemon answered.
func (s *State) recordPeerContact(now tiller.Millis, p *peer, answered bool) {
	s.recordContact(now, p.Domain, p.VM, answered)
	if answered {
		s.peerContact = nil
		return
	}
	if s.peerContact == nil {
		s.peerContact = &contact{silentSince: now, failed: make(map[string]bool)}
	}
	s.peerContact.failed[p.VM] = true
}

// isCut reports whether the failure domain counts as cut off.
func (c *contact) isCut(now tiller.Millis) bool {
	return c != nil && len(c.failed) >= cutTargets && now-c.silentSince >= cutMillis
}

// recordContact records whether an upstream or daemon of a failure domain answered.
func (s *State) recordContact(now tiller.Millis, domain, target string, answered bool) {
	if domain == "" || domain == s.settings.Domain {
		return
	}
	c := s.contacts[domain]
	if answered {
		if c.isCut(now) {
			s.emit(DomainCut{Domain: domain, Silent: now - c.silentSince})
		}
		delete(s.contacts, domain)
		return
	}
	if c == nil {
		c = &contact{silentSince: now, failed: make(map[string]bool)}
		s.contacts[domain] = c
	}
	if len(c.failed) >= cutTargets || c.failed[target] {
		return
	}
	if c.failed[target] = true; len(c.failed) == cutTargets {
		s.trialAt = max(now, c.silentSince+cutMillis) + cutTrialMillis
		s.emit(DomainCut{Domain: domain, Cut: true, Silent: now - c.silentSince})
	}
}

// DomainCut reports that the daemon has lost or regained contact with a failure domain.
type DomainCut struct {
	Domain string
	Cut    bool
	// Silent is the time since the first request that was not answered.
	Silent tiller.Millis
}

func (DomainCut) effect() {}

// silentMillis is the time after which a request without an answer shows that the other end may be out of reach. A
// connection that is refused sooner shows that its host is there, and many sub-queries have less time.
const silentMillis = 300

// isSilence reports whether a failure shows that the other end may be out of reach.
func isSilence(reason tiller.Reason, took tiller.Millis) bool {
	switch reason {
	case tiller.ReasonSilent:
		return true
	case tiller.ReasonConnectFailed, tiller.ReasonTimeout:
		return took >= silentMillis
	}
	return false
}

// cutDomains returns the failure domains that a new query must not use; nil if there is none or the query is a trial.
func (s *State) cutDomains(now tiller.Millis) map[string]bool {
	var cut map[string]bool
	for domain, c := range s.contacts {
		if !c.isCut(now) {
			continue
		}
		if cut == nil {
			cut = make(map[string]bool)
		}
		cut[domain] = true
	}
	if cut != nil && now >= s.trialAt {
		s.trialAt = now + cutTrialMillis
		return nil
	}
	return cut
}

// canServe reports whether a route can reach its coverage with the upstreams that are not cut off.
func (s *State) canServe(now tiller.Millis, r cataloger.Route) bool {
	if !r.IsSharded() || len(s.contacts) == 0 {
		return true
	}
	reached := 0
	for _, service := range r.Shards {
		for _, u := range s.upstreamsByService[service] {
			if s.isUsable(u, r) && !s.contacts[u.Domain].isCut(now) {
				reached++
				break
			}
		}
	}
	return reached >= r.MinShards()
}

// isCutOff reports whether the daemon can serve none of its queries over shards because it is cut off.
func (s *State) isCutOff(now tiller.Millis) bool {
	if s.configuration == nil || len(s.contacts) == 0 && !s.isIsolated(now) {
		return false
	}
	sharded, served := 0, 0
	for _, r := range s.configuration.Sharded() {
		sharded++
		if s.canServe(now, r) && !s.exceedsPower(s.strayShards(now, r), r.Target) {
			served++
		}
	}
	return sharded > 0 && served == 0
}

// shardMillis is the processor time of a whole core that one request for a shard takes, with a new connection.
const shardMillis = 0.4

// exceedsPower reports whether this daemon cannot request a number of shards itself within a time.
func (s *State) exceedsPower(shards int, within tiller.Millis) bool {
	if s.settings.Power <= 0 || within <= 0 {
		return false
	}
	return float64(shards)*shardMillis*1000/float64(s.settings.Power) > float64(within)
}

// strayShards returns the number of shards of a route that this daemon would have to request itself, although others
// gather them, because it reaches none of those.
func (s *State) strayShards(now tiller.Millis, r cataloger.Route) int {
	q := &query{route: r, groups: groupCount(len(r.Shards))}
	stray := 0
	for _, service := range r.Shards {
		if !s.isGrouped(service) || s.isGatherer(service, q.groups) {
			continue
		}
		found := false
		for _, u := range s.upstreamsByService[service] {
			if p, ok := s.cheapestGatherer(now, q, u, nil); ok && p.peer != nil {
				found = true
				break
			}
		}
		if !found {
			stray++
		}
	}
	return stray
}
