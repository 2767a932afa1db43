package gatherer

import (
	"net/http"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// endAttempt handles the outcome of a request to an upstream.
func (s *State) endAttempt(now tiller.Millis, e AttemptEnded) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, e.Attempt)
	s.recordOutcome(now, a, e)
	s.recordVersion(now, a, e)
	s.recordLoss(now, a, e)
	s.recordLimit(now, a, e)
	s.recordNotices(now, a, e)
	sh := a.shards[0]
	sh.outstanding--
	defer s.sendQueued(now, sh.service)
	if a.query.ended {
		return
	}
	verdict, reason := classify(a.query, e)
	if reason == "" {
		s.acceptAnswer(now, a, e.Answer)
		return
	}
	if verdict != tiller.NotRun {
		sh.possibleRuns++
	}
	if reason == tiller.ReasonConnectFailed {
		s.refundBudget(a)
	}
	a.query.addTrouble(now, a, reason)
	s.handleFailure(now, sh, a, reason, e)
}

// recordOutcome updates the statistics of an upstream with the outcome of a request.
func (s *State) recordOutcome(now tiller.Millis, a *attempt, e AttemptEnded) {
	stat := a.upstream.stat
	switch {
	case e.Failure == nil && e.Answer.Misdirected:
		a.upstream.misdirected = true
		stat.Failed(now, a.id)
	case e.Failure == nil && e.Answer.NotExecuted:
		stat.Shed(now, a.id)
	case e.Failure == nil && (e.Answer.UnprovenRejection || e.Answer.Status >= http.StatusInternalServerError):
		stat.Failed(now, a.id)
	case e.Failure == nil:
		if !a.query.isSingle() {
			s.pauses.Record(now, &a.upstream.stalls, float64(now-a.sent), s.expectedLatency(now, a.upstream, a.query))
		}
		s.latencyOf(a.upstream, a.query).Record(now, now-a.sent)
		stat.Answered(now, a.id, e.Answer.Waiting)
	case e.Failure.Reason == tiller.ReasonCancelled || e.Failure.Reason == tiller.ReasonTimeout:
		stat.Abandoned(now, a.id)
	default:
		stat.Failed(now, a.id)
	}
	s.updateReachability(now, a, e)
	if e.Failure == nil || isSilence(e.Failure.Reason, now-a.sent) {
		s.recordContact(now, a.upstream.Domain, a.upstream.ID, e.Failure == nil)
	}
}

// classify returns an empty reason if an answer may be used. Otherwise it returns whether the request may have
// run and why the answer cannot be used.
func classify(q *query, e AttemptEnded) (tiller.Verdict, tiller.Reason) {
	if e.Failure != nil {
		return e.Failure.Verdict, e.Failure.Reason
	}
	a := e.Answer
	success := a.Status >= 200 && a.Status < 300
	switch {
	case a.Anonymous && (a.NotExecuted || a.Misdirected) && !q.route.Repeatable:
		// It may be the late copy of another request's rejection.
		return tiller.MayHaveRun, tiller.ReasonMismatch
	case a.Misdirected:
		return tiller.NotRun, tiller.ReasonMisdirected
	case a.NotExecuted:
		return tiller.NotRun, tiller.ReasonShed
	case a.Encoded || success && a.Stamp == "":
		return tiller.MayHaveRun, tiller.ReasonMismatch
	case a.UnprovenRejection:
		return tiller.MayHaveRun, tiller.ReasonUpstreamError
	case success:
		return tiller.Ran, ""
	case !q.isSingle():
		return tiller.Ran, tiller.ReasonUpstreamError
	case a.Status >= 500 && q.route.Repeatable:
		return tiller.Ran, tiller.ReasonUpstreamError
	case a.Stamp == "":
		return tiller.MayHaveRun, tiller.ReasonMismatch
	}
	return tiller.Ran, ""
}

// acceptAnswer stores a usable answer of a shard, unless another one was faster.
func (s *State) acceptAnswer(now tiller.Millis, a *attempt, answer Answer) {
	sh, q := a.shards[0], a.query
	if sh.status != shardOpen {
		return
	}
	sh.status = shardAnswered
	q.answered++
	s.recordSuccess(now, q)
	if q.isSingle() {
		s.replyPassthrough(now, q, a.id)
		return
	}
	sh.stamp = answer.Stamp
	sh.records = merger.Top(answer.Body, q.topK)
	s.evaluate(now, q)
}

