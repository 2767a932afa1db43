package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// A refusal with a wrong verdict makes a caller repeat a request that ran, or give up on one that did not.
func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*sim, *tiller.Query)
		verdict tiller.Verdict
		reason  tiller.Reason
	}{
		{"service", func(_ *sim, q *tiller.Query) { q.Service = "x" }, tiller.NotRun, tiller.ReasonUnknownService},
		{"route", func(_ *sim, q *tiller.Query) { q.Route = "x" }, tiller.NotRun, tiller.ReasonBadRequest},
		{"deadline past", func(s *sim, q *tiller.Query) { q.Deadline = s.now }, tiller.NotRun, tiller.ReasonDeadlinePast},
		{"deadline too short", func(s *sim, q *tiller.Query) { q.Deadline = s.now + 5 }, tiller.NotRun, tiller.ReasonDeadlineTooShort},
		{"fan-out not repeatable", func(_ *sim, q *tiller.Query) { q.Repeatable = false }, tiller.NotRun, tiller.ReasonBadRequest},
		{"no token", func(_ *sim, q *tiller.Query) { q.Route = "print" }, tiller.NotRun, tiller.ReasonTokenRequired},
		{"malformed token", func(_ *sim, q *tiller.Query) { q.Route, q.Token = "print", "x" }, tiller.NotRun, tiller.ReasonTokenUnknown},
		{"token not in the table", func(_ *sim, q *tiller.Query) { q.Route, q.Token = "print", "0.0.ff" }, tiller.MayHaveRun, tiller.ReasonTokenUnknown},
		{"token of an unknown incarnation", func(_ *sim, q *tiller.Query) { q.Route, q.Token = "print", "0.9.ff" }, tiller.MayHaveRun, tiller.ReasonTokenIssuerGone},
		{"duplicate", func(s *sim, q *tiller.Query) { q.ID = "first"; s.submit(*q) }, tiller.MayHaveRun, tiller.ReasonDuplicateID},
		{"stopping", func(s *sim, _ *tiller.Query) { s.step(reducer.StopRequested{Stamp: s.stamp()}) }, tiller.NotRun, tiller.ReasonStopping},
		{"no document", func(s *sim, _ *tiller.Query) { s.state = reducer.New(reducer.Config{}) }, tiller.NotRun, tiller.ReasonNotReady},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, cluster{shards: 2, upstreams: 2, replicas: 1, slots: 2}.document(), reducer.Config{})
			s.manual = true
			q := s.searchQuery("c", 1000)
			test.change(s, &q)
			ref := s.submit(q)
			r := onlyEffect[reducer.Reply](s)
			require.Equal(t, ref, r.Ref)
			require.NotNil(t, r.Result.Refusal)
			require.Equal(t, test.reason, r.Result.Refusal.Reason)
			require.Equal(t, test.verdict, r.Result.Refusal.Verdict)
			require.Empty(t, effectsOf[reducer.SendAttempt](s.lastEffects))
			count := effectsOf[reducer.Count](s.lastEffects)
			require.Contains(t, count, reducer.Count{Name: reducer.CountRefusal, Label: test.reason, N: 1})
			require.Empty(t, s.inspector.violations)
		})
	}
}

// When the caller of a duplicate goes away, the first query must continue. When the caller of the first query
// goes away, its attempts must be cancelled.
func TestCallerGone(t *testing.T) {
	s := newSim(t, 1, cluster{shards: 2, upstreams: 2, replicas: 1, slots: 2}.document(), reducer.Config{})
	s.manual = true
	q := s.searchQuery("c", 1000)
	q.ID = "a"
	first := s.submit(q)
	sent := onlyEffect[reducer.SendAttempt](s)
	second := s.submit(q)
	s.step(reducer.CallerGone{Stamp: s.stamp(), Caller: "c", ID: "a", Ref: second})
	require.Empty(t, s.lastEffects)
	s.step(reducer.CallerGone{Stamp: s.stamp(), Caller: "c", ID: "a", Ref: first})
	require.Equal(t, sent.Request.Attempt, onlyEffect[reducer.CancelAttempt](s).Attempt)
	r := onlyEffect[reducer.Reply](s)
	require.Equal(t, tiller.ReasonCancelled, r.Result.Refusal.Reason)
	require.Equal(t, tiller.MayHaveRun, r.Result.Refusal.Verdict)
	s.respond(sent)
	require.Equal(t, []reducer.Effect{reducer.Count{Name: reducer.CountDropped, N: 1}}, s.lastEffects)
	require.Empty(t, s.inspector.violations)
}

