package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// retryAfterMillis is the hint on a refusal for want of upstreams: a restarted upstream or a changed
// configuration is known within about this time.
const retryAfterMillis = 250

// arrive admits a client's request, or refuses it at once when it cannot be served.
func (s *State) admitQuery(now tiller.Millis, e QueryArrived) {
	if s.configuration == nil {
		s.refuseNew(e, tiller.ReasonNotReady, retryAfterMillis)
		return
	}
	route, ok := s.configuration.Match(e.Host, e.Path)
	if !ok {
		s.refuseNew(e, tiller.ReasonUnknownRoute, 0)
		return
	}
	q := &query{id: e.Query, clientID: e.ID, rank: rankOf(e.ID), route: route, version: s.configuration.Version, arrived: now}
	s.setTimes(q, e)
	if route.Gathers() {
		q.topK = route.TopK
		q.needed = route.Needed()
		q.groups = groupCount(len(route.Shards))
		q.addShards(route.Shards)
	} else {
		q.needed = 1
		q.addShards([]string{s.pickService(route)})
	}
	q.unlikely = s.isUnlikely(now, q)
	s.queries[q.id] = q
	s.startQuery(now, q)
}

func (s *State) refuseNew(e QueryArrived, reason tiller.Reason, retryAfter tiller.Millis) {
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
func (s *State) admitSubQuery(now tiller.Millis, e SubQueryArrived) {
	if !s.knowsShards(e.Shards) {
		s.emit(ReplySub{Query: e.Query, Reply: SubReply{NoCapacity: true}, Decision: Decision{ID: e.ID, Route: e.Route, Configuration: s.Version()}})
		return
	}
	q := &query{
		id: e.Query, clientID: e.ID, rank: rankOf(e.ID), version: s.Version(), isSubQuery: true, unconfirmed: true, extra: e.Extra, arrived: now,
		answerBy: now + max(e.Target, 1), expiresAt: now + max(e.Target, e.Timeout, 1),
		topK: e.TopK, askerFloor: e.Floor, groups: e.Groups, needed: max(len(e.Shards)-e.AllowedMissing, 0),
	}
	q.route.Name = e.Route
	q.route.Repeatable = true
	q.route.Attempts = max(e.Attempts, 1)
	q.route.Priority = e.Priority
	q.unlikely = e.Unlikely
	q.route.Regions = e.Regions
	q.addShards(e.Shards)
	for _, sh := range q.shards {
		sh.budgeted = e.Extra
	}
	for _, id := range e.Avoid {
		if u, ok := s.upstreams[id]; ok {
			q.markTried(u)
		}
	}
	s.queries[q.id] = q
	s.startQuery(now, q)
}

// knows says whether every shard has an upstream here. A daemon that the store turns away does not
// know the shards of a newer configuration, and leaves them to others.
func (s *State) knowsShards(shards []string) bool {
	for _, service := range shards {
		if len(s.upstreamsByService[service]) == 0 {
			return false
		}
	}
	return true
}

// start refuses a query that cannot reach its coverage, and sends the first requests of the others.
func (s *State) startQuery(now tiller.Millis, q *query) {
	servable := 0
	for _, sh := range q.shards {
		if s.isServable(now, sh) {
			servable++
		}
	}
	if servable < q.needed && !q.isSubQuery {
		reason := tiller.ReasonCoverageTooLow
		if q.isSingle() {
			reason = tiller.ReasonNoUpstream
		}
		s.refuse(now, q, reason, retryAfterMillis)
		return
	}
	s.sendInitial(now, q)
	s.evaluate(now, q)
}

// isServable says whether any upstream may take a shard.
func (s *State) isServable(now tiller.Millis, sh *shard) bool {
	for _, u := range s.upstreamsByService[sh.service] {
		if s.isUsable(u, sh.query.route) && !u.isUnreachable(now) && s.admitsCold(now, u) {
			return true
		}
	}
	return false
}

// abandon ends a query whose client has gone: its requests are cancelled at once.
func (s *State) cancelQuery(now tiller.Millis, id uint64) {
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
	s.recordMisses(now, q)
	delete(s.queries, q.id)
	for _, id := range q.attempts {
		a, ok := s.attempts[id]
		switch {
		case !ok:
		case a.peer != nil && !a.accepted:
			// The other daemon must not begin it any more.
			s.emit(Cancel{Attempt: id})
		case a.upstream != nil && len(s.queuedShards[a.upstream.Service]) > 0:
			// Other queries wait for its place.
			s.emit(Cancel{Attempt: id})
		default:
			s.emit(Cancel{Attempt: id, After: linger})
		}
	}
}
