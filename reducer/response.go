package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// normalLatencyFactor is the multiple of the 95th percentile up to which a response time counts as normal,
// so that it lets the limit of the upstream grow.
const normalLatencyFactor = 2

// onResponse handles the response to an attempt. A response that does not match the attempt fails it.
func (s *State) onResponse(e ResponseArrived) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		s.count(CountDropped, "", 1)
		return
	}
	if !a.matches(e.Attempt, e.Response) {
		s.count(CountMismatched, tiller.ReasonMismatch, 1)
		s.failAttempt(e.Attempt, a, AttemptFailed{Attempt: e.Attempt, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonMismatch})
		return
	}
	q := a.query
	q.mayHaveRun = true
	s.completeAttempt(e.Attempt, a)
	s.clearDigestLosses(q.digest)
	s.detectRestart(a.member.upstream, e.Response)
	s.record(q, recorder.Decision{Kind: recorder.Responded, Upstream: a.member.upstream.spec.Name, Attempt: e.Attempt, Count: len(a.shards)})
	s.takeResults(e.Attempt, a, e.Response)
	s.quarantine.RecordSuccess(s.now, q.digest)
	if !s.quarantine.Clean(s.now, q.digest) {
		s.canarySucceeded(q)
	}
	s.advance(q)
}

// matches reports whether a response echoes the request identifier, attempt, snapshot and shards.
func (a attempt) matches(id tiller.AttemptID, r tiller.SearchResponse) bool {
	q := a.query
	if r.ID != q.key.id || r.Attempt != id || r.Snapshot != q.running.plan.snapshot || len(r.Shards) != len(a.names) {
		return false
	}
	inOrder := true
	for i := range r.Shards {
		inOrder = inOrder && r.Shards[i].Shard == a.names[i]
	}
	return inOrder || a.matchesSet(r)
}

// matchesSet reports whether a response names the requested shards, in any order.
func (a attempt) matchesSet(r tiller.SearchResponse) bool {
	asked := make(map[string]bool, len(a.names))
	for _, name := range a.names {
		asked[name] = true
	}
	for _, sh := range r.Shards {
		if !asked[sh.Shard] {
			return false
		}
		delete(asked, sh.Shard)
	}
	return true
}

// completeAttempt records the response time of an attempt, updates the limit of its member, and removes it.
func (s *State) completeAttempt(id tiller.AttemptID, a attempt) {
	latency := s.latencyOf(a.query).attempts
	took := s.now - a.sentAt
	normal := !latency.HasEnoughSamples(s.now) || took <= normalLatencyFactor*latency.P95(s.now)
	latency.Record(s.now, took)
	s.recordSample(a, took, false)
	a.member.resetFailures()
	a.member.limit = a.member.limit.WithCompleted(normal)
	s.removeAttempt(id, a)
}

// takeResults stores the results of the shards that no other attempt has answered.
func (s *State) takeResults(id tiller.AttemptID, a attempt, resp tiller.SearchResponse) {
	r := &a.query.running
	for i, sh := range a.shards {
		st := &r.shards[sh]
		st.dropAttempt(id)
		if st.status == shardAnswered {
			s.count(CountDropped, tiller.ReasonHedgeLost, 1)
			continue
		}
		r.setStatus(sh, shardAnswered)
		r.parts[sh] = merger.Part{Shard: r.parts[sh].Shard, Answered: true, Items: itemsOf(resp, a.names[i], i)}
		s.cancelCovered(st)
	}
}

// itemsOf returns the items of a shard. The response usually lists the shards in the order of the request,
// so index i is tried first.
func itemsOf(resp tiller.SearchResponse, name string, i int) []tiller.Item {
	if resp.Shards[i].Shard == name {
		return resp.Shards[i].Items
	}
	for _, sh := range resp.Shards {
		if sh.Shard == name {
			return sh.Items
		}
	}
	return nil
}

// cancelCovered updates the other attempts with an answered shard, and cancels those whose shards have all
// been answered by others.
func (s *State) cancelCovered(st *shard) {
	for _, id := range st.attempts {
		a, ok := s.attempts[id]
		if !ok {
			continue
		}
		a.unanswered--
		s.attempts[id] = a
		if a.unanswered == 0 {
			s.cancelAttempt(id, a, tiller.ReasonHedgeLost)
		}
	}
}
