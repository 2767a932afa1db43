package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// refusal returns a refusal of a query.
func refusal(q *query, v tiller.Verdict, r tiller.Reason, detail string) *tiller.Refusal {
	return &tiller.Refusal{ID: q.tiller.ID, Verdict: v, Reason: r, Detail: detail, Owner: unknownSeat}
}

// refuse ends a query without an answer, with the verdict that is true of it.
func (s *State) refuse(q *query, reason tiller.Reason, detail string) {
	s.refuseAfter(q, reason, detail, 0)
}

// refuseAfter refuses with a hint when to ask again.
func (s *State) refuseAfter(q *query, reason tiller.Reason, detail string, after tiller.Millis) {
	r := refusal(q, q.verdict(), reason, detail)
	r.RetryAfter = after
	r.Coverage = q.coverage()
	s.finish(q, tiller.Result{Refusal: r})
}

// conclude ends a running query with what has been answered, or refuses it when that is too little.
func (s *State) conclude(q *query) {
	r := &q.running
	if r.counts[shardAnswered] < r.needed || len(r.shards) == 0 {
		s.refuse(q, tiller.ReasonCoverageTooLow, "")
		return
	}
	answer := &tiller.Answer{
		ID:       q.tiller.ID,
		Service:  q.tiller.Service,
		Snapshot: r.plan.snapshot,
		Coverage: q.coverage(),
		Items:    merger.Items(r.parts, r.limit),
	}
	if r.counts[shardAnswered] == len(r.shards) {
		s.measureOf(q).queries.Record(s.now, s.now-r.pinnedAt)
	}
	s.finish(q, tiller.Result{Answer: answer})
}

// finish ends a query with its result: the one place where the reply to an accepted query is sent.
func (s *State) finish(q *query, result tiller.Result) {
	if q.phase == phaseDone {
		return
	}
	reason := tiller.ReasonTimeout
	if result.Refusal != nil && result.Refusal.Reason != tiller.ReasonCoverageTooLow {
		reason = result.Refusal.Reason
	}
	s.leave(q, reason)
	q.phase = phaseDone
	delete(s.queries, q.key)
	if q.issuer {
		s.tokens.Settle(q.tiller.Token, result)
	}
	s.reply(q, result)
}

// leave removes a query from the tables of its phase and cancels what it has in flight.
func (s *State) leave(q *query, reason tiller.Reason) {
	for i := range q.timers {
		s.disarm(&q.timers[i])
	}
	switch q.phase {
	case phaseSeeking:
		if q.unit != nil {
			q.unit.seeking.remove(q)
		}
	case phaseForwarded:
		s.cancelForward(q)
	case phaseParked:
		q.unit.parked--
		s.limitQueue(q.unit)
	case phaseQueued:
		q.unit.queue.Remove(q.handle)
		delete(s.waiting, q.handle)
	case phaseRunning:
		s.cancelAll(q, reason)
		s.unpin(q)
	}
	s.leaveDigest(q)
}

// reply sends the result of a query back to where the query came from.
func (s *State) reply(q *query, result tiller.Result) {
	d := recorder.Decision{Kind: recorder.Answered}
	if result.Refusal != nil && result.Refusal.Verdict == tiller.NotRun && s.orphaned[q.key.sender()] > 0 {
		result.Refusal.Verdict = tiller.MayHaveRun
	}
	if result.Refusal != nil {
		d = recorder.Decision{Kind: recorder.Refused, Reason: result.Refusal.Reason, Detail: result.Refusal.Verdict.String()}
		s.count(CountRefusal, result.Refusal.Reason, 1)
	} else {
		d.Detail = result.Answer.Snapshot
		d.Count = result.Answer.Coverage.Answered
		s.count(CountAnswer, answerLabel(result.Answer), 1)
	}
	s.record(q, d)
	s.emit(Reply{Caller: q.key.caller, ID: q.key.id, To: q.from, Ref: q.ref, Result: result})
}

// answerLabel is empty for a complete answer, else the reason of the first missing shard.
func answerLabel(a *tiller.Answer) tiller.Reason {
	if len(a.Coverage.Missing) == 0 {
		return ""
	}
	return a.Coverage.Missing[0].Reason
}

// record adds a decision about a query to the ring.
func (s *State) record(q *query, d recorder.Decision) {
	d.At, d.Caller, d.Request = s.now, q.key.caller, q.key.id
	s.decisions.Add(d)
}
