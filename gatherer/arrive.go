package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// retryAfterMillis is the retry hint of refusals for lack of upstreams. A restarted upstream or a changed
// configuration is usually known within this time.
const retryAfterMillis = 250

// otherDaemonMillis is the retry hint of refusals of a daemon that is cut off. Another daemon can serve at once.
const otherDaemonMillis = 10

// admitQuery starts a client's request, or refuses it at once if it cannot be served.
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
	if s.harmful.Blocked(now, e.Digest) {
		s.refuseNew(e, tiller.ReasonHarmful, 0)
		return
	}
	q := &query{id: e.Query, clientID: e.ID, digest: e.Digest, rank: rankOf(e.ID), route: route, version: s.configuration.Version, arrived: now}
	s.setTimes(q, e)
	if !s.endsInTime(q) {
		s.refuseNew(e, tiller.ReasonStopping, otherDaemonMillis)
		return
	}
	s.limitToStop(q)
	if route.IsSharded() {
		q.topK = route.TopK
		q.needed = route.MinShards()
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

// admitSubQuery starts the sub-query of another daemon, or rejects it if it names a shard without a known
// upstream.
func (s *State) admitSubQuery(now tiller.Millis, e SubQueryArrived) {
	if !s.knowsShards(e.Shards) {
		s.emit(ReplySub{Query: e.Query, Reply: SubReply{NoCapacity: true}, Decision: Decision{ID: e.ID, Route: e.Route, Configuration: s.Version()}})
		return
	}
	q := &query{
		id: e.Query, clientID: e.ID, digest: e.Digest, rank: rankOf(e.ID), version: s.Version(), isSubQuery: true, unconfirmed: true, extra: e.Extra, arrived: now,
		partAt: partTime(now, e), answerBy: now + max(e.Target, 1), expiresAt: now + max(e.Target, e.Timeout, 1),
		topK: e.TopK, askerThreshold: e.Threshold, groups: e.Groups, needed: max(len(e.Shards)-e.AllowedMissing, 0),
	}
	q.route.Name = e.Route
	q.route.Repeatable = true
	if !s.endsInTime(q) {
		s.emit(ReplySub{Query: e.Query, Reply: SubReply{NoCapacity: true}, Decision: Decision{ID: e.ID, Route: e.Route, Configuration: s.Version()}})
		return
	}
	s.limitToStop(q)
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

// knowsShards reports whether every shard has a known upstream. A daemon that cannot read the store may not
// know the shards of a newer configuration; other daemons must gather those.
func (s *State) knowsShards(shards []string) bool {
	for _, service := range shards {
		if len(s.upstreamsByService[service]) == 0 {
			return false
		}
	}
	return true
}

// startQuery refuses a client's query that cannot reach its required coverage. It sends the first requests
// of any other query.
func (s *State) startQuery(now tiller.Millis, q *query) {
	q.cut = s.cutDomains(now)
	servable := 0
	for _, sh := range q.shards {
		if s.isServable(now, sh) {
			servable++
		}
	}
	if servable < q.needed && !q.isSubQuery {
		reason := tiller.ReasonCoverageTooLow
		retryAfter := tiller.Millis(retryAfterMillis)
		if q.isSingle() {
			reason = s.noUpstreamReason(now, q.shards[0].service)
			retryAfter = s.limitRetryAfter(now, q.shards[0].service)
		}
		if q.cut != nil {
			reason, retryAfter = tiller.ReasonCutOff, otherDaemonMillis
		}
		s.refuse(now, q, reason, retryAfter)
		return
	}
	if s.isIsolated(now) && !q.isSubQuery && s.exceedsPower(s.strayShards(now, q.route), q.answerBy-now) {
		s.refuse(now, q, tiller.ReasonCutOff, otherDaemonMillis)
		return
	}
	s.sendInitial(now, q)
	s.evaluate(now, q)
}

// isServable reports whether any upstream may take a shard.
func (s *State) isServable(now tiller.Millis, sh *shard) bool {
	for _, u := range s.upstreamsByService[sh.service] {
		if s.isUsable(u, sh.query.route) && s.allowsVersion(now, u, s.wantsCanary(now, sh)) && !u.isUnreachable(now) && !sh.query.cut[u.Domain] && s.admitsCold(now, u) && s.admitsLimit(now, u) {
			return true
		}
	}
	return false
}

// cancelQuery ends a query whose client or requesting daemon has disconnected, and cancels its requests at once.
func (s *State) cancelQuery(now tiller.Millis, id uint64) {
	q, ok := s.queries[id]
	if !ok {
		return
	}
	s.finish(now, q, 0)
	s.emit(Refuse{Query: id, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonCancelled, Decision: q.decision(now)})
}

// finish removes a query and cancels its outstanding attempts after the delay linger. Until then, a late
// answer still gives a latency sample and keeps its connection usable.
func (s *State) finish(now tiller.Millis, q *query, linger tiller.Millis) {
	q.ended = true
	s.recordMisses(now, q)
	delete(s.queries, q.id)
	for _, id := range q.attempts {
		a, ok := s.attempts[id]
		switch {
		case !ok:
		case a.peer != nil && !a.accepted:
			// The other daemon must not start the sub-query any more.
			s.emit(Cancel{Attempt: id})
		case a.upstream != nil && len(s.queuedShards[a.upstream.Service]) > 0:
			// Queued shards need the capacity that the attempt takes up.
			s.emit(Cancel{Attempt: id})
		default:
			s.emit(Cancel{Attempt: id, After: linger})
		}
	}
}
