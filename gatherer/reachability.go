package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// unreachableMillis is the time for which an unreachable upstream gets no requests. The first request
	// afterwards finds out whether it is reachable again.
	unreachableMillis = 300
	// connectFailureLimit is the number of consecutive failed connections from which an upstream counts as
	// unreachable. A single failure may be due to the connection limit of a busy upstream.
	connectFailureLimit = 2
	// recentAnswerMillis is the time for which an answer proves that an upstream is reachable.
	recentAnswerMillis = 200
)

// reachability records whether an upstream can be reached. connectFailures counts consecutive failed connections.
type reachability struct {
	unreachableUntil tiller.Millis
	lastAnswer       tiller.Millis
	connectFailures  int
}

// isUnreachable reports whether requests to an upstream are expected to fail, or are not wanted by it for a while.
func (u *upstream) isUnreachable(now tiller.Millis) bool {
	return now < u.reachability.unreachableUntil || now < u.pausedUntil
}

// updateReachability updates the reachability of an upstream with the outcome of an attempt.
func (s *State) updateReachability(now tiller.Millis, a *attempt, e AttemptEnded) {
	r := &a.upstream.reachability
	switch {
	case e.Failure == nil:
		*r = reachability{lastAnswer: now}
	case e.Failure.Reason == tiller.ReasonConnectFailed:
		if r.connectFailures++; r.connectFailures >= connectFailureLimit && now-r.lastAnswer > recentAnswerMillis {
			r.unreachableUntil = now + unreachableMillis
		}
	}
}

// markUnreachable marks upstreams that another daemon near them reported as unreachable, except those that
// answered this daemon within recentAnswerMillis.
func (s *State) markUnreachable(now tiller.Millis, ids []string) {
	for _, id := range ids {
		if u, ok := s.upstreams[id]; ok && now-u.reachability.lastAnswer > recentAnswerMillis {
			u.reachability.unreachableUntil = max(u.reachability.unreachableUntil, now+unreachableMillis)
		}
	}
}

// unusableUpstreams lists the upstreams of a query's shards that are unreachable or have no room within their limit.
// It omits those in other regions,
// because it may be this daemon that is cut off from them.
func (s *State) unusableUpstreams(now tiller.Millis, q *query) []string {
	var ids []string
	for _, sh := range q.shards {
		for _, u := range s.upstreamsByService[sh.service] {
			if u.Region == s.settings.Region && (u.isUnreachable(now) || !s.admitsLimit(now, u)) {
				ids = append(ids, u.ID)
			}
		}
	}
	return ids
}