// replyPassthrough answers a query with the unchanged answer of an upstream.
func (s *State) replyPassthrough(now tiller.Millis, q *query, attempt uint64) {
	s.emit(ReplyPassthrough{Query: q.id, Attempt: attempt, Decision: q.decision(now)})
	s.finish(now, q, lingerMillis)
}

// handleFailure continues after a failed request: it sends another one, waits for one that is still
// outstanding, passes an upstream's error to the client, or marks the shard as failed.
func (s *State) handleFailure(now tiller.Millis, sh *shard, a *attempt, reason tiller.Reason, e AttemptEnded) {
	q := sh.query
	if sh.status != shardOpen || sh.outstanding > 0 {
		s.evaluate(now, q)
		return
	}
	if s.trySend(now, sh, reason) {
		s.evaluate(now, q)
		return
	}
	// The error response of the upstream tells the client more than a refusal, unless it makes a promise that the
	// upstream has not made.
	if q.isSingle() && e.Failure == nil && reason == tiller.ReasonUpstreamError && e.Answer.Stamp != "" && !e.Answer.Encoded && !e.Answer.UnprovenRejection {
		s.replyPassthrough(now, q, a.id)
		return
	}
	if s.harmful.Blocked(now, q.digest) {
		reason = tiller.ReasonHarmful
	}
	sh.fail(reason)
	s.evaluate(now, q)
}

// trySend sends one more request for a shard, or sets the time of the next check. It reports false if the
// request cannot be sent any more.
func (s *State) trySend(now tiller.Millis, sh *shard, reason tiller.Reason) bool {
	if sh.query.unconfirmed && sh.possibleRuns+sh.outstanding > 0 {
		sh.checkAt = now + confirmPauseMillis
		return true
	}
	if s.harmful.Blocked(now, sh.query.digest) {
		sh.reason = tiller.ReasonHarmful
		return false
	}
	if !sh.maySend() || now >= sh.query.expiresAt-minUsefulMillis {
		return false
	}
	if s.isSuspicious(sh.query) {
		sh.checkAt = now + confirmPauseMillis
		return true
	}
	if sh.arrivals > 0 && !s.budget(sh.service).Allows(1) {
		sh.reason = tiller.ReasonRetryBudget
		return false
	}
	u, waits := s.chooseOrQueue(now, sh)
	if waits {
		return true
	}
	if u == nil {
		return false
	}
	if sh.hasTried(u) && reason == tiller.ReasonShed && sh.checkAt != now {
		sh.checkAt = now + shedPauseMillis
		return sh.checkAt < sh.query.expiresAt-minUsefulMillis
	}
	s.sendFurther(now, sh, u, reason)
	return true
}

// sendFurther sends a retry or a hedge for a shard. Requests to another region go through a daemon there.
func (s *State) sendFurther(now tiller.Millis, sh *shard, u *upstream, reason tiller.Reason) {
	s.emit(Retried{Query: sh.query.id, Service: sh.service, Upstream: u.ID, Reason: reason})
	if p := s.peerNearUpstream(now, u, sh.query); p != nil {
		extra := sh.arrivals > 0
		if extra {
			s.chargeBudget(sh)
		}
		sh.checkAt = 0
		s.sendSubQuery(now, sh.query, p, []*shard{sh}, 1, extra)
		return
	}
	s.send(now, sh, u, s.chargeBudget(sh))
}

// addTrouble adds a failed attempt to those that are logged for the query, up to maxTrouble.
func (q *query) addTrouble(now tiller.Millis, a *attempt, reason tiller.Reason) {
	if len(q.trouble) >= maxTrouble {
		return
	}
	t := Trouble{Upstream: a.target(), Reason: reason, After: now - a.sent, Expected: a.expected}
	if a.upstream != nil {
		t.Service = a.upstream.Service
	}
	q.trouble = append(q.trouble, t)
}
