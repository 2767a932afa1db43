package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// issueToken requests a single-use token.
func (s *sim) issueToken() string {
	s.step(reducer.TokenRequested{Stamp: s.stamp(), Ref: 1})
	issued := onlyEffect[reducer.IssueToken](s)
	require.Nil(s.t, issued.Refusal)
	return issued.Token
}

func (s *sim) printQuery(token string) tiller.Query {
	q := s.searchQuery("c", 1000)
	q.Route, q.Repeatable, q.Token = "print", false, token
	q.Body = []byte(token)
	return q
}

// Sends 10,000 single-use requests to print a label, with crashes, shedding, lost connections, callers that go away
// and resends at random times. No label may be printed twice, and no request that printed one
// may be refused with the verdict NotRun.
func TestSingleUseRequestsRunAtMostOnce(t *testing.T) {
	s := newSim(t, 11, cluster{shards: 3, upstreams: 9, replicas: 3, slots: 3, coldSlots: 1}.document(), reducer.Config{})
	for _, name := range sortedUpstreamNames(s) {
		u := s.upstreams[name]
		u.serviceTime = withStragglers(s, 50, 100, func() tiller.Millis { return logNormal(s, 10, 0.4) })
		for at := tiller.Millis(1500); at < 110_000; at += 500 + tiller.Millis(s.rng.IntN(9000)) {
			switch s.rng.IntN(4) {
			case 0:
				s.at(at, u.crash)
			case 1:
				s.at(at, func() { u.shedding = true })
				s.at(at+300, func() { u.shedding = false })
			case 2:
				s.at(at, func() { u.draining = true })
				s.at(at+1000, u.crash)
			case 3:
				s.at(at, func() { u.silent = true })
				s.at(at+400, func() { u.silent = false })
			}
		}
	}
	tokensUsed, resends := 0, 0
	for range 10_000 {
		at := 1000 + tiller.Millis(s.rng.IntN(100_000))
		callerGone, resendCount := s.rng.IntN(5) == 0, s.rng.IntN(3)
		sameID := s.rng.IntN(2) == 0
		s.at(at, func() {
			q := s.printQuery(s.issueToken())
			q.ID = tiller.RequestID("first " + q.Token)
			tokensUsed++
			ref := s.submit(q)
			if callerGone {
				s.after(5, func() { s.step(reducer.CallerGone{Stamp: s.stamp(), Caller: q.Caller, ID: q.ID, Ref: ref}) })
			}
			for i := range resendCount {
				s.after(tiller.Millis(s.rng.IntN(2000)), func() {
					resend := q
					resend.Deadline = s.now + 1000
					if !sameID {
						resend.ID = tiller.RequestID(fmt.Sprint("resend ", i, " ", q.Token))
					}
					resends++
					s.submit(resend)
				})
			}
		})
	}
	s.run(200_000)
	s.inspector.checkReplied()
	s.inspector.checkRuns(s)
	require.Empty(t, s.inspector.violations)
	sum := s.summarize(1, s.nextRef, nil)
	t.Logf("tokens used %d, resends %d, answered %d, refusals %v", tokensUsed, resends, sum.answered, sum.refusals)
	require.Equal(t, 10_000, tokensUsed)
	require.Greater(t, sum.answered, 5000)
}

// A resend must get the outcome of the first run, and the request must not run again.
func TestResendReturnsTheFirstOutcome(t *testing.T) {
	s := newSim(t, 1, smallCluster.document(), reducer.Config{})
	s.manual = true
	q := s.printQuery(s.issueToken())
	q.ID = "a"
	s.submit(q)
	a := onlyEffect[reducer.SendAttempt](s)
	require.True(t, a.Fresh)
	q.ID = "b"
	s.submit(q)
	r := onlyEffect[reducer.Reply](s).Result.Refusal
	require.Equal(t, tiller.ReasonTokenInUse, r.Reason)
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
	s.respond(a)
	first := onlyEffect[reducer.Reply](s).Result
	require.NotNil(t, first.Answer)
	q.ID = "c"
	s.submit(q)
	require.Equal(t, first, onlyEffect[reducer.Reply](s).Result)
	require.Empty(t, effectsOf[reducer.SendAttempt](s.lastEffects))
	q.Body = []byte("another label")
	s.submit(q)
	require.Equal(t, tiller.MayHaveRun, onlyEffect[reducer.Reply](s).Result.Refusal.Verdict)
	require.Empty(t, s.inspector.violations)
}

// The issuer spends the token before it forwards the query to the owner. The owner then runs the query and does not
// forward it to the issuer again, even when the query of the caller came in through the owner.
func TestTokenGoesThroughItsIssuer(t *testing.T) {
	issuerLeases := &fakeLeases{}
	issuerLeases.holding.Owner = 2
	issuer := newSeatedSim(t, issuerLeases, smallCluster)
	q := issuer.printQuery(issuer.issueToken())
	issuer.submitFrom(q, 2)
	f := onlyEffect[reducer.Forward](issuer)
	require.Equal(t, 2, f.Seat)

	ownerLeases := &fakeLeases{}
	ownerLeases.holding.Owned, ownerLeases.holding.ValidUntil = true, 60_000
	owner := newSim(t, 1, smallCluster.document(), ownerLeases.config())
	owner.manual = true
	owner.step(reducer.SeatChanged{Stamp: owner.stamp(), Seat: 2, Incarnation: 1})
	q.ID = f.Query.ID
	owner.submit(q)
	require.Equal(t, 7, onlyEffect[reducer.Forward](owner).Seat)
	owner.submitFrom(f.Query, 7)
	owner.respond(onlyEffect[reducer.SendAttempt](owner))
	require.Equal(t, 7, onlyEffect[reducer.Reply](owner).To)

	issuer.step(reducer.PeerFailed{Stamp: issuer.stamp(), Forward: f.Forward, Verdict: tiller.MayHaveRun})
	r := onlyEffect[reducer.Reply](issuer).Result.Refusal
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
	require.Equal(t, tiller.ReasonOwnerLost, r.Reason)
}
