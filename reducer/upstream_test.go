package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// newSingleUpstreamSim returns a manual simulation with one upstream and one shard.
func newSingleUpstreamSim(t *testing.T, slots int) *sim {
	s := newSim(t, 1, cluster{shards: 1, upstreams: 1, replicas: 1, slots: slots}.document(), reducer.Config{})
	s.manual = true
	return s
}

// warmUp answers 20 queries, after which the limit of an upstream with four slots has reached its quota.
func (s *sim) warmUp() {
	for range 20 {
		s.submit(s.searchQuery("c", 1000))
		s.respond(onlyEffect[reducer.SendAttempt](s))
	}
}

func (s *sim) respondWith(a reducer.SendAttempt, incarnation int64, cold bool) {
	s.step(reducer.ResponseArrived{Stamp: s.stamp(), Attempt: a.Request.Attempt, Response: tiller.SearchResponse{
		ID: a.Request.ID, Attempt: a.Request.Attempt, Snapshot: a.Request.Snapshot, Incarnation: incarnation, Cold: cold,
		Shards: []tiller.ShardItems{{Shard: "s0"}},
	}})
}

// Guards against a draining upstream that gets new requests: the response to a request sent before the drain showed
// a new incarnation, which cleared the draining state.
func TestLateResponseDoesNotEndADrain(t *testing.T) {
	s := newSingleUpstreamSim(t, 4)
	s.warmUp()
	s.submit(s.searchQuery("c", 1000))
	a := onlyEffect[reducer.SendAttempt](s)
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u0", Draining: true})
	s.respondWith(a, 2, false)
	s.submit(s.searchQuery("c", 1000))
	require.Empty(t, effectsOf[reducer.SendAttempt](s.lastEffects))
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u0"})
	s.submit(s.searchQuery("c", 1000))
	require.Empty(t, effectsOf[reducer.SendAttempt](s.lastEffects))
	s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: "u0"})
	s.submit(s.searchQuery("c", 1000))
	onlyEffect[reducer.SendAttempt](s)
	require.Empty(t, s.inspector.violations)
}

// Guards against a draining upstream that gets new requests: a revision that did not list the upstream discarded
// its draining state, and the next revision listed it again.
func TestDrainSurvivesARevisionWithoutTheUpstream(t *testing.T) {
	s := newSim(t, 1, smallCluster.document(), reducer.Config{})
	s.manual = true
	allUpstreams := s.document.Upstreams
	s.submit(s.searchQuery("c", 1000))
	a := onlyEffect[reducer.SendAttempt](s)
	s.applyChange(func(d *tiller.Document) { d.Upstreams = withoutUpstream(allUpstreams, a.Upstream) })
	s.fail(a, tiller.NotRun, tiller.ReasonDraining)
	s.applyChange(func(d *tiller.Document) { d.Upstreams = allUpstreams })
	for range 10 {
		s.submit(s.searchQuery("c", 1000))
		for _, sent := range effectsOf[reducer.SendAttempt](s.lastEffects) {
			require.NotEqual(t, a.Upstream, sent.Upstream)
			s.respond(sent)
		}
	}
	require.Empty(t, s.inspector.violations)
}

func withoutUpstream(upstreams []tiller.Upstream, name string) []tiller.Upstream {
	var kept []tiller.Upstream
	for _, u := range upstreams {
		if u.Name != name {
			kept = append(kept, u)
		}
	}
	return kept
}

// Each sign of a restart must reset the limit to the cold allowance.
func TestRestartDetection(t *testing.T) {
	tests := []struct {
		name          string
		reportRestart func(*sim, reducer.SendAttempt)
	}{
		{"new incarnation", func(s *sim, a reducer.SendAttempt) { s.respondWith(a, 2, false) }},
		{"cold response", func(s *sim, a reducer.SendAttempt) { s.respondWith(a, 1, true) }},
		{"connection refused", func(s *sim, _ reducer.SendAttempt) {
			s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: "u0"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSingleUpstreamSim(t, 4)
			s.warmUp()
			require.Equal(t, 4, s.state.Status(s.now).Upstreams[0].Limit)
			s.submit(s.searchQuery("c", 1000))
			test.reportRestart(s, onlyEffect[reducer.SendAttempt](s))
			u := s.state.Status(s.now).Upstreams[0]
			require.Equal(t, 1, u.Limit)
			require.True(t, u.Cold)
		})
	}
}

// A shed request must halve the limit. A load report above the upstream's slots must lower it by the excess.
func TestLimitFallsUnderLoad(t *testing.T) {
	s := newSingleUpstreamSim(t, 8)
	for range 40 {
		s.submit(s.searchQuery("c", 1000))
		s.respond(onlyEffect[reducer.SendAttempt](s))
	}
	limit := func() int { return s.state.Status(s.now).Upstreams[0].Limit }
	require.Equal(t, 8, limit())
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u0", InFlight: 8})
	require.Equal(t, 8, limit())
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u0", InFlight: 10})
	require.Equal(t, 6, limit())
	s.submit(s.searchQuery("c", 1000))
	s.fail(onlyEffect[reducer.SendAttempt](s), tiller.NotRun, tiller.ReasonShed)
	require.Equal(t, 3, limit())
}

// A response that shows a new incarnation reveals a restart, but proves that its own request is harmless.
// Guards against attributing the loss of the upstream to that request's digest: the step then refused the query
// and continued to process it.
func TestRestartInResponseIsNotAttributedToItsRequest(t *testing.T) {
	s := newSim(t, 1, smallCluster.document(), reducer.Config{})
	s.manual = true
	q := s.searchQuery("c", 5000)
	q.Body = []byte("same")
	submitAndWait := func() reducer.SendAttempt {
		s.submit(q)
		for len(effectsOf[reducer.SendAttempt](s.lastEffects)) == 0 {
			s.advance(1)
		}
		return onlyEffect[reducer.SendAttempt](s)
	}
	s.respond(submitAndWait())
	first, second := submitAndWait(), submitAndWait()
	require.Equal(t, first.Upstream, second.Upstream)
	s.fail(first, tiller.MayHaveRun, tiller.ReasonConnectionLost)
	resp := tiller.SearchResponse{ID: second.Request.ID, Attempt: second.Request.Attempt, Snapshot: "n1", Incarnation: 9}
	for _, sh := range second.Request.Shards {
		resp.Shards = append(resp.Shards, tiller.ShardItems{Shard: sh})
	}
	s.step(reducer.ResponseArrived{Stamp: s.stamp(), Attempt: second.Request.Attempt, Response: resp})
	require.NotNil(t, onlyEffect[reducer.Reply](s).Result.Answer)
}

// The refusal of a resend must not have the verdict NotRun when its token was spent on a run, or when that is unknown.
func TestRefusedResendIsNotReportedAsNotRun(t *testing.T) {
	s := newSim(t, 1, smallCluster.document(), reducer.Config{})
	s.manual = true
	q := s.printQuery(s.issueToken())
	verdictAfterDeadline := func(q tiller.Query) tiller.Verdict {
		q.Deadline = s.now
		s.submit(q)
		return onlyEffect[reducer.Reply](s).Result.Refusal.Verdict
	}
	require.Equal(t, tiller.NotRun, verdictAfterDeadline(q), "unspent")
	s.submit(q)
	s.respond(onlyEffect[reducer.SendAttempt](s))
	require.Equal(t, tiller.MayHaveRun, verdictAfterDeadline(q), "spent")
	q.Token = "3.1.ff"
	require.Equal(t, tiller.MayHaveRun, verdictAfterDeadline(q), "issued by another process")
}
