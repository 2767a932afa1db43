package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/retrier"
)

// onAttemptFailed handles the end of an attempt without a response.
func (s *State) onAttemptFailed(e AttemptFailed) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		s.count(CountDropped, e.Reason, 1)
		return
	}
	s.failAttempt(e.Attempt, a, e)
}

// failAttempt removes a failed attempt, and retries its shards or marks them missing.
func (s *State) failAttempt(id tiller.AttemptID, a attempt, e AttemptFailed) {
	q := a.query
	s.count(CountFailure, e.Reason, 1)
	s.record(q, recorder.Decision{
		Kind: recorder.Failed, Upstream: a.member.upstream.spec.Name, Attempt: id, Reason: e.Reason, Detail: e.Verdict.String(),
	})
	if e.Verdict != tiller.NotRun {
		q.mayHaveRun = true
	}
	if isVersionFailure(e.Reason) {
		s.recordSample(a, s.now-a.sentAt, true)
	}
	// Removing the last attempt may delete the upstream's entry, but not while it is marked as draining.
	if e.Reason == tiller.ReasonDraining {
		s.drain(a.member.upstream)
	}
	s.updateLimitAfterFailure(id, a, e)
	s.removeAttempt(id, a)
	failed := q.detachFailed(id, a, e.Reason)
	s.applyFailure(a, e)
	if q.phase != phaseRunning {
		return
	}
	if len(failed) > 0 {
		s.retryShards(q, failed, e.Verdict, e.Reason)
	}
	s.advance(q)
}

// detachFailed removes a failed attempt from its shards and returns the shards that no other attempt covers.
func (q *query) detachFailed(id tiller.AttemptID, a attempt, reason tiller.Reason) []int32 {
	r := &q.running
	var failed []int32
	for _, sh := range a.shards {
		st := &r.shards[sh]
		st.dropAttempt(id)
		if st.status != shardInFlight || st.hasAttempt() {
			continue
		}
		st.lastFailed, st.reason = a.index, reason
		st.hedged = false
		st.retried = st.retried || reason != tiller.ReasonLeaseExpired
		failed = append(failed, sh)
	}
	return failed
}

// updateLimitAfterFailure removes a failed attempt from its member's limit, or makes it an orphan.
func (s *State) updateLimitAfterFailure(id tiller.AttemptID, a attempt, e AttemptFailed) {
	m := a.member
	if m.limit.Cold() && mayStillRun(e) {
		s.keepOrphan(id, a, max(s.now, a.deadline))
		return
	}
	if e.Reason != tiller.ReasonShed {
		m.limit = m.limit.WithEnded()
		return
	}
	m.limit = m.limit.WithShed(a.sentAt, s.now)
	if a.kind == kindFirst {
		m.unit.retryBudget = m.unit.retryBudget.WithShed()
	}
	s.pause(m, min(max(e.RetryAfter, shedPauseMillis), longestPauseMillis))
}

// mayStillRun reports whether the upstream may still run a failed attempt. The loss of the connection ends
// the request at the upstream.
func mayStillRun(e AttemptFailed) bool {
	switch e.Reason {
	case tiller.ReasonTimeout, tiller.ReasonSilent:
		return e.Verdict != tiller.NotRun
	}
	return false
}

// applyFailure updates what is known of an upstream after a failed attempt.
func (s *State) applyFailure(a attempt, e AttemptFailed) {
	m := a.member
	switch e.Reason {
	case tiller.ReasonNoSnapshot, tiller.ReasonNoShard:
		m.markSnapshotMissing(a.query.running.plan, s.now)
	case tiller.ReasonConnectFailed:
		s.pauseAfterFailure(m)
	case tiller.ReasonConnectionLost, tiller.ReasonSilent:
		s.pauseAfterFailure(m)
		s.recordConnectionLoss(a)
	case tiller.ReasonTimeout:
		m.missedResponses++
	}
}

// markSnapshotMissing records that a member does not serve a snapshot. New attempts on the snapshot avoid
// the member for missingSnapshotMillis.
func (m *member) markSnapshotMissing(p *plan, now tiller.Millis) {
	if m.missingSnapshots == nil {
		m.missingSnapshots = make(map[string]tiller.Millis)
	}
	for snapshot, until := range m.missingSnapshots {
		if now >= until {
			delete(m.missingSnapshots, snapshot)
		}
	}
	m.missingSnapshots[p.snapshot] = now + missingSnapshotMillis
}

// retryShards schedules a retry of failed shards, or marks them missing.
func (s *State) retryShards(q *query, shards []int32, v tiller.Verdict, reason tiller.Reason) {
	d := retrier.Decide(retrier.Attempt{
		Verdict: v, Reason: reason, Repeatable: q.repeatable, Round: q.running.retryRound,
		Overloaded: q.unit.isOverloaded(), Now: s.now, Deadline: q.replyBy,
		Expected: s.latencyOf(q).attempts.Median(s.now), Random: s.nextRandom(),
	})
	if !d.Retry {
		s.count(CountRetryDenied, d.Reason, int64(len(shards)))
	}
	for _, sh := range shards {
		if d.Retry {
			s.delayShard(q, sh, d.At)
		} else {
			q.running.setStatus(sh, shardMissing)
		}
	}
}

// isOverloaded reports whether the queue is at least half full, which disables retries.
func (u *unit) isOverloaded() bool {
	return u.queue.Len() > 0 && 2*u.queue.Len() >= u.queue.Limit()
}

// delayShard makes a shard wait for the retry timer. The timer places all delayed shards of the query at once.
func (s *State) delayShard(q *query, sh int32, at tiller.Millis) {
	r := &q.running
	r.setStatus(sh, shardDelayed)
	r.delayed = append(r.delayed, sh)
	if t := &q.timers[timerRetry]; !t.armed {
		s.arm(t, at)
	}
}

// onRetryDue places the delayed shards of a query again.
func (s *State) onRetryDue(q *query) {
	r := &q.running
	shards := r.delayed
	r.delayed = nil
	r.retryRound++
	for _, sh := range shards {
		r.setStatus(sh, shardIdle)
	}
	if r.canaryOnly {
		s.placeCanary(q)
		return
	}
	s.placeShards(q, shards)
}
