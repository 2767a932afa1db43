package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// attemptKind states why an attempt was sent.
type attemptKind uint8

const (
	kindFirst attemptKind = iota
	kindRetry
	kindHedge
)

// expiryGraceMillis is the time that an upstream has after the deadline of an attempt to report its end.
const expiryGraceMillis tiller.Millis = 20

// attempt is a request in flight to an upstream. It is a value: changes replace the entry in State.
type attempt struct {
	query  *query
	member *member
	// index is the index of the member in the query's plan.
	index  int32
	kind   attemptKind
	shards []int32
	names  []string
	// unanswered is the number of its shards that no other attempt has answered.
	unanswered int
	sentAt     tiller.Millis
	deadline   tiller.Millis
}

// sendAttempt sends shards of a query to an upstream that admits requests.
func (s *State) sendAttempt(q *query, index int32, shards []int32, k attemptKind) {
	r := &q.running
	m := r.plan.members[index]
	holding := s.holding(q.unit)
	s.lastAttempt++
	id := s.lastAttempt
	a := attempt{
		query: q, member: m, index: index, kind: k, shards: shards, unanswered: len(shards),
		names: r.plan.shardNames(index, shards), sentAt: s.now, deadline: leaseEnd(q.replyBy, holding.ValidUntil),
	}
	s.attempts[id] = a
	m.attempts[id] = struct{}{}
	m.limit = m.limit.WithStarted()
	s.refresh(m)
	for _, sh := range shards {
		r.shards[sh].addAttempt(id)
		r.shards[sh].hedged = r.shards[sh].hedged || k == kindHedge
		r.setStatus(sh, shardInFlight)
	}
	r.inFlight++
	r.attemptOrder = append(r.attemptOrder, id)
	s.chargeAttempt(q, a)
	s.emit(SendAttempt{
		Upstream: m.upstream.spec.Name, Address: m.upstream.spec.Address,
		Request:    s.request(q, id, a),
		ValidUntil: holding.ValidUntil, Fresh: !q.repeatable,
	})
	s.armAttemptTimers(q, a)
	s.record(q, recorder.Decision{
		Kind: a.decisionKind(r), Upstream: m.upstream.spec.Name, Attempt: id, Count: len(shards), Reason: r.shards[shards[0]].reason,
	})
}

func (s *State) request(q *query, id tiller.AttemptID, a attempt) tiller.SearchRequest {
	return tiller.SearchRequest{
		ID: q.key.id, Attempt: id, Service: q.request.Service, Snapshot: q.running.plan.snapshot,
		Shards: a.names, Route: q.request.Route, Body: q.request.Body, Limit: q.running.itemLimit,
		Deadline: a.deadline,
	}
}

// chargeAttempt updates the budgets and counters for a new attempt.
func (s *State) chargeAttempt(q *query, a attempt) {
	u := q.unit
	if q.running.canaryOnly {
		s.count(CountCanary, "", 1)
	}
	switch a.kind {
	case kindFirst:
		u.hedgeBudget, u.retryBudget = u.hedgeBudget.WithFirst(1), u.retryBudget.WithFirst(1)
		s.count(CountAttempt, "", 1)
	case kindRetry:
		u.retryBudget = u.retryBudget.WithSpent(1)
		s.count(CountRetry, q.running.shards[a.shards[0]].reason, 1)
	case kindHedge:
		u.hedgeBudget = u.hedgeBudget.WithSpent(1)
		s.count(CountHedge, "", 1)
	}
}

// armAttemptTimers arms the query's hedge and expiry timers for an attempt.
func (s *State) armAttemptTimers(q *query, a attempt) {
	if t := &q.timers[timerHedge]; !t.armed && q.repeatable && a.kind != kindHedge {
		s.arm(t, a.sentAt+q.running.hedgeDelay)
	}
	if t := &q.timers[timerExpiry]; !t.armed && a.deadline < q.replyBy {
		s.arm(t, a.deadline+expiryGraceMillis)
	}
}

func (a attempt) decisionKind(r *running) recorder.Kind {
	switch {
	case a.kind == kindHedge:
		return recorder.Hedged
	case a.kind == kindRetry:
		return recorder.Retried
	case r.canaryOnly:
		return recorder.Canary
	}
	return recorder.Sent
}

// removeAttempt removes an attempt. The caller has already updated the member's limit.
func (s *State) removeAttempt(id tiller.AttemptID, a attempt) {
	delete(s.attempts, id)
	delete(a.member.attempts, id)
	a.query.running.inFlight--
	m := a.member
	s.refresh(m)
	if len(m.waiters) > 0 {
		s.markReady(m)
	}
	if m.removed && m.isIdle() {
		s.removeMember(m)
	}
	s.markDirty(m.unit)
}

// cancelAttempt cancels an attempt whose result is not needed. The upstream may have run the request.
func (s *State) cancelAttempt(id tiller.AttemptID, a attempt, reason tiller.Reason) {
	q := a.query
	q.mayHaveRun = true
	age := s.now - a.sentAt
	if (reason == tiller.ReasonHedgeLost || reason == tiller.ReasonTimeout) && age >= q.running.hedgeDelay {
		a.member.missedResponses++
	}
	if reason == tiller.ReasonHedgeLost {
		s.latencyOf(q).attempts.Record(s.now, age)
		s.recordSample(a, age, false)
	}
	if a.member.limit.Cold() {
		s.keepOrphan(id, a, s.now)
	} else {
		a.member.limit = a.member.limit.WithEnded()
	}
	s.removeAttempt(id, a)
	for _, sh := range a.shards {
		q.running.shards[sh].dropAttempt(id)
	}
	s.count(CountCancellation, reason, 1)
	s.record(q, recorder.Decision{Kind: recorder.Cancelled, Upstream: a.member.upstream.spec.Name, Attempt: id, Reason: reason})
	s.emit(CancelAttempt{Attempt: id, Reason: reason})
}

// cancelAttempts cancels all attempts of a query.
func (s *State) cancelAttempts(q *query, reason tiller.Reason) {
	for _, id := range q.running.attemptOrder {
		if a, ok := s.attempts[id]; ok {
			s.cancelAttempt(id, a, reason)
		}
	}
}

// onExpiry fails the attempts whose deadline, which is limited by the end of the lease, has passed by
// expiryGraceMillis.
func (s *State) onExpiry(q *query) {
	r := &q.running
	for r.expiryNext < len(r.attemptOrder) {
		id := r.attemptOrder[r.expiryNext]
		a, ok := s.attempts[id]
		if ok && a.deadline+expiryGraceMillis > s.now {
			if a.deadline < q.replyBy {
				s.arm(&q.timers[timerExpiry], a.deadline+expiryGraceMillis)
			}
			return
		}
		r.expiryNext++
		if ok {
			s.emit(CancelAttempt{Attempt: id, Reason: tiller.ReasonTimeout})
			s.count(CountCancellation, tiller.ReasonTimeout, 1)
			s.failAttempt(id, a, AttemptFailed{Attempt: id, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonTimeout})
		}
		if q.phase != phaseRunning {
			return
		}
	}
}
