package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// sendInitial sends the first requests of a query. In a small fleet, a shard with a good upstream in this
// region is requested directly; in a large fleet, one daemon of a failure domain gathers the shards of a
// group there. Other shards are requested in groups from daemons in regions that hold them, which merge the
// records there: this saves most of the traffic between regions, and those daemons have open connections to
// the upstreams. A sub-query of extra requests is not handed to further daemons.
func (s *State) sendInitial(now tiller.Millis, q *query) {
	if q.isSingle() || q.extra {
		for _, sh := range q.shards {
			s.sendFirst(now, sh)
		}
		return
	}
	s.sendGrouped(now, q, q.shards, nil)
}

// sendGrouped sends requests for some shards, grouped by the daemon that gathers them. The daemon except is
// not used.
func (s *State) sendGrouped(now tiller.Millis, q *query, shards []*shard, except *peer) {
	groups := make(map[*peer][]*shard)
	var order []*peer
	chosen := make(map[groupKey]rankedPeer)
	for _, sh := range shards {
		var p *peer
		if q.isSubQuery {
			p = s.peerForHandover(now, sh)
		} else {
			p = s.chooseGatherer(now, sh, chosen, except)
		}
		if p == nil {
			s.sendFirst(now, sh)
			continue
		}
		if groups[p] == nil {
			order = append(order, p)
		}
		groups[p] = append(groups[p], sh)
	}
	for _, p := range order {
		extra := false
		limit := q.route.Attempts
		for _, sh := range groups[p] {
			if sh.arrivals > 0 {
				extra = s.chargeBudget(sh)
			}
			limit = min(limit, q.route.Attempts-sh.possibleRuns)
		}
		s.sendSubQuery(now, q, p, groups[p], limit, extra)
	}
}

// chooseGatherer returns the daemon that gathers a shard for this one, or nil if this daemon requests the
// shard directly. chosen holds the daemons chosen so far for the query, so that its shards go to few.
func (s *State) chooseGatherer(now tiller.Millis, sh *shard, chosen map[groupKey]rankedPeer, except *peer) *peer {
	q := sh.query
	best := rankedPeer{cost: math.Inf(1)}
	for _, u := range s.upstreamsByService[sh.service] {
		if !s.isUsable(u, q.route) || !s.allowsVersion(now, u, false) || u.isUnreachable(now) || q.cut[u.Domain] || now < u.cold.until || !s.admitsLimit(now, u) {
			continue
		}
		key := groupKey{u.Domain, groupOf(sh.service, q.groups)}
		p, ok := chosen[key]
		if !ok {
			p, ok = s.cheapestGatherer(now, q, u, except)
			if !ok {
				continue
			}
			chosen[key] = p
		}
		cost := p.cost
		if p.peer == nil {
			cost = s.cost(now, u, q, s.failureCost(sh))
		} else if u.Region != s.settings.Region {
			cost += farPenaltyMillis
		}
		if cost < best.cost {
			best = rankedPeer{p.peer, cost}
		}
	}
	if best.peer == nil || s.isGrouped(sh.service) {
		return best.peer
	}
	// A daemon that is far more expensive than a direct request to another region is not used.
	if _, far := s.cheapestByRegion(now, sh, false); far.upstream != nil && best.cost > 2*far.cost+farPenaltyMillis {
		return nil
	}
	return best.peer
}

// peerNearUpstream returns the daemon through which an upstream of another region is requested, or nil if
// the request is sent directly. Daemons in that region have open connections to it.
func (s *State) peerNearUpstream(now tiller.Millis, u *upstream, q *query) *peer {
	if q.isSingle() || q.extra || u.Region == s.settings.Region {
		return nil
	}
	p, _ := s.cheapestGatherer(now, q, u, nil)
	return p.peer
}

// peerForHandover returns the daemon of another region that a gatherer hands a shard to because the upstream
// in its own region is paused or slow, or nil if the shard is requested directly.
func (s *State) peerForHandover(now tiller.Millis, sh *shard) *peer {
	if c := s.chooseUpstream(now, sh); c.upstream != nil {
		return s.peerNearUpstream(now, c.upstream, sh.query)
	}
	return nil
}

