package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// staleMillis is the time for which a daemon that does not know a shard gets no sub-queries.
const rejectedMillis = 1000

// waySmoothing is the weight of a new sample in the average time on the way.
const rttSmoothing = 0.1

// endSubQuery takes the outcome of a sub-query to another daemon.
func (s *State) endSubQuery(now tiller.Millis, e SubQueryEnded) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, e.Attempt)
	s.recordPeerOutcome(now, a, e)
	q := a.query
	for _, sh := range a.shards {
		sh.outstanding -= a.upstreamLimit + a.unusedLimit
		sh.subQuery, sh.checkAt = nil, 0
	}
	if q.ended {
		return
	}
	if e.Failure == nil && !e.Reply.NoCapacity && !isValidReply(a, e.Reply) {
		e.Failure = tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, nil)
	}
	if e.Failure != nil || e.Reply.NoCapacity {
		s.replaceSubQuery(now, a, e)
		return
	}
	s.markUnreachable(now, e.Reply.Down)
	s.acceptReply(now, a, e.Reply)
	s.evaluate(now, q)
}

func (s *State) recordPeerOutcome(now tiller.Millis, a *attempt, e SubQueryEnded) {
	stat := a.peer.stat
	switch {
	case e.Failure == nil && e.Reply.NoCapacity:
		stat.Shed(now, a.id)
		a.peer.rejectsUntil = now + rejectedMillis
	case e.Failure == nil:
		stat.Answered(now, a.id, 0)
		way := float64(max(now-a.sent-e.Reply.Took, 0))
		a.peer.rtt += rttSmoothing * (way - a.peer.rtt)
	case e.Failure.Reason == tiller.ReasonCancelled || e.Failure.Reason == tiller.ReasonTimeout:
		stat.Abandoned(now, a.id)
	default:
		stat.Failed(now, a.id)
		s.suspendPeer(a.peer, e.Failure.Reason)
	}
}

// acceptSub notes that another daemon has begun a sub-query, and confirms it unless the sub-query was
// replaced before. A daemon that is not confirmed itself confirms those that it hands shards to only
// later, because all of them together may send one request for each shard until then.
func (s *State) subQueryAccepted(e SubQueryAccepted) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	a.accepted = true
	if !a.query.unconfirmed {
		s.emit(ConfirmSubQuery{Attempt: a.id})
	}
}

// confirm lets a sub-query use all of its attempts. Before, the asking daemon may have replaced it,
// counting one request for each shard: it may not have seen in time that the sub-query was begun, and
// the end of its connection may be late or lost.
func (s *State) subQueryConfirmed(now tiller.Millis, id uint64) {
	q, ok := s.queries[id]
	if !ok {
		return
	}
	q.unconfirmed = false
	for _, attempt := range q.attempts {
		if a, ok := s.attempts[attempt]; ok && a.accepted {
			s.emit(ConfirmSubQuery{Attempt: attempt})
		}
	}
	s.evaluate(now, q)
}

// checkAccepted replaces a sub-query that was not accepted in time. A daemon that stands still has
// not sent any request, and finds its connection closed when it goes on. One that is only late sends
// at most one for each shard, because it is not confirmed. When this daemon was late itself, the other gets more time.
func (s *State) checkAccepted(now tiller.Millis, a *attempt) {
	late := now - a.acceptBy
	a.acceptBy = now + acceptSlackMillis
	for _, sh := range a.shards {
		sh.checkAt = 0
		if !a.accepted && late > timerLateMillis {
			sh.checkAt = a.acceptBy
		}
	}
	if a.accepted || late > timerLateMillis {
		return
	}
	s.emit(Cancel{Attempt: a.id})
	a.upstreamLimit, a.unusedLimit = 1, a.upstreamLimit-1
	s.endSubQuery(now, SubQueryEnded{
		Attempt: a.id, Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonSilent, nil),
	})
}

// acceptReply takes the parts of a reply. Its records are merged and cannot be taken apart, so a
// part that came directly meanwhile gives way to that of the reply.
func (s *State) acceptReply(now tiller.Millis, a *attempt, r SubReply) {
	q := a.query
	byName := make(map[string]*shard, len(a.shards))
	for _, sh := range a.shards {
		byName[sh.service] = sh
	}
	for _, p := range r.Parts {
		sh := byName[p.Shard]
		if sh.status == shardFailed {
			q.failed--
		}
		if sh.status != shardAnswered {
			sh.status = shardAnswered
			q.answered++
		}
		sh.stamp, sh.records = p.Stamp, nil
	}
	q.merged = append(q.merged, r.Records)
	for _, m := range r.Missing {
		sh, ok := byName[m.Shard]
		if !ok || sh.status != shardOpen {
			continue
		}
		sh.possibleRuns += m.Attempts
		if !m.Asked {
			sh.arrivals--
		} else {
			sh.budgeted = true
		}
		sh.reason = m.Reason
		if sh.outstanding == 0 {
			s.resend(now, sh, m.Reason)
		}
	}
}

// isComplete says whether every shard of a reply was asked for, and each once.
func isValidReply(a *attempt, r SubReply) bool {
	open := make(map[string]bool, len(a.shards))
	for _, sh := range a.shards {
		open[sh.service] = true
	}
	for _, p := range r.Parts {
		if !open[p.Shard] || p.Stamp == "" {
			return false
		}
		delete(open, p.Shard)
	}
	return len(r.Records)%merger.RecordBytes == 0
}

// replaceSubQuery asks directly for the shards of a sub-query that failed.
func (s *State) replaceSubQuery(now tiller.Millis, a *attempt, e SubQueryEnded) {
	reason := tiller.ReasonShed
	ran := 0
	if e.Failure != nil {
		reason = e.Failure.Reason
		if e.Failure.Verdict != tiller.NotRun {
			// The other daemon may have asked as many upstreams as the route allows.
			ran = a.upstreamLimit
		}
	}
	if ran == 0 {
		s.refundBudget(a)
	}
	a.query.addTrouble(now, a, reason)
	var resent []*shard
	for _, sh := range a.shards {
		sh.possibleRuns += ran
		if sh.status != shardOpen || sh.outstanding > 0 {
			continue
		}
		if !sh.maySend() || sh.arrivals > 0 && !s.budget(sh.service).Allows(1) {
			sh.fail(reason)
			continue
		}
		resent = append(resent, sh)
	}
	s.sendGrouped(now, a.query, resent, a.peer)
	s.evaluate(now, a.query)
}

// restart asks for a shard that a sub-query did not bring.
func (s *State) resend(now tiller.Millis, sh *shard, reason tiller.Reason) {
	if !s.trySend(now, sh, reason) {
		sh.fail(reason)
	}
}
