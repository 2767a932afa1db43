package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
)

// maxCanaries is the maximum number of canaries of one query in flight.
const maxCanaries = 2

// digestGroup holds the queries of this daemon that have the same digest.
type digestGroup struct {
	queries querySet
	// canary is the query that sends the canary for the whole group; nil when none is needed.
	canary *query
}

// admit puts a query into the queue of its unit, or parks it until the canary of its digest has succeeded. It
// refuses a query with a blocked digest, and one whose expected wait is too long.
func (s *State) admit(q *query) {
	if s.quarantine.Blocked(s.now, q.digest) {
		s.refuseHarmful(q)
		return
	}
	if !s.checkExpectedWait(q) {
		return
	}
	g := s.joinDigest(q)
	switch {
	case s.quarantine.Clean(s.now, q.digest):
		s.enqueue(q)
	case g.canary == nil:
		g.canary = q
		s.enqueue(q)
	default:
		s.park(q)
	}
}

func (s *State) joinDigest(q *query) *digestGroup {
	g, ok := s.digestGroups[q.digest]
	if !ok {
		g = &digestGroup{queries: querySet{kind: querySetDigest}}
		s.digestGroups[q.digest] = g
	}
	g.queries.add(q)
	return g
}

// leaveDigest removes a query from its digest group. If it sent the canary, the earliest parked query of the
// group takes over.
func (s *State) leaveDigest(q *query) {
	g, ok := s.digestGroups[q.digest]
	if !ok || !g.queries.has(q) {
		return
	}
	g.queries.remove(q)
	if g.queries.len() == 0 {
		delete(s.digestGroups, q.digest)
		return
	}
	if g.canary == q {
		g.canary = nil
		s.promoteCanary(g)
	}
}

// promoteCanary lets the earliest parked query of a group send the canary.
func (s *State) promoteCanary(g *digestGroup) {
	var first *query
	for _, q := range g.queries.items {
		if q.phase == phaseParked && (first == nil || q.handle < first.handle) {
			first = q
		}
	}
	if first != nil {
		g.canary = first
		s.unpark(first)
	}
}

// park makes a query wait for the canary of another query with the same digest.
func (s *State) park(q *query) {
	u := q.unit
	// Parked queries reduce the queue limit, so that this allows them half of the queue at most.
	// Copies of one request then leave room for other requests.
	if u.parked >= u.queue.Limit() {
		s.refuseAfter(q, tiller.ReasonQueueFull, "too many queries wait for a canary", u.queueRate.estimateWait(1))
		return
	}
	q.phase = phaseParked
	u.parked++
	s.updateQueueLimit(u)
	s.record(q, recorder.Decision{Kind: recorder.WaitsForCanary})
}

func (s *State) unpark(q *query) {
	q.unit.parked--
	s.updateQueueLimit(q.unit)
	q.phase = phaseRouting
	s.enqueue(q)
}

// canarySucceeded records that a digest is clean. It places the remaining shards of the query that sent the
// canary, and releases the parked queries of the group.
func (s *State) canarySucceeded(q *query) {
	s.quarantine.RecordCompletion(s.now, q.digest)
	if !q.running.canaryOnly {
		return
	}
	q.running.canaryOnly = false
	g := s.digestGroups[q.digest]
	g.canary = nil
	s.releaseParked(g)
	s.placeIdle(q)
}

// releaseParked enqueues the parked queries of a group in the order of their arrival.
func (s *State) releaseParked(g *digestGroup) {
	var parked []*query
	for _, q := range g.queries.items {
		if q.phase == phaseParked {
			parked = append(parked, q)
		}
	}
	slices.SortFunc(parked, func(a, b *query) int { return int(a.handle) - int(b.handle) })
	for _, q := range parked {
		s.unpark(q)
	}
}

// needsCanary reports whether a query may send only canaries.
func (s *State) needsCanary(q *query) bool {
	g, ok := s.digestGroups[q.digest]
	return ok && g.canary == q
}

// placeCanary sends one attempt of a query whose digest is not known to be clean. The other shards stay idle.
// It does nothing while a canary is in flight. If no upstream admits the canary, the shards wait.
func (s *State) placeCanary(q *query) {
	r := &q.running
	if r.inFlight > 0 {
		return
	}
	if s.maySend(q.unit) && s.sendCanary(q, router.None) {
		s.advance(q)
		return
	}
	for _, sh := range r.plan.allShards {
		if isPlaceable(r.shards[sh].status) {
			s.waitForUpstream(q, sh)
		}
	}
	s.advance(q)
}

// sendCanary sends one attempt to an upstream other than excluded. It starts the search for an upstream at
// a random shard, and reports whether it found one.
func (s *State) sendCanary(q *query, excluded int32) bool {
	r := &q.running
	c := s.newChooser(q)
	c.excluded = excluded
	n := len(r.plan.allShards)
	start := int(s.nextRandom() % uint64(max(n, 1)))
	for i := range n {
		sh := int32((start + i) % n)
		if !isPlaceable(r.shards[sh].status) {
			continue
		}
		if m := c.best(sh); m != router.None {
			s.sendGroup(q, m, s.placeableOn(q, m))
			return true
		}
	}
	return false
}

// placeableOn returns the idle and waiting shards of a query that a member holds.
func (s *State) placeableOn(q *query, index int32) []int32 {
	r := &q.running
	var shards []int32
	for _, sh := range r.plan.memberShards[index] {
		if isPlaceable(r.shards[sh].status) {
			shards = append(shards, sh)
		}
	}
	return shards
}

func isPlaceable(status shardStatus) bool {
	return status == shardIdle || status == shardWaiting
}
