package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// answerAll sends a request to a service whose upstreams all give the same answer, and returns the number of sendings
// and the effect that ends the query.
func answerAll(t *testing.T, repeatable bool, a gatherer.Answer) (sent int, end gatherer.Effect) {
	sim := newSimulation(t, 1)
	sim.configure(2, weightedRoute(repeatable, cataloger.Weighted{Service: shardName(0), Weight: 1}))
	state, now := sim.daemons[0].state, sim.now
	effects := state.Step(now, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/f/1", Deadline: 1000})
	for range 1000 {
		var attempts []uint64
		for _, e := range effects {
			switch e := e.(type) {
			case gatherer.Send:
				sent++
				attempts = append(attempts, e.Attempt)
			case gatherer.Refuse, gatherer.ReplyPassthrough:
				return sent, e
			}
		}
		now++
		effects = state.Step(now, gatherer.TimerFired{})
		for _, attempt := range attempts {
			effects = append(effects, state.Step(now, gatherer.AttemptEnded{Attempt: attempt, Answer: a})...)
		}
	}
	t.Fatal("the query did not end")
	return sent, nil
}

// A rejection that does not name its request may be the late copy of another request's. It must not count as proof
// that a request that must not run twice has not run.
func TestAnonymousRejectionIsNoProof(t *testing.T) {
	for _, a := range []gatherer.Answer{{Status: 503, NotExecuted: true}, {Status: 421, NotExecuted: true, Misdirected: true}} {
		sent, end := answerAll(t, false, a)
		require.Greater(t, sent, 1, "%d", a.Status)
		require.Equal(t, tiller.NotRun, end.(gatherer.Refuse).Verdict)

		a.Anonymous = true
		sent, end = answerAll(t, false, a)
		require.Equal(t, 1, sent, "%d", a.Status)
		require.Equal(t, tiller.MayHaveRun, end.(gatherer.Refuse).Verdict)
	}
}

// An upstream may run a request and then answer with a status that promises clients that it has not run. The client
// must get a failure that promises nothing, and a request that must not run twice must not be sent again.
func TestRejectionAfterRunIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, repeatable := range []bool{false, true} {
			a := gatherer.Answer{Status: status, Stamp: "s", UnprovenRejection: true}
			sent, end := answerAll(t, repeatable, a)
			require.Equal(t, repeatable, sent > 1, "%d", status)
			require.IsType(t, gatherer.Refuse{}, end, "%d", status)
			require.Equal(t, tiller.MayHaveRun, end.(gatherer.Refuse).Verdict, "%d", status)
			require.Equal(t, tiller.ReasonUpstreamError, end.(gatherer.Refuse).Reason, "%d", status)
		}
	}
	// Failures that promise nothing keep the status of the upstream.
	for _, repeatable := range []bool{false, true} {
		_, end := answerAll(t, repeatable, gatherer.Answer{Status: 500, Stamp: "s"})
		require.IsType(t, gatherer.ReplyPassthrough{}, end)
	}
}
