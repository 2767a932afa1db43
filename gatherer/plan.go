package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// plan sends the first requests of a query. Shards with a good upstream in the own region are asked
// directly. The others go in groups to daemons of regions that hold them, which merge the records
// there: this saves most bytes between regions, and those daemons have warm connections.
func (s *State) plan(now tiller.Millis, q *query) {
	if q.single() || q.sub {
		for _, sh := range q.shards {
			s.sendFirst(now, sh)
		}
		return
	}
	groups := make(map[*peer][]*shard)
	var order []*peer
	peers := s.bestPeers(now, q)
	for _, sh := range q.shards {
		p := s.peerFor(now, sh, peers)
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
		if len(groups[p]) < minGroup {
			for _, sh := range groups[p] {
				s.sendFirst(now, sh)
			}
			continue
		}
		s.ask(now, q, p, groups[p], q.route.Attempts, false)
	}
}

// rankedPeer is the best daemon of a region with its cost.
type rankedPeer struct {
	peer *peer
	cost float64
}

// bestPeers returns the cheapest daemon of each other region in which the query may be served.
func (s *State) bestPeers(now tiller.Millis, q *query) map[string]rankedPeer {
	best := make(map[string]rankedPeer)
	for _, p := range s.peers {
		if !s.mayAskPeer(now, p, q) {
			continue
		}
		cost := p.stat.Cost(now, peerPriorMillis, 1) * (1 + noisePart*s.random.Float64())
		if known, ok := best[p.Region]; !ok || cost < known.cost || cost == known.cost && p.VM < known.peer.VM {
			best[p.Region] = rankedPeer{peer: p, cost: cost}
		}
	}
	return best
}

// mayAskPeer says whether sub-queries of a query may go to another daemon.
func (s *State) mayAskPeer(now tiller.Millis, p *peer, q *query) bool {
	if p.Region == s.settings.Region || p.Leaving || !q.route.Allows(p.Region) {
		return false
	}
	return !p.stat.Stalled(now, peerPriorMillis)
}

// peerNear returns the cheapest daemon of the region of an upstream of another region; nil when
// it is to be asked directly. Daemons there have warm connections to it.
func (s *State) peerNear(now tiller.Millis, u *upstream, q *query) *peer {
	if q.single() || q.extra || u.Region == s.settings.Region {
		return nil
	}
	var best *peer
	cost := 0.0
	for _, p := range s.peers {
		if p.Region != u.Region || !s.mayAskPeer(now, p, q) {
			continue
		}
		c := p.stat.Cost(now, peerPriorMillis, 1) * (1 + noisePart*s.random.Float64())
		if best == nil || c < cost {
			best, cost = p, c
		}
	}
	return best
}

// peerFor returns the daemon that gathers a shard for this one; nil when it is asked directly.
func (s *State) peerFor(now tiller.Millis, sh *shard, peers map[string]rankedPeer) *peer {
	near, far := s.best(now, sh, false)
	var chosen rankedPeer
	chosen.cost = math.Inf(1)
	for _, u := range s.services[sh.service] {
		p, ok := peers[u.Region]
		if ok && p.cost < chosen.cost && s.isUsable(u, sh.query.route) && !u.isDown(now) && now >= u.cold.until {
			chosen = p
		}
	}
	if chosen.peer == nil || near.cost <= min(chosen.cost+farPenaltyMillis, far.cost) {
		return nil
	}
	// A daemon that serves far worse than the way across is avoided.
	if far.upstream != nil && chosen.cost > 2*far.cost+farPenaltyMillis {
		return nil
	}
	return chosen.peer
}

// sendFirst sends the first request of a shard.
func (s *State) sendFirst(now tiller.Millis, sh *shard) {
	u := s.next(now, sh)
	if u == nil {
		sh.lose(tiller.ReasonNoUpstream)
		return
	}
	s.send(now, sh, u, s.pay(sh))
}

// pay takes a request of a shard from the budget of further requests, or adds to that budget when
// no request has arrived at an upstream yet. It says whether the request was paid for.
func (s *State) pay(sh *shard) bool {
	b := s.budget(sh.service)
	switch {
	case sh.arrivals > 0:
		s.budgets[sh.service] = b.WithSpent(1)
		return true
	case !sh.counted:
		s.budgets[sh.service] = b.WithFirst(1)
		sh.counted = true
	}
	return false
}

// refund takes back a request that did not arrive at any upstream.
func (s *State) refund(a *attempt) {
	for _, sh := range a.shards {
		sh.arrivals--
		if a.extra {
			s.budgets[sh.service] = s.budget(sh.service).WithGain(1)
		}
	}
}

// send sends a request of a shard to an upstream.
func (s *State) send(now tiller.Millis, sh *shard, u *upstream, extra bool) {
	q := sh.query
	s.lastAttempt++
	expected := u.stat.Mean(now, s.expected(now, u, q))
	a := &attempt{
		id: s.lastAttempt, query: q, shards: []*shard{sh}, upstream: u, extra: extra, sent: now,
		expected: tiller.Millis(expected),
	}
	s.attempts[a.id] = a
	q.attempts = append(q.attempts, a.id)
	if !sh.hasTried(u) {
		sh.tried = append(sh.tried, u)
	}
	sh.outstanding++
	sh.arrivals++
	q.sent++
	u.stat.Sent(now, a.id)
	if now < u.cold.until {
		u.cold.tokens--
	}
	sh.hedgeAt = s.hedgeTime(now, sh, u, expected)
	s.emit(Send{Query: q.id, Attempt: a.id, Upstream: u.Upstream, Left: q.end - now, Once: !q.route.Repeatable})
}

// ask sends a sub-query for several shards to another daemon, which may send each to limit upstreams.
func (s *State) ask(now tiller.Millis, q *query, p *peer, shards []*shard, limit int, extra bool) {
	s.lastAttempt++
	mean := p.stat.Mean(now, peerPriorMillis)
	a := &attempt{
		id: s.lastAttempt, query: q, shards: shards, peer: p, limit: limit, extra: extra, sent: now,
		expected: tiller.Millis(mean),
	}
	s.attempts[a.id] = a
	q.attempts = append(q.attempts, a.id)
	effect := Ask{
		Query: q.id, Attempt: a.id, Member: p.Member, Route: q.route.Name, TopK: q.topK,
		Attempts: limit, Extra: extra, Regions: q.route.Regions, MaySkip: len(q.shards) - q.needed,
		Within: q.within(now, p), Left: max(q.end-now-tiller.Millis(p.way/2), minPeerMillis),
	}
	for _, sh := range shards {
		effect.Shards = append(effect.Shards, sh.service)
		for _, u := range sh.tried {
			effect.Avoid = append(effect.Avoid, u.ID)
		}
		sh.outstanding += limit
		sh.arrivals++
	}
	q.sent++
	p.stat.Sent(now, a.id)
	s.emit(effect)
}
