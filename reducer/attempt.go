package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// attemptKind tells why an attempt was sent.
type attemptKind uint8

const (
	kindFirst attemptKind = iota
	kindRetry
	kindHedge
)

// expiryGrace is the time after the deadline of an attempt that its upstream has to say that it is over, in milliseconds.
const expiryGrace tiller.Millis = 20

// attempt is a request in flight to an upstream. It is replaced as a whole.
type attempt struct {
	query  *query
	member *member
	// index is that of the member in the query's plan.
	index  int32
	kind   attemptKind
	shards []int32
	names  []string
	// open is the number of its shards that are not answered by another attempt.
	open     int
	sentAt   tiller.Millis
	deadline tiller.Millis
}

// send sends shards of a query to an upstream that has room.
func (s *State) send(q *query, index int32, shards []int32, k attemptKind) {
	r := &q.running
	m := r.plan.members[index]
	holding := s.holds(q.unit)
	s.lastAttempt++
	id := s.lastAttempt
	a := attempt{
		query: q, member: m, index: index, kind: k, shards: shards, open: len(shards),
		names: r.plan.namesOf(index, shards), sentAt: s.now, deadline: leaseEnd(q.end, holding.ValidUntil),
	}
	s.attempts[id] = a
	m.attempts[id] = struct{}{}
	m.limit = m.limit.WithStarted()
	s.refresh(m)
	for _, sh := range shards {
		r.shards[sh].add(id)
		r.shards[sh].hedged = r.shards[sh].hedged || k == kindHedge
		r.set(sh, shardFlying)
	}
	r.flying++
	r.order = append(r.order, id)
	s.account(q, a)
	s.emit(SendAttempt{
		Upstream: m.upstream.spec.Name, Address: m.upstream.spec.Address,
		Request:    s.request(q, id, a),
		ValidUntil: holding.ValidUntil, Fresh: !q.repeatable,
	})
	s.watch(q, a)
	s.record(q, recorder.Decision{
		Kind: a.what(r), Upstream: m.upstream.spec.Name, Attempt: id, Count: len(shards), Reason: r.shards[shards[0]].reason,
	})
}

func (s *State) request(q *query, id tiller.AttemptID, a attempt) tiller.SearchRequest {
	return tiller.SearchRequest{
		ID: q.key.id, Attempt: id, Service: q.tiller.Service, Snapshot: q.running.plan.snapshot,
		Shards: a.names, Route: q.tiller.Route, Body: q.tiller.Body, Limit: q.running.limit,
		Deadline: a.deadline,
	}
}

// account charges the budgets and counters for an attempt.
func (s *State) account(q *query, a attempt) {
	u := q.unit
	if q.running.probing {
		s.count(CountCanary, "", 1)
	}
	switch a.kind {
	case kindFirst:
		u.hedges, u.retries = u.hedges.WithFirst(1), u.retries.WithFirst(1)
		s.count(CountAttempt, "", 1)
	case kindRetry:
		u.retries = u.retries.WithSpent(1)
		s.count(CountRetry, q.running.shards[a.shards[0]].reason, 1)
	case kindHedge:
		u.hedges = u.hedges.WithSpent(1)
		s.count(CountHedge, "", 1)
	}
}

// watch arms the timers that look after attempts.
func (s *State) watch(q *query, a attempt) {
	if t := &q.timers[timerHedge]; !t.armed && q.repeatable && a.kind != kindHedge {
		s.arm(t, a.sentAt+q.running.hedgeDelay)
	}
	if t := &q.timers[timerExpiry]; !t.armed && a.deadline < q.end {
		s.arm(t, a.deadline+expiryGrace)
	}
}

func (a attempt) what(r *running) recorder.Kind {
	switch {
	case a.kind == kindHedge:
		return recorder.Hedged
	case a.kind == kindRetry:
		return recorder.Retried
	case r.probing:
		return recorder.Canary
	}
	return recorder.Sent
}

// end removes an attempt; its member's limit has been brought up to date.
func (s *State) end(id tiller.AttemptID, a attempt) {
	delete(s.attempts, id)
	delete(a.member.attempts, id)
	a.query.running.flying--
	m := a.member
	s.refresh(m)
	if len(m.waiting) > 0 {
		s.free(m)
	}
	if m.gone && m.isIdle() {
		s.forget(m)
	}
	s.touch(m.unit)
}

// cancel cancels an attempt whose result is not needed. What it did so far is not known.
func (s *State) cancel(id tiller.AttemptID, a attempt, reason tiller.Reason) {
	q := a.query
	q.mayHaveRun = true
	age := s.now - a.sentAt
	if (reason == tiller.ReasonHedgeLost || reason == tiller.ReasonTimeout) && age >= q.running.hedgeDelay {
		a.member.strikes++
	}
	if reason == tiller.ReasonHedgeLost {
		s.measureOf(q).attempts.Record(s.now, age)
		s.sample(a, age, false)
	}
	if a.member.limit.Cold() {
		s.orphan(id, a, s.now)
	} else {
		a.member.limit = a.member.limit.WithEnded()
	}
	s.end(id, a)
	for _, sh := range a.shards {
		q.running.shards[sh].drop(id)
	}
	s.count(CountCancellation, reason, 1)
	s.record(q, recorder.Decision{Kind: recorder.Cancelled, Upstream: a.member.upstream.spec.Name, Attempt: id, Reason: reason})
	s.emit(CancelAttempt{Attempt: id, Reason: reason})
}

// cancelAll cancels the attempts of a query.
func (s *State) cancelAll(q *query, reason tiller.Reason) {
	for _, id := range q.running.order {
		if a, ok := s.attempts[id]; ok {
			s.cancel(id, a, reason)
		}
	}
}

// onExpiry ends the attempts whose deadline, clipped to the end of the lease, has passed.
func (s *State) onExpiry(q *query) {
	r := &q.running
	for r.expiryNext < len(r.order) {
		id := r.order[r.expiryNext]
		a, ok := s.attempts[id]
		if ok && a.deadline+expiryGrace > s.now {
			if a.deadline < q.end {
				s.arm(&q.timers[timerExpiry], a.deadline+expiryGrace)
			}
			return
		}
		r.expiryNext++
		if ok {
			s.emit(CancelAttempt{Attempt: id, Reason: tiller.ReasonTimeout})
			s.count(CountCancellation, tiller.ReasonTimeout, 1)
			s.fail(id, a, AttemptFailed{Attempt: id, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonTimeout})
		}
		if q.phase != phaseRunning {
			return
		}
	}
}
