package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// normalFactor is the multiple of the 95th percentile up to which a response time lets the limit grow.
const normalFactor = 2

// onResponse uses the response to an attempt, after checking that it is the response to that attempt.
func (s *State) onResponse(e ResponseArrived) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		s.count(CountDropped, "", 1)
		return
	}
	if !a.matches(e.Attempt, e.Response) {
		s.count(CountMismatched, tiller.ReasonMismatch, 1)
		s.fail(e.Attempt, a, AttemptFailed{Attempt: e.Attempt, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonMismatch})
		return
	}
	q := a.query
	q.mayHaveRun = true
	s.measureResponse(e.Attempt, a)
	s.forgive(q.digest)
	s.noteResponse(a.member.upstream, e.Response)
	s.record(q, recorder.Decision{Kind: recorder.Responded, Upstream: a.member.upstream.spec.Name, Attempt: e.Attempt, Count: len(a.shards)})
	s.take(e.Attempt, a, e.Response)
	s.quarantine.RecordSuccess(s.now, q.digest)
	if !s.quarantine.Clean(s.now, q.digest) {
		s.proven(q)
	}
	s.check(q)
}

// matches says whether a response echoes request, attempt, snapshot and shards.
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

// matchesSet compares the shards of a response whose order differs from the request's.
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

// measureResponse learns from the response time of an attempt and ends it.
func (s *State) measureResponse(id tiller.AttemptID, a attempt) {
	latency := s.measureOf(a.query).attempts
	took := s.now - a.sentAt
	normal := !latency.HasEnoughSamples(s.now) || took <= normalFactor*latency.P95(s.now)
	latency.Record(s.now, took)
	s.sample(a, took, false)
	a.member.responded()
	a.member.limit = a.member.limit.WithCompleted(normal)
	s.end(id, a)
}

// take uses the results of the shards that are not answered yet.
func (s *State) take(id tiller.AttemptID, a attempt, resp tiller.SearchResponse) {
	r := &a.query.running
	for i, sh := range a.shards {
		st := &r.shards[sh]
		st.drop(id)
		if st.status == shardAnswered {
			s.count(CountDropped, tiller.ReasonHedgeLost, 1)
			continue
		}
		r.set(sh, shardAnswered)
		r.parts[sh] = merger.Part{Shard: r.parts[sh].Shard, Answered: true, Items: itemsOf(resp, a.names[i], i)}
		s.cancelCovered(st)
	}
}

// itemsOf returns the items of a shard, which is most often at the place where it was asked for.
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

// cancelCovered cancels the attempts of which every shard is answered by another one.
func (s *State) cancelCovered(st *shard) {
	for _, id := range st.attempts {
		a, ok := s.attempts[id]
		if !ok {
			continue
		}
		a.open--
		s.attempts[id] = a
		if a.open == 0 {
			s.cancel(id, a, tiller.ReasonHedgeLost)
		}
	}
}
