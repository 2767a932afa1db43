package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// downMillis is the time for which an upstream that cannot be reached gets no requests. The first
	// request after it finds out whether the upstream is back.
	unreachableMillis = 300
	// refusedLimit is the number of connections in a row that fail after which an upstream counts as
	// one that cannot be reached. A single one may be beyond the limit of a busy upstream.
	connectFailureLimit = 2
	// answeredMillis is the time for which an answer shows that an upstream can be reached.
	recentAnswerMillis = 200
)

// down notes that an upstream cannot be reached.
type reachability struct {
	unreachableUntil tiller.Millis
	lastAnswer       tiller.Millis
	connectFailures  int
}

// isDown says whether requests to an upstream are known to be in vain.
func (u *upstream) isUnreachable(now tiller.Millis) bool {
	return now < u.reachability.unreachableUntil
}

// watchDown learns from the end of an attempt whether its upstream can be reached.
func (s *State) updateReachability(now tiller.Millis, a *attempt, e AttemptEnded) {
	d := &a.upstream.reachability
	switch {
	case e.Failure == nil:
		*d = reachability{lastAnswer: now}
	case e.Failure.Reason == tiller.ReasonConnectFailed:
		if d.connectFailures++; d.connectFailures >= connectFailureLimit && now-d.lastAnswer > recentAnswerMillis {
			d.unreachableUntil = now + unreachableMillis
		}
	}
}

// learnDown takes over what another daemon knows of upstreams near it.
func (s *State) markUnreachable(now tiller.Millis, ids []string) {
	for _, id := range ids {
		if u, ok := s.upstreams[id]; ok && now-u.reachability.lastAnswer > recentAnswerMillis {
			u.reachability.unreachableUntil = max(u.reachability.unreachableUntil, now+unreachableMillis)
		}
	}
}

// downOf lists the upstreams of a query's shards that cannot be reached from here. Those of other
// regions are left out, because this daemon may only be cut off from them.
func (s *State) unreachableUpstreams(now tiller.Millis, q *query) []string {
	var ids []string
	for _, sh := range q.shards {
		for _, u := range s.upstreamsByService[sh.service] {
			if u.Region == s.settings.Region && u.isUnreachable(now) {
				ids = append(ids, u.ID)
			}
		}
	}
	return ids
}
