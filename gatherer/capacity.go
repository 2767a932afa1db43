package gatherer

import (
	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// This file limits the requests outstanding at an upstream. When one upstream of a shard is lost and another is
// slow, the rest cannot serve all requests for the shard, and all requests in a long queue at an upstream would
// be late. The daemon therefore keeps few requests outstanding at each upstream and queues the others itself.
// Requests that can still be answered in time are sent first, in an order that all daemons share.

const (
	// backlogMillis is the time in which an upstream is to work off the requests outstanding from all daemons. It
	// is about half of the target latencies; the rest is for network time and for slower requests.
	backlogMillis = 75.0
	// queuePollMillis is the interval at which a queued shard is checked again if no request to its upstreams ends
	// before.
	queuePollMillis = 8
)

// hasCapacity reports whether this daemon may send one more request of a query to an upstream now.
func (s *State) hasCapacity(now tiller.Millis, u *upstream, q *query) bool {
	if !s.hasConnectionShare(u) {
		return false
	}
	return q.isSingle() || u.stat.Inflight() < s.maxInflight(now, u, q)
}

// maxInflight returns the number of shard requests that this daemon may have outstanding at an upstream.
func (s *State) maxInflight(now tiller.Millis, u *upstream, q *query) int {
	mean := u.stat.Mean(now, s.expectedLatency(now, u, q))
	share := float64(max(u.Slots, 1)) / float64(s.queueSharers(u))
	return max(int(backlogMillis*share/max(mean, 1)), 1)
}

// queueSharers returns the number of daemons that regularly send shard requests to an upstream.
func (s *State) queueSharers(u *upstream) int {
	if s.isGrouped(u.Service) {
		return gatherersPerGroup
	}
	n := len(s.peersByRegion[u.Region])
	if u.Region == s.settings.Region {
		n++
	}
	return max(n, 1)
}

// chooseOrQueue returns the upstream for the next request of a shard; nil if there is none. If the shard must
// wait for capacity, it queues the shard and returns nil and true.
func (s *State) chooseOrQueue(now tiller.Millis, sh *shard) (*upstream, bool) {
	c := s.chooseUpstream(now, sh)
	if c.upstream != nil && (c.full || s.mustQueue(now, sh)) {
		s.enqueue(now, sh)
		return nil, true
	}
	return c.upstream, false
}

// enqueue queues a shard for capacity at an upstream. A shard with an outstanding request is not queued, because
// that request may still be answered; it is only checked again after queuePollMillis.
func (s *State) enqueue(now tiller.Millis, sh *shard) {
	sh.checkAt = now + queuePollMillis
	if !sh.queued && sh.outstanding == 0 {
		sh.queued = true
		s.queuedShards[sh.service] = append(s.queuedShards[sh.service], sh)
	}
}

// sendQueued sends the queued shards of a service while its upstreams have capacity.
func (s *State) sendQueued(now tiller.Millis, service string) {
	for {
		sh := s.firstQueued(now, service)
		if sh == nil {
			return
		}
		if c := s.chooseUpstream(now, sh); c.upstream == nil || c.full {
			return
		}
		sh.queued = false
		sh.checkAt = now
		s.evaluate(now, sh.query)
		if sh.queued {
			return
		}
	}
}

// firstQueued returns the queued shard of a service that is to be sent next; nil if there is none. It removes
// shards that no longer need capacity from the queue.
func (s *State) firstQueued(now tiller.Millis, service string) *shard {
	var first *shard
	kept := s.queuedShards[service][:0]
	for _, sh := range s.queuedShards[service] {
		if !sh.queued || sh.status != shardOpen || sh.query.ended {
			sh.queued = false
			continue
		}
		kept = append(kept, sh)
		if first == nil || s.precedes(now, sh, first) {
			first = sh
		}
	}
	if len(kept) == 0 {
		delete(s.queuedShards, service)
		return nil
	}
	s.queuedShards[service] = kept
	return first
}

// mustQueue reports whether a queued shard of the same service is to be sent before this one. A shard with an
// outstanding request waits for all queued ones.
func (s *State) mustQueue(now tiller.Millis, sh *shard) bool {
	first := s.firstQueued(now, sh.service)
	return first != nil && first != sh && (sh.outstanding > 0 || s.precedes(now, first, sh))
}

// precedes reports whether shard a is sent before shard b. It compares, in this order: whether the answer can
// still be in time, whether the query still lacks required coverage, whether it will probably reach it, the
// priority of the route, and the rank of the client's request. The rank is the same on all daemons, so that
// different shards serve the same queries and these reach their coverage.
func (s *State) precedes(now tiller.Millis, a, b *shard) bool {
	if late := a.query.isLate(now); late != b.query.isLate(now) {
		return !late
	}
	if covered := a.query.hasCoverage(); covered != b.query.hasCoverage() {
		return !covered
	}
	if a.query.unlikely != b.query.unlikely {
		return !a.query.unlikely
	}
	if a.query.route.Priority != b.query.route.Priority {
		return a.query.route.Priority < b.query.route.Priority
	}
	return a.query.rank < b.query.rank
}

// isLate reports whether the time at which a query's answer was due has come.
func (q *query) isLate(now tiller.Millis) bool { return now >= q.answerBy }

// hasCoverage reports whether a query has its required coverage.
func (q *query) hasCoverage() bool { return q.answered >= q.needed }

// rankOf returns the rank of a client's request among those of the same priority.
func rankOf(clientID string) uint64 { return xxhash.Sum64String(clientID) }
