package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// token asks for a single-use token.
func (s *sim) token() string {
	s.step(reducer.TokenRequested{Stamp: s.stamp(), Ref: 1})
	issued := the[reducer.IssueToken](s)
	require.Nil(s.t, issued.Refusal)
	return issued.Token
}

func (s *sim) print(token string) tiller.Query {
	q := s.search("c", 1000)
	q.Route, q.Repeatable, q.Token = "print", false, token
	q.Body = []byte(token)
	return q
}

// Ten thousand histories of printing a label, with crashes, shedding, lost connections, callers that go away
// and resends at any time: no label may be printed twice, and none reported as not printed that was.
func TestTenThousandSingleUseHistories(t *testing.T) {
	s := newSim(t, 11, cluster{shards: 3, upstreams: 9, replicas: 3, slots: 3, coldSlots: 1}.document(), reducer.Config{})
	for _, name := range sortedNames(s) {
		u := s.upstreams[name]
		u.service = straggling(s, 50, 100, func() tiller.Millis { return logNormal(s, 10, 0.4) })
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
	asks, resends := 0, 0
	for range 10_000 {
		at := 1000 + tiller.Millis(s.rng.IntN(100_000))
		gone, again := s.rng.IntN(5) == 0, s.rng.IntN(3)
		sameID := s.rng.IntN(2) == 0
		s.at(at, func() {
			q := s.print(s.token())
			q.ID = tiller.RequestID("first " + q.Token)
			asks++
			ref := s.ask(q)
			if gone {
				s.after(5, func() { s.step(reducer.CallerGone{Stamp: s.stamp(), Caller: q.Caller, ID: q.ID, Ref: ref}) })
			}
			for i := range again {
				s.after(tiller.Millis(s.rng.IntN(2000)), func() {
					next := q
					next.Deadline = s.now + 1000
					if !sameID {
						next.ID = tiller.RequestID(fmt.Sprint("resend ", i, " ", q.Token))
					}
					resends++
					s.ask(next)
				})
			}
		})
	}
	s.run(200_000)
	s.inspect.checkReplied()
	s.inspect.checkRuns(s)
	require.Empty(t, s.inspect.faults)
	sum := s.summarize(1, s.nextRef, nil)
	t.Logf("histories %d, resends %d, answered %d, refusals %v", asks, resends, sum.answered, sum.refusals)
	require.Equal(t, 10_000, asks)
	require.Greater(t, sum.answered, 5000)
}

// A resend must get the outcome of the first run without running again.
func TestResendGetsTheOutcome(t *testing.T) {
	s := newSim(t, 1, small.document(), reducer.Config{})
	s.manual = true
	q := s.print(s.token())
	q.ID = "a"
	s.ask(q)
	a := the[reducer.SendAttempt](s)
	require.True(t, a.Fresh)
	q.ID = "b"
	s.ask(q)
	r := the[reducer.Reply](s).Result.Refusal
	require.Equal(t, tiller.ReasonTokenInUse, r.Reason)
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
	s.respond(a)
	first := the[reducer.Reply](s).Result
	require.NotNil(t, first.Answer)
	q.ID = "c"
	s.ask(q)
	require.Equal(t, first, the[reducer.Reply](s).Result)
	require.Empty(t, effectsOf[reducer.SendAttempt](s.last))
	q.Body = []byte("another label")
	s.ask(q)
	require.Equal(t, tiller.MayHaveRun, the[reducer.Reply](s).Result.Refusal.Verdict)
	require.Empty(t, s.inspect.faults)
}

// The issuer spends the token before it sends the query to the owner, and the owner runs it without
// asking the issuer again, even when the caller's own query came in through the owner.
func TestTokenGoesThroughItsIssuer(t *testing.T) {
	h := &holder{}
	h.holding.Owner = 2
	issuer := newHeld(t, h, small)
	q := issuer.print(issuer.token())
	issuer.askFrom(q, 2)
	f := the[reducer.Forward](issuer)
	require.Equal(t, 2, f.Seat)

	owns := &holder{}
	owns.holding.Owned, owns.holding.ValidUntil = true, 60_000
	owner := newSim(t, 1, small.document(), owns.config())
	owner.manual = true
	owner.step(reducer.SeatChanged{Stamp: owner.stamp(), Seat: 2, Incarnation: 1})
	q.ID = f.Query.ID
	owner.ask(q)
	require.Equal(t, 7, the[reducer.Forward](owner).Seat)
	owner.askFrom(f.Query, 7)
	owner.respond(the[reducer.SendAttempt](owner))
	require.Equal(t, 7, the[reducer.Reply](owner).To)

	issuer.step(reducer.PeerFailed{Stamp: issuer.stamp(), Forward: f.Forward, Verdict: tiller.MayHaveRun})
	r := the[reducer.Reply](issuer).Result.Refusal
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
	require.Equal(t, tiller.ReasonOwnerLost, r.Reason)
}
