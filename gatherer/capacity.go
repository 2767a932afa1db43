package gatherer

import (
	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// The decisions below answer the load at which a few shards are short of capacity: one of their
// upstreams is lost and another one slow, so that they bear a part of the requests only. Requests
// that wait in long queues at such upstreams are all late. So few are outstanding there, the others
// wait here, and those that can still be in time go first, in an order that all daemons share.

const (
	// roomMillis is the time in which an upstream is to work off what all daemons have sent it: about
	// half of the target latencies, whose rest is for the ways and for slower requests.
	backlogMillis = 75.0
	// roomPauseMillis is the wait before a shard without room is looked at again, if no request at
	// its upstreams ends before.
	queuePollMillis = 8
)

// hasRoom says whether one more request of a query may be outstanding at an upstream.
func (s *State) hasCapacity(now tiller.Millis, u *upstream, q *query) bool {
	if !s.hasConnectionShare(u) {
		return false
	}
	return q.isSingle() || u.stat.Inflight() < s.maxInflight(now, u, q)
}

// room returns the number of requests of shards that this daemon may have outstanding at an upstream.
func (s *State) maxInflight(now tiller.Millis, u *upstream, q *query) int {
	mean := u.stat.Mean(now, s.expectedLatency(now, u, q))
	share := float64(max(u.Slots, 1)) / float64(s.queueSharers(u))
	return max(int(backlogMillis*share/max(mean, 1)), 1)
}

// gatherersOf returns the number of daemons that ask an upstream for shards regularly.
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

// place returns the upstream for the next request of a shard; nil when there is none. A shard that has to
// wait for room waits from then on, which the second result says.
func (s *State) chooseOrQueue(now tiller.Millis, sh *shard) (*upstream, bool) {
	c := s.chooseUpstream(now, sh)
	if c.upstream != nil && (c.full || s.mustQueue(now, sh)) {
		s.enqueue(now, sh)
		return nil, true
	}
	return c.upstream, false
}

// wait lets a shard wait for room at an upstream. A second request does not stand in line: the first
// may still be answered.
func (s *State) enqueue(now tiller.Millis, sh *shard) {
	sh.checkAt = now + queuePollMillis
	if !sh.queued && sh.outstanding == 0 {
		sh.queued = true
		s.queuedShards[sh.service] = append(s.queuedShards[sh.service], sh)
	}
}

// admit sends the shards that wait for room at the upstreams of a service, while there is room.
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

// firstWaiting returns the shard of a service that is to get room next; nil when none waits. It
// forgets those that do not need it any more.
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

// isBehind says whether another shard of the service is to get room first.
func (s *State) mustQueue(now tiller.Millis, sh *shard) bool {
	first := s.firstQueued(now, sh.service)
	return first != nil && first != sh && (sh.outstanding > 0 || s.precedes(now, first, sh))
}

// precedes says whether shard a gets room before b: one that can be in time before one that is late,
// one whose query lacks coverage before one that it can do without, one whose query will probably get
// its coverage, then by the route's priority, then by the client's identifier, so that different
// shards serve the same queries and not a part of each.
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

// isLate says whether a query's answer cannot be in time any more.
func (q *query) isLate(now tiller.Millis) bool { return now >= q.answerBy }

// isCovered says whether a query can be answered without further shards.
func (q *query) hasCoverage() bool { return q.answered >= q.needed }

// rankOf returns the rank of a client's request among those of one priority.
func rankOf(clientID string) uint64 { return xxhash.Sum64String(clientID) }