// sendFirst sends the first request of a shard, queues the shard, or marks it as failed if it has no upstream.
func (s *State) sendFirst(now tiller.Millis, sh *shard) {
	if s.harmful.Blocked(now, sh.query.digest) {
		sh.fail(tiller.ReasonHarmful)
		return
	}
	u, waits := s.chooseOrQueue(now, sh)
	switch {
	case waits:
	case u == nil:
		sh.fail(s.noUpstreamReason(now, sh.service))
	default:
		s.send(now, sh, u, s.chargeBudget(sh))
	}
}

// chargeBudget charges a request of a shard to the retry budget if an earlier one may have arrived at an
// upstream. Otherwise it credits the budget, once for each shard. It reports whether the request was charged.
func (s *State) chargeBudget(sh *shard) bool {
	b := s.budget(sh.service)
	switch {
	case sh.arrivals > 0:
		s.budgets[sh.service] = b.WithSpent(1)
		return true
	case !sh.budgeted:
		s.budgets[sh.service] = b.WithFirst(1)
		sh.budgeted = true
	}
	return false
}

// refundBudget undoes the accounting of an attempt that did not arrive at any upstream.
func (s *State) refundBudget(a *attempt) {
	for _, sh := range a.shards {
		sh.arrivals--
		if a.extra {
			s.budgets[sh.service] = s.budget(sh.service).WithGain(1)
		}
	}
}

// send sends a request for a shard to an upstream.
func (s *State) send(now tiller.Millis, sh *shard, u *upstream, extra bool) {
	q := sh.query
	s.lastAttemptID++
	expected := u.stat.Mean(now, s.expectedLatency(now, u, q))
	a := &attempt{
		id: s.lastAttemptID, query: q, shards: []*shard{sh}, upstream: u, extra: extra, sent: now,
		expected: tiller.Millis(expected),
	}
	s.attempts[a.id] = a
	q.attempts = append(q.attempts, a.id)
	if !sh.hasTried(u) {
		sh.tried = append(sh.tried, u)
	}
	sh.outstanding++
	sh.tries++
	sh.arrivals++
	q.sent++
	u.stat.Sent(now, a.id)
	s.countRequest(u, q.route.Name)
	if now < u.cold.until {
		u.cold.tokens--
	}
	u.limit.tokens--
	sh.lastAttempt = a
	sh.checkAt = s.hedgeTime(now, sh, u, expected)
	s.emit(Send{Query: q.id, Attempt: a.id, Upstream: u.Upstream, Timeout: q.expiresAt - now, AtMostOnce: !q.route.Repeatable})
}

// sendSubQuery sends a sub-query for several shards to another daemon, which may send the request for each
// shard to limit upstreams.
func (s *State) sendSubQuery(now tiller.Millis, q *query, p *peer, shards []*shard, limit int, extra bool) {
	s.lastAttemptID++
	mean := p.stat.Mean(now, s.expectedPeerLatency(p))
	a := &attempt{
		id: s.lastAttemptID, query: q, shards: shards, peer: p, upstreamLimit: limit, extra: extra, sent: now,
		expected: tiller.Millis(mean),
	}
	s.attempts[a.id] = a
	q.attempts = append(q.attempts, a.id)
	sub := SubQuery{
		Route: q.route.Name, TopK: q.topK, Groups: q.groups, Attempts: limit, Priority: q.route.Priority, Unlikely: q.unlikely, Extra: extra, Regions: q.route.Regions,
		AllowedMissing: len(q.shards) - q.needed, Threshold: q.threshold(),
		Target: q.subQueryTarget(now, p), Timeout: max(q.expiresAt-now-tiller.Millis(p.rtt/2), minSubQueryMillis),
	}
	acceptBy := now + tiller.Millis(acceptFactor*p.rtt) + acceptSlackMillis
	a.acceptBy = acceptBy
	for _, sh := range shards {
		sh.checkAt, sh.subQuery, sh.lastAttempt = acceptBy, a, a
		sub.Shards = append(sub.Shards, sh.service)
		for _, u := range sh.tried {
			sub.Avoid = append(sub.Avoid, u.ID)
		}
		sh.outstanding += limit
		sh.tries++
		sh.arrivals++
	}
	q.sent++
	q.subQueries++
	p.stat.Sent(now, a.id)
	s.emit(SendSubQuery{Query: q.id, Attempt: a.id, Member: p.Member, SubQuery: sub})
}
