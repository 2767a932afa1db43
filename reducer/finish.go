package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/recorder"
)

func refusal(q *query, v tiller.Verdict, r tiller.Reason, detail string) *tiller.Refusal {
	return &tiller.Refusal{ID: q.request.ID, Verdict: v, Reason: r, Detail: detail, Owner: unknownSeat}
}

// refuse ends a query with a refusal that carries the query's verdict.
func (s *State) refuse(q *query, reason tiller.Reason, detail string) {
	s.refuseAfter(q, reason, detail, 0)
}

// refuseAfter is refuse with a hint after what time to send the request again; 0 gives no hint.
func (s *State) refuseAfter(q *query, reason tiller.Reason, detail string, after tiller.Millis) {
	r := refusal(q, q.verdict(), reason, detail)
	r.RetryAfter = after
	r.Coverage = q.coverage()
	s.finish(q, tiller.Result{Refusal: r})
}

// conclude ends a running query with the results so far, or refuses it when the needed coverage is not reached.
func (s *State) conclude(q *query) {
	r := &q.running
	if r.statusCounts[shardAnswered] < r.needed || len(r.shards) == 0 {
		s.refuse(q, tiller.ReasonCoverageTooLow, "")
		return
	}
	answer := &tiller.Answer{
		ID:       q.request.ID,
		Service:  q.request.Service,
		Snapshot: r.plan.snapshot,
		Coverage: q.coverage(),
		Items:    merger.Items(r.parts, r.itemLimit),
	}
	if r.statusCounts[shardAnswered] == len(r.shards) {
		s.latencyOf(q).queries.Record(s.now, s.now-r.pinnedAt)
	}
	s.finish(q, tiller.Result{Answer: answer})
}

// finish ends a query with its result. Every reply to an accepted query is sent from here.
func (s *State) finish(q *query, result tiller.Result) {
	if q.phase == phaseDone {
		return
	}
	reason := tiller.ReasonTimeout
	if result.Refusal != nil && result.Refusal.Reason != tiller.ReasonCoverageTooLow {
		reason = result.Refusal.Reason
	}
	s.leavePhase(q, reason)
	q.phase = phaseDone
	delete(s.queries, q.key)
	if q.isIssuer {
		s.tokens.RecordOutcome(q.request.Token, result)
	}
	s.reply(q, result)
}

// leavePhase removes a query from the tables of its phase and cancels its attempts and forwards in flight.
func (s *State) leavePhase(q *query, reason tiller.Reason) {
	for i := range q.timers {
		s.disarm(&q.timers[i])
	}
	switch q.phase {
	case phaseRouting:
		if q.unit != nil {
			q.unit.awaitingOwner.remove(q)
		}
	case phaseForwarded:
		s.cancelForward(q)
	case phaseParked:
		q.unit.parked--
		s.updateQueueLimit(q.unit)
	case phaseQueued:
		q.unit.queue.Remove(q.handle)
		delete(s.queued, q.handle)
	case phaseRunning:
		s.cancelAttempts(q, reason)
		s.unpin(q)
	}
	s.leaveDigest(q)
}

// reply sends the result of a query to its caller or to the peer that forwarded it. A refusal does not say
// NotRun while an orphaned attempt of the same request may still run.
func (s *State) reply(q *query, result tiller.Result) {
	d := recorder.Decision{Kind: recorder.Answered}
	if result.Refusal != nil && result.Refusal.Verdict == tiller.NotRun && s.orphanCounts[q.key.callerKey()] > 0 {
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

// answerLabel returns an empty label for a complete answer, else the reason of the first missing shard.
func answerLabel(a *tiller.Answer) tiller.Reason {
	if len(a.Coverage.Missing) == 0 {
		return ""
	}
	return a.Coverage.Missing[0].Reason
}

// record adds a decision about a query to the ring of decisions.
func (s *State) record(q *query, d recorder.Decision) {
	d.At, d.Caller, d.Request = s.now, q.key.caller, q.key.id
	s.decisions.Add(d)
}