// A service that waits for the tail answers after its straggler wait and states the missing shard. A service
// that waits for coverage answers 5 ms before the deadline.
func TestStragglerWait(t *testing.T) {
	for _, waitFor := range []tiller.WaitFor{tiller.WaitForTail, tiller.WaitForCoverage} {
		t.Run(string(waitFor), func(t *testing.T) {
			c := cluster{shards: 4, upstreams: 4, replicas: 1, slots: 2, change: func(d *tiller.Document) {
				d.Services[0].WaitFor, d.Services[0].NeededCoverage = waitFor, 0.75
			}}
			s := newSim(t, 1, c.document(), reducer.Config{})
			s.manual = true
			s.submit(s.searchQuery("c", 1000))
			start := s.now
			s.respond(onlyEffect[reducer.SendAttempt](s))
			sent := effectsOf[reducer.SendAttempt](s.lastEffects)
			require.Len(t, sent, 3)
			s.respond(sent[0])
			s.now += 10
			s.respond(sent[1])
			require.Empty(t, effectsOf[reducer.Reply](s.lastEffects))
			for len(effectsOf[reducer.Reply](s.lastEffects)) == 0 {
				s.advance(1)
			}
			answer := onlyEffect[reducer.Reply](s).Result.Answer
			require.Equal(t, []tiller.MissingShard{{Shard: sent[2].Request.Shards[0], Reason: tiller.ReasonTimeout}}, answer.Coverage.Missing)
			want := start + 10 + 20
			if waitFor == tiller.WaitForCoverage {
				want = start + 1000 - 5
			}
			require.Equal(t, want, s.now)
			require.Equal(t, sent[2].Request.Attempt, onlyEffect[reducer.CancelAttempt](s).Attempt)
			require.Empty(t, s.inspector.violations)
		})
	}
}

// A response whose request, attempt, snapshot or shards differ from those of the attempt must not be used.
func TestMismatchedResponses(t *testing.T) {
	tests := []struct {
		name   string
		change func(*tiller.SearchResponse)
	}{
		{"request", func(r *tiller.SearchResponse) { r.ID = "other" }},
		{"attempt", func(r *tiller.SearchResponse) { r.Attempt++ }},
		{"snapshot", func(r *tiller.SearchResponse) { r.Snapshot = "n2" }},
		{"missing shard", func(r *tiller.SearchResponse) { r.Shards = r.Shards[:1] }},
		{"another shard", func(r *tiller.SearchResponse) { r.Shards[0].Shard = "s9" }},
		{"shard twice", func(r *tiller.SearchResponse) { r.Shards[1] = r.Shards[0] }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, cluster{shards: 2, upstreams: 2, replicas: 2, slots: 2}.document(), reducer.Config{})
			s.manual = true
			ref := s.submit(s.searchQuery("c", 1000))
			a := onlyEffect[reducer.SendAttempt](s).Request
			resp := tiller.SearchResponse{ID: a.ID, Attempt: a.Attempt, Snapshot: a.Snapshot, Shards: []tiller.ShardItems{
				{Shard: a.Shards[0], Items: itemsOf("n1", "s0")}, {Shard: a.Shards[1], Items: itemsOf("n1", "s1")},
			}}
			test.change(&resp)
			s.step(reducer.ResponseArrived{Stamp: s.stamp(), Attempt: a.Attempt, Response: resp})
			require.Contains(t, s.lastEffects, reducer.Count{Name: reducer.CountMismatched, Label: tiller.ReasonMismatch, N: 1})
			require.Empty(t, effectsOf[reducer.Reply](s.lastEffects))
			for len(effectsOf[reducer.Reply](s.lastEffects)) == 0 {
				s.advance(5)
			}
			r := onlyEffect[reducer.Reply](s)
			require.Equal(t, ref, r.Ref)
			require.Equal(t, tiller.MayHaveRun, r.Result.Refusal.Verdict)
		})
	}
}
