package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// rejectedMillis is the time for which a daemon gets no sub-queries after it rejected one.
const rejectedMillis = 1000

// minSilentDaemons is the number of sub-queries from which it is unlikely that most of the daemons are silent.
const minSilentDaemons = 3

// rttSmoothing is the weight of a new sample in the moving average of the round-trip time.
const rttSmoothing = 0.1

// endSubQuery handles the outcome of a sub-query to another daemon.
func (s *State) endSubQuery(now tiller.Millis, e SubQueryEnded) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, e.Attempt)
	s.recordPeerOutcome(now, a, e)
	s.hearLeaving(a.peer.VM, e.Reply.Leaving)
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

// recordPeerOutcome updates the statistics of another daemon with the outcome of a sub-query.
func (s *State) recordPeerOutcome(now tiller.Millis, a *attempt, e SubQueryEnded) {
	stat := a.peer.stat
	if e.Failure == nil || isSilence(e.Failure.Reason, now-a.sent) {
		s.recordPeerContact(now, a.peer, e.Failure == nil)
	}
	switch {
	case e.Failure == nil && e.Reply.NoCapacity:
		stat.Shed(now, a.id)
		a.peer.rejectsUntil = now + rejectedMillis
	case e.Failure == nil:
		stat.Answered(now, a.id, 0)
		sample := float64(max(now-a.sent-e.Reply.Took, 0))
		a.peer.rtt += rttSmoothing * (sample - a.peer.rtt)
	case e.Failure.Reason == tiller.ReasonCancelled || e.Failure.Reason == tiller.ReasonTimeout:
		stat.Abandoned(now, a.id)
	default:
		stat.Failed(now, a.id)
		s.suspendPeer(a.peer, e.Failure.Reason)
	}
}

// subQueryAccepted records that another daemon has started a sub-query. It confirms the sub-query unless that
// was already replaced. If this daemon is itself gathering an unconfirmed sub-query, it delays the
// confirmation until its own: until then, all daemons involved together may send only one request for each
// shard.
func (s *State) subQueryAccepted(now tiller.Millis, e SubQueryAccepted) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	a.accepted = true
	a.query.accepted++
	s.recordPeerContact(now, a.peer, true)
	if !a.query.unconfirmed {
		s.emit(ConfirmSubQuery{Attempt: a.id})
	}
}

// subQueryConfirmed allows a sub-query to use all of its attempts. Before the confirmation, the requesting
// daemon may have replaced the sub-query and counted one request for each shard: it may not have learned in
// time that the sub-query was started, and the closing of its connection may arrive late or never.
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

// checkAccepted replaces a sub-query that was not accepted in time. A daemon that is stalled has not sent any
// request, and finds its connection closed when it resumes. A daemon that is only late sends at most one
// request for each shard, because it is not confirmed. If the timer of this daemon fired late, or most daemons
// seem to be silent at once, this daemon itself is probably busy, and the other daemon gets more time.
func (s *State) checkAccepted(now tiller.Millis, a *attempt) {
	late := now-a.acceptBy > timerLateMillis || a.query.mostSilent() && !a.extended
	a.acceptBy = now + acceptSlackMillis
	for _, sh := range a.shards {
		sh.checkAt = 0
		if !a.accepted && late {
			sh.checkAt = a.acceptBy
		}
	}
	if a.accepted || late {
		a.extended = true
		return
	}
	s.emit(Cancel{Attempt: a.id})
	a.upstreamLimit, a.unusedLimit = 1, a.upstreamLimit-1
	s.endSubQuery(now, SubQueryEnded{
		Attempt: a.id, Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonSilent, nil),
	})
}

// mostSilent reports whether most of the daemons asked for a query have not started their sub-query.
func (q *query) mostSilent() bool {
	return q.subQueries >= minSilentDaemons && 2*q.accepted < q.subQueries
}

// acceptReply stores the answered shards of a reply. The records of a reply are merged and cannot be separated,
// so a shard that was meanwhile answered directly takes its stamp and records from the reply.
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
	if len(r.Parts) > 0 {
		s.recordSuccess(now, q)
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
		switch {
		case m.Reason == tiller.ReasonHarmful:
			sh.fail(m.Reason)
		case sh.outstanding == 0:
			s.resend(now, sh, m.Reason)
		}
	}
}

// isValidReply reports whether every answered shard of a reply belongs to the sub-query, occurs once and has a
// stamp, and whether the records are complete.
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

// replaceSubQuery sends new requests for the shards of a sub-query that failed or was rejected. Shards that
// may not be sent again fail.
func (s *State) replaceSubQuery(now tiller.Millis, a *attempt, e SubQueryEnded) {
	reason := tiller.ReasonShed
	ran := 0
	if e.Failure != nil {
		reason = e.Failure.Reason
		if e.Failure.Verdict != tiller.NotRun {
			// The other daemon may have sent the request to as many upstreams as it was allowed to.
			ran = a.upstreamLimit
		}
	}
	if ran == 0 {
		s.refundBudget(a)
	}
	a.query.addTrouble(now, a, reason)
	var toResend []*shard
	for _, sh := range a.shards {
		sh.possibleRuns += ran
		if sh.status != shardOpen || sh.outstanding > 0 {
			continue
		}
		if !sh.maySend() || sh.arrivals > 0 && !s.budget(sh.service).Allows(1) {
			sh.fail(reason)
			continue
		}
		toResend = append(toResend, sh)
	}
	s.sendGrouped(now, a.query, toResend, a.peer)
	s.evaluate(now, a.query)
}

// resend sends another request for a shard that is missing from a reply, or marks the shard as failed.
func (s *State) resend(now tiller.Millis, sh *shard, reason tiller.Reason) {
	if !s.trySend(now, sh, reason) {
		sh.fail(reason)
	}
}
