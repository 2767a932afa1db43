package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// retryAfterMillis is the hint on a refusal for want of upstreams: a restarted upstream or a changed
// configuration is known within about this time.
const retryAfterMillis = 250

// arrive admits a client's request, or refuses it at once when it cannot be served.
func (s *State) arrive(now tiller.Millis, e QueryArrived) {
	if s.configuration == nil {
		s.refuseArrival(e, tiller.ReasonNotReady, retryAfterMillis)
		return
	}
	route, ok := s.configuration.Match(e.Host, e.Path)
	if !ok {
		s.refuseArrival(e, tiller.ReasonUnknownRoute, 0)
		return
	}
	q := &query{id: e.Query, clientID: e.ID, rank: rankOf(e.ID), route: route, version: s.configuration.Version, arrived: now}
	s.setTimes(q, e)
	if route.Gathers() {
		q.topK = route.TopK
		q.needed = route.Needed()
		q.groups = groups(len(route.Shards))
		q.addShards(route.Shards)
	} else {
		q.needed = 1
		q.addShards([]string{s.pickService(route)})
	}
	q.unlikely = s.isUnlikely(now, q)
	s.queries[q.id] = q
	s.start(now, q)
}

func (s *State) refuseArrival(e QueryArrived, reason tiller.Reason, retryAfter tiller.Millis) {
	s.emit(Refuse{
		Query: e.Query, Verdict: tiller.NotRun, Reason: reason, RetryAfter: retryAfter,
		Decision: Decision{ID: e.ID, Configuration: s.Version()},
	})
}

func (q *query) addShards(services []string) {
	q.shards = make([]*shard, 0, len(services))
	for _, service := range services {
		q.shards = append(q.shards, &shard{query: q, service: service})
	}
}

// arriveSub admits the sub-query of another daemon.
func (s *State) arriveSub(now tiller.Millis, e SubQueryArrived) {
	if !s.knows(e.Shards) {
		s.emit(ReplySub{Query: e.Query, Reply: SubReply{NoCapacity: true}, Decision: Decision{ID: e.ID, Route: e.Route, Configuration: s.Version()}})
		return
	}
	q := &query{
		id: e.Query, clientID: e.ID, rank: rankOf(e.ID), version: s.Version(), sub: true, unconfirmed: true, extra: e.Extra, arrived: now,
		answerBy: now + max(e.Target, 1), end: now + max(e.Target, e.Timeout, 1),
		topK: e.TopK, above: e.Floor, groups: e.Groups, needed: max(len(e.Shards)-e.AllowedMissing, 0),
	}
	q.route.Name = e.Route
	q.route.Repeatable = true
	q.route.Attempts = max(e.Attempts, 1)
	q.route.Priority = e.Priority
	q.unlikely = e.Unlikely
	q.route.Regions = e.Regions
	q.addShards(e.Shards)
	for _, sh := range q.shards {
		sh.counted = e.Extra
	}
	for _, id := range e.Avoid {
		if u, ok := s.upstreams[id]; ok {
			q.avoid(u)
		}
	}
	s.queries[q.id] = q
	s.start(now, q)
}

// knows says whether every shard has an upstream here. A daemon that the store turns away does not
// know the shards of a newer configuration, and leaves them to others.
func (s *State) knows(shards []string) bool {
	for _, service := range shards {
		if len(s.services[service]) == 0 {
			return false
		}
	}
	return true
}

// start refuses a query that cannot reach its coverage, and sends the first requests of the others.
func (s *State) start(now tiller.Millis, q *query) {
	servable := 0
	for _, sh := range q.shards {
		if s.isServable(now, sh) {
			servable++
		}
	}
	if servable < q.needed && !q.sub {
		reason := tiller.ReasonCoverageTooLow
		if q.single() {
			reason = tiller.ReasonNoUpstream
		}
		s.refuse(now, q, reason, retryAfterMillis)
		return
	}
	s.plan(now, q)
	s.evaluate(now, q)
}

// isServable says whether any upstream may take a shard.
func (s *State) isServable(now tiller.Millis, sh *shard) bool {
	for _, u := range s.services[sh.service] {
		if s.isUsable(u, sh.query.route) && !u.isDown(now) && s.admitsCold(now, u) {
			return true
		}
	}
	return false
}

// abandon ends a query whose client has gone: its requests are cancelled at once.
func (s *State) abandon(now tiller.Millis, id uint64) {
	q, ok := s.queries[id]
	if !ok {
		return
	}
	s.finish(now, q, 0)
	s.emit(Refuse{Query: id, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonCancelled, Decision: q.decision(now)})
}

// finish forgets a query and cancels what it still has outstanding after a delay. Within the delay
// an answer that comes late still tells the latency and saves the connection.
func (s *State) finish(now tiller.Millis, q *query, linger tiller.Millis) {
	q.ended = true
	s.learnMissing(now, q)
	delete(s.queries, q.id)
	for _, id := range q.attempts {
		a, ok := s.attempts[id]
		switch {
		case !ok:
		case a.peer != nil && !a.accepted:
			// The other daemon must not begin it any more.
			s.emit(Cancel{Attempt: id})
		case a.upstream != nil && len(s.waiting[a.upstream.Service]) > 0:
			// Other queries wait for its place.
			s.emit(Cancel{Attempt: id})
		default:
			s.emit(Cancel{Attempt: id, After: linger})
		}
	}
}
