package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// hedgeRecheckDivisor divides the hedge delay to give the delay before a deferred hedge is tried again.
const hedgeRecheckDivisor = 4

// hedgeOutcome is the result of trying to hedge an attempt.
type hedgeOutcome uint8

const (
	// hedgeDone means that the attempt is hedged or needs no hedged request.
	hedgeDone hedgeOutcome = iota
	// hedgeDeferred means that a hedged request may be possible later.
	hedgeDeferred
)

// onHedgeDue hedges the attempts of a query that have taken longer than the hedge delay. Attempts become due
// in the order in which they were sent. Those that cannot be hedged yet are kept in deferredHedges, so that
// the cost of a call depends only on their number and on that of the attempts that become due.
func (s *State) onHedgeDue(q *query) {
	r := &q.running
	s.retryDeferredHedges(q)
	for r.hedgeNext < len(r.attemptOrder) {
		id := r.attemptOrder[r.hedgeNext]
		a, ok := s.attempts[id]
		if ok && a.sentAt+r.hedgeDelay > s.now {
			s.arm(&q.timers[timerHedge], a.sentAt+r.hedgeDelay)
			break
		}
		r.hedgeNext++
		if ok && s.hedge(q, a) == hedgeDeferred {
			r.deferredHedges = append(r.deferredHedges, id)
		}
	}
	if len(r.deferredHedges) > 0 {
		s.armEarlier(&q.timers[timerHedge], s.now+max(r.hedgeDelay/hedgeRecheckDivisor, 2))
	}
}

// retryDeferredHedges tries again to hedge the attempts that could not be hedged before.
func (s *State) retryDeferredHedges(q *query) {
	r := &q.running
	r.deferredHedges = slices.DeleteFunc(r.deferredHedges, func(id tiller.AttemptID) bool {
		a, ok := s.attempts[id]
		return !ok || s.hedge(q, a) == hedgeDone
	})
}

// hedge sends the unanswered shards of an attempt to other upstreams, preferably in another failure domain.
func (s *State) hedge(q *query, a attempt) hedgeOutcome {
	u := q.unit
	shards := q.unhedged(a)
	if len(shards) == 0 || a.kind == kindHedge {
		return hedgeDone
	}
	if u.queue.Len() > 0 || !u.hedgeBudget.Allows(1) || !s.maySend(u) {
		return hedgeDeferred
	}
	if q.running.canaryOnly {
		return s.hedgeCanary(q, a, shards)
	}
	s.sendHedges(q, a, shards)
	if len(q.unhedged(a)) == 0 {
		return hedgeDone
	}
	return hedgeDeferred
}

// hedgeCanary sends a second canary to another upstream. It sends the same shards if another upstream holds
// replicas of them, else other shards.
func (s *State) hedgeCanary(q *query, a attempt, shards []int32) hedgeOutcome {
	if q.running.inFlight >= maxCanaries {
		return hedgeDeferred
	}
	s.sendHedges(q, a, shards)
	if q.running.inFlight < maxCanaries {
		s.sendCanary(q, a.index)
	}
	if q.running.inFlight < maxCanaries {
		return hedgeDeferred
	}
	return hedgeDone
}

func (s *State) sendHedges(q *query, a attempt, shards []int32) {
	r := &q.running
	c := s.newChooser(q)
	c.excluded, c.avoidedDomain = a.index, a.member.upstream.spec.Domain
	groups, _ := s.grouper.Group(shards, len(r.plan.members), c.best)
	for _, g := range groups {
		if !q.unit.hedgeBudget.Allows(1) || r.canaryOnly && r.inFlight >= maxCanaries {
			return
		}
		s.sendAttempt(q, g.Upstream, g.Shards, kindHedge)
	}
}

// unhedged returns the shards of an attempt that are neither answered nor hedged.
func (q *query) unhedged(a attempt) []int32 {
	var shards []int32
	for _, sh := range a.shards {
		if st := &q.running.shards[sh]; st.status == shardInFlight && !st.hedged {
			shards = append(shards, sh)
		}
	}
	return shards
}
