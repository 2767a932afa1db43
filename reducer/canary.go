package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
)

// maxCanaries is the number of canaries of a query in flight at once.
const maxCanaries = 2

// digest holds the queries here that have one digest.
type digest struct {
	queries bag
	// canary is the query whose canary decides for all; nil when none is needed.
	canary *query
}

// join gives a query to the queue of its unit, or has it wait for the canary of its digest.
func (s *State) join(q *query) {
	if s.quarantine.Blocked(s.now, q.digest) {
		s.refuseHarmful(q)
		return
	}
	if !s.examineLoad(q) {
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

func (s *State) joinDigest(q *query) *digest {
	g, ok := s.digests[q.digest]
	if !ok {
		g = &digest{queries: bag{kind: bagDigest}}
		s.digests[q.digest] = g
	}
	g.queries.add(q)
	return g
}

// leaveDigest removes a query from those of its digest. When it was the one with the canary,
// the earliest of those that wait takes its place.
func (s *State) leaveDigest(q *query) {
	g, ok := s.digests[q.digest]
	if !ok || !g.queries.has(q) {
		return
	}
	g.queries.remove(q)
	if g.queries.len() == 0 {
		delete(s.digests, q.digest)
		return
	}
	if g.canary == q {
		g.canary = nil
		s.promote(g)
	}
}

// promote gives the canary of a digest to the earliest query that waits for it.
func (s *State) promote(g *digest) {
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

// park has a query wait for the canary of another one.
func (s *State) park(q *query) {
	u := q.unit
	// Copies of one request may take only half of the queue, so that they do not keep other requests out.
	if u.parked >= u.queue.Limit() {
		s.refuseAfter(q, tiller.ReasonQueueFull, "too many queries wait for a canary", u.pace.wait(1))
		return
	}
	q.phase = phaseParked
	u.parked++
	s.limitQueue(u)
	s.record(q, recorder.Decision{Kind: recorder.WaitsForCanary})
}

func (s *State) unpark(q *query) {
	q.unit.parked--
	s.limitQueue(q.unit)
	q.phase = phaseSeeking
	s.enqueue(q)
}

// proven ends the canary of a digest with success: the other shards and the copies follow.
func (s *State) proven(q *query) {
	s.quarantine.RecordCompletion(s.now, q.digest)
	if !q.running.probing {
		return
	}
	q.running.probing = false
	g := s.digests[q.digest]
	g.canary = nil
	s.releaseParked(g)
	s.placeIdle(q)
}

// releaseParked lets the copies of a digest go on, in the order of their arrival.
func (s *State) releaseParked(g *digest) {
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

// needsCanary says whether a query may send only canaries.
func (s *State) needsCanary(q *query) bool {
	g, ok := s.digests[q.digest]
	return ok && g.canary == q
}

// placeCanary sends one attempt of a query that is not known to be harmless. The other shards stay idle.
func (s *State) placeCanary(q *query) {
	r := &q.running
	if r.flying > 0 {
		return
	}
	if s.maySend(q.unit) && s.sendCanary(q, router.None) {
		s.check(q)
		return
	}
	for _, sh := range r.plan.all {
		if isPlaceable(r.shards[sh].status) {
			s.wait(q, sh)
		}
	}
	s.check(q)
}

// sendCanary sends the shards of one upstream other than avoid, beginning the search at a random shard.
func (s *State) sendCanary(q *query, avoid int32) bool {
	r := &q.running
	c := s.newChoice(q)
	c.avoid = avoid
	n := len(r.plan.all)
	start := int(s.draw() % uint64(max(n, 1)))
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

// placeableOn returns the shards of a query that a member holds and that are not under way.
func (s *State) placeableOn(q *query, index int32) []int32 {
	r := &q.running
	var shards []int32
	for _, sh := range r.plan.held[index] {
		if isPlaceable(r.shards[sh].status) {
			shards = append(shards, sh)
		}
	}
	return shards
}

func isPlaceable(status shardStatus) bool {
	return status == shardIdle || status == shardWaiting
}
