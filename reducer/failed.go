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
	s.fail(e.Attempt, a, e)
}

// fail ends an attempt and decides what becomes of its shards.
func (s *State) fail(id tiller.AttemptID, a attempt, e AttemptFailed) {
	q := a.query
	s.count(CountFailure, e.Reason, 1)
	s.record(q, recorder.Decision{
		Kind: recorder.Failed, Upstream: a.member.upstream.spec.Name, Attempt: id, Reason: e.Reason, Detail: e.Verdict.String(),
	})
	if e.Verdict != tiller.NotRun {
		q.mayHaveRun = true
	}
	if isVersionFailure(e.Reason) {
		s.sample(a, s.now-a.sentAt, true)
	}
	// The end of the last attempt may forget the upstream, but not one that is draining.
	if e.Reason == tiller.ReasonDraining {
		s.drain(a.member.upstream)
	}
	s.limitAfter(id, a, e)
	s.end(id, a)
	failed := q.lose(id, a, e.Reason)
	s.learn(a, e)
	if q.phase != phaseRunning {
		return
	}
	if len(failed) > 0 {
		s.resend(q, failed, e.Verdict, e.Reason)
	}
	s.check(q)
}

// lose takes an attempt from its shards and returns those that no other attempt covers.
func (q *query) lose(id tiller.AttemptID, a attempt, reason tiller.Reason) []int32 {
	r := &q.running
	var failed []int32
	for _, sh := range a.shards {
		st := &r.shards[sh]
		st.drop(id)
		if st.status != shardFlying || st.isFlying() {
			continue
		}
		st.failed, st.reason = a.index, reason
		st.hedged = false
		st.retried = st.retried || reason != tiller.ReasonLeaseExpired
		failed = append(failed, sh)
	}
	return failed
}

// limitAfter takes a failed attempt from its member's limit.
func (s *State) limitAfter(id tiller.AttemptID, a attempt, e AttemptFailed) {
	m := a.member
	if m.limit.Cold() && mayStillRun(e) {
		s.orphan(id, a, max(s.now, a.deadline))
		return
	}
	if e.Reason != tiller.ReasonShed {
		m.limit = m.limit.WithEnded()
		return
	}
	m.limit = m.limit.WithShed(a.sentAt, s.now)
	if a.kind == kindFirst {
		m.unit.retries = m.unit.retries.WithShed()
	}
	s.pause(m, min(max(e.RetryAfter, shedPauseMillis), longestPauseMillis))
}

// mayStillRun says whether the upstream may be running a failed attempt. A lost connection ends it there.
func mayStillRun(e AttemptFailed) bool {
	switch e.Reason {
	case tiller.ReasonTimeout, tiller.ReasonSilent:
		return e.Verdict != tiller.NotRun
	}
	return false
}

// learn takes from a failed attempt what it says about the upstream.
func (s *State) learn(a attempt, e AttemptFailed) {
	m := a.member
	switch e.Reason {
	case tiller.ReasonNoSnapshot, tiller.ReasonNoShard:
		m.lose(a.query.running.plan, s.now)
	case tiller.ReasonConnectFailed:
		s.pauseAfterFailure(m)
	case tiller.ReasonConnectionLost, tiller.ReasonSilent:
		s.pauseAfterFailure(m)
		s.noteLostAttempt(a)
	case tiller.ReasonTimeout:
		m.strikes++
	}
}

// lose notes that a member does not serve a snapshot; the attempts of other queries avoid it for a while.
func (m *member) lose(p *plan, now tiller.Millis) {
	if m.lost == nil {
		m.lost = make(map[string]tiller.Millis)
	}
	for snapshot, until := range m.lost {
		if now >= until {
			delete(m.lost, snapshot)
		}
	}
	m.lost[p.snapshot] = now + lostSnapshotMillis
}

// resend has failed shards sent again later, or gives them up.
func (s *State) resend(q *query, shards []int32, v tiller.Verdict, reason tiller.Reason) {
	d := retrier.Decide(retrier.Try{
		Verdict: v, Reason: reason, Repeatable: q.repeatable, Round: q.running.retryRound,
		Overloaded: q.unit.isCrowded(), Now: s.now, End: q.end,
		Expected: s.measureOf(q).attempts.Median(s.now), Random: s.draw(),
	})
	if !d.Retry {
		s.count(CountRetryDenied, d.Reason, int64(len(shards)))
	}
	for _, sh := range shards {
		if d.Retry {
			s.delay(q, sh, d.At)
		} else {
			q.running.set(sh, shardMissing)
		}
	}
}

// isCrowded says whether the queue is so long that retries are disabled.
func (u *unit) isCrowded() bool {
	return u.queue.Len() > 0 && 2*u.queue.Len() >= u.queue.Limit()
}

// delay has a shard wait for the retry timer, which takes all delayed shards of the query at once.
func (s *State) delay(q *query, sh int32, at tiller.Millis) {
	r := &q.running
	r.set(sh, shardDelayed)
	r.delayed = append(r.delayed, sh)
	if t := &q.timers[timerRetry]; !t.armed {
		s.arm(t, at)
	}
}

// onRetryDue places the delayed shards of a query.
func (s *State) onRetryDue(q *query) {
	r := &q.running
	shards := r.delayed
	r.delayed = nil
	r.retryRound++
	for _, sh := range shards {
		r.set(sh, shardIdle)
	}
	if r.probing {
		s.placeCanary(q)
		return
	}
	s.place(q, shards)
}
