package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

const (
	// lingerMillis is the time for which requests stay outstanding after their query was answered. An upstream
	// that pauses answers within it and keeps its connection, so it can be told apart from one that does not
	// answer at all. It is below the 500 ms after which work for disconnected clients is unwanted.
	lingerMillis = 400
	// minUsefulMillis is the shortest remaining time in which a further request is sent.
	minUsefulMillis = 5
	// maxTrouble bounds the failed attempts that are logged for one query. Missing shards are logged in addition.
	maxTrouble = 12
)

// evaluate sends the requests that are due, then answers or refuses the query if its outcome is certain or its
// time has come. Otherwise it sets the timer of the query.
func (s *State) evaluate(now tiller.Millis, q *query) {
	if q.ended {
		return
	}
	if q.isLate(now) {
		s.recordMisses(now, q)
	}
	if now < q.expiresAt {
		s.checkShards(now, q)
	}
	switch {
	case (q.openShards() == 0 || now >= q.answerBy) && q.answered >= q.needed:
		s.reply(now, q)
	case q.isSubQuery && (q.openShards() == 0 || now >= q.expiresAt || q.answered+q.openShards() < q.needed):
		s.reply(now, q)
	case q.answered+q.openShards() < q.needed:
		s.refuse(now, q, s.refusalReason(q), retryAfterMillis)
	case now >= q.expiresAt:
		q.setTimeoutReasons()
		s.refuse(now, q, tiller.ReasonTimeout, 0)
	default:
		if q.partAt > 0 && now >= q.partAt {
			s.sendPart(now, q)
		}
		s.setTimer(now, q)
	}
}

// refusalReason returns the reason reported for a query without enough shards: that of the shard if the query
// has a single one.
func (s *State) refusalReason(q *query) tiller.Reason {
	if q.isSingle() && q.shards[0].reason != "" {
		return q.shards[0].reason
	}
	return tiller.ReasonCoverageTooLow
}

// checkShards handles the open shards whose checkAt has come: it checks whether their sub-query was accepted,
// or sends a further request.
func (s *State) checkShards(now tiller.Millis, q *query) {
	for _, sh := range q.shards {
		if sh.status != shardOpen || sh.checkAt == 0 || sh.checkAt > now {
			continue
		}
		if sh.subQuery != nil {
			s.checkAccepted(now, sh.subQuery)
			continue
		}
		reason := tiller.ReasonHedge
		if sh.outstanding == 0 {
			reason = tiller.ReasonShed
		}
		sh.checkAt = now
		sent := s.trySend(now, sh, reason)
		if sh.checkAt == now {
			sh.checkAt = 0
		}
		if !sent && sh.outstanding == 0 {
			sh.fail(tiller.ReasonShed)
		}
	}
}

// reply answers a query with the shards answered so far.
func (s *State) reply(now tiller.Millis, q *query) {
	q.setTimeoutReasons()
	if q.isSubQuery {
		s.replySub(now, q)
		return
	}
	parts, records := q.assemble()
	stamps := make([]string, 0, len(parts))
	for _, p := range parts {
		stamps = append(stamps, p.Stamp)
	}
	s.emit(ReplyGathered{
		Query: q.id, Stamps: stamps, Missing: len(q.shards) - q.answered, Records: records, Due: q.answerBy, Decision: q.decision(now),
	})
	s.finish(now, q, lingerMillis)
}

// setTimeoutReasons sets the reason of open shards without one to Timeout.
func (q *query) setTimeoutReasons() {
	for _, sh := range q.shards {
		if sh.status == shardOpen && sh.reason == "" {
			sh.reason = tiller.ReasonTimeout
		}
	}
}

func (s *State) replySub(now tiller.Millis, q *query) {
	parts, records := q.assemble()
	r := SubReply{Parts: parts, Records: merger.Above(records, q.askerThreshold), Took: now - q.arrived}
	for _, sh := range q.shards {
		if sh.status == shardAnswered {
			continue
		}
		r.Missing = append(r.Missing, MissingShard{Shard: sh.service, Reason: sh.reason, Attempts: sh.possibleRuns + sh.outstanding, Asked: sh.arrivals > 0})
	}
	r.Down, r.Leaving = s.unusableUpstreams(now, q), s.leavingUpstreams(q)
	s.emit(ReplySub{Query: q.id, Reply: r, Decision: q.decision(now)})
	s.finish(now, q, lingerMillis)
}

// refuse ends a query with a refusal and cancels its outstanding requests at once.
func (s *State) refuse(now tiller.Millis, q *query, reason tiller.Reason, retryAfter tiller.Millis) {
	verdict := tiller.NotRun
	if q.mayHaveRun() {
		verdict, retryAfter = tiller.MayHaveRun, 0
	}
	s.emit(Refuse{Query: q.id, Verdict: verdict, Reason: reason, RetryAfter: retryAfter, Decision: q.decision(now)})
	s.finish(now, q, 0)
}

// assemble returns the answered shards that were not delivered yet and their topK greatest records.
func (q *query) assemble() ([]Part, []byte) {
	records := merger.NewRecords(q.topK)
	parts := make([]Part, 0, q.answered)
	for _, merged := range q.merged {
		records.Add(merged)
	}
	for _, sh := range q.shards {
		if sh.status != shardAnswered || sh.delivered {
			continue
		}
		parts = append(parts, Part{Shard: sh.service, Stamp: sh.stamp})
		records.Add(sh.records)
	}
	return parts, records.Bytes()
}
