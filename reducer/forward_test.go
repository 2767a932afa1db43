package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// holder stands in for the lease table.
type holder struct {
	holding  tracker.Holding
	released []tracker.UnitID
}

func (h *holder) config() reducer.Config {
	return reducer.Config{
		Holding: func(tiller.Millis, tracker.UnitID) tracker.Holding { return h.holding },
		Release: func(_ tiller.Millis, u tracker.UnitID) []tracker.Envelope {
			h.released = append(h.released, u)
			return nil
		},
		OnLeaseMessage: func(tiller.Millis, uint64, int, tracker.Message) []tracker.Envelope {
			return []tracker.Envelope{{To: 4, Message: tracker.Message{Kind: tracker.Request}}}
		},
	}
}

// newHeld returns a manual sim of the daemon on seat 7, which is a voter of nothing it asks for.
func newHeld(t *testing.T, h *holder, c cluster) *sim {
	s := newSim(t, 1, c.document(), h.config())
	s.manual = true
	s.step(reducer.SeatChanged{Stamp: s.stamp(), Seat: 7, Incarnation: 3})
	return s
}

func (s *sim) peerReplies(f reducer.Forward, r tiller.Refusal) {
	s.step(reducer.PeerReply{Stamp: s.stamp(), Forward: f.Forward, Result: tiller.Result{Refusal: &r}})
}

func notOwner(owner int) tiller.Refusal {
	return tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonNotOwner, Owner: owner}
}

var small = cluster{shards: 2, upstreams: 2, replicas: 2, slots: 2}

// A query must follow the owner it is told of, at most twice without a wait, and then be refused truthfully.
func TestRedirects(t *testing.T) {
	s := newHeld(t, &holder{holding: tracker.Holding{Owner: 1}}, small)
	s.ask(s.search("c", 10_000))
	f := the[reducer.Forward](s)
	require.Equal(t, 1, f.Seat)
	require.Less(t, f.Query.Deadline, s.now+10_000)
	s.peerReplies(f, notOwner(2))
	f = the[reducer.Forward](s)
	require.Equal(t, 2, f.Seat)
	require.Equal(t, 1, f.Redirects)
	s.peerReplies(f, notOwner(3))
	f = the[reducer.Forward](s)
	require.Equal(t, 3, f.Seat)
	require.Equal(t, 2, f.Redirects)
	s.peerReplies(f, notOwner(4))
	require.Empty(t, effectsOf[reducer.Forward](s.last))
	start := s.now
	for len(effectsOf[reducer.Reply](s.last)) == 0 {
		if f := effectsOf[reducer.Forward](s.last); len(f) > 0 {
			s.peerReplies(f[0], notOwner(-1))
		} else {
			s.pass(10)
		}
	}
	r := the[reducer.Reply](s).Result.Refusal
	require.Equal(t, tiller.ReasonNoOwner, r.Reason)
	require.Equal(t, tiller.NotRun, r.Verdict)
	require.LessOrEqual(t, s.now-start, 2*tiller.Second)
}

// What became of a query whose owner was lost depends on whether it may run again.
func TestPeerFailures(t *testing.T) {
	tests := []struct {
		name       string
		route      string
		verdict    tiller.Verdict
		forwarded  bool
		wantReason tiller.Reason
	}{
		{"repeatable, unreachable", "search", tiller.NotRun, true, ""},
		{"repeatable, lost", "search", tiller.MayHaveRun, true, ""},
		{"issuer unreachable", "print", tiller.NotRun, false, tiller.ReasonTokenIssuerGone},
		{"issuer lost", "print", tiller.MayHaveRun, false, tiller.ReasonTokenIssuerGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newHeld(t, &holder{holding: tracker.Holding{Owner: 1}}, small)
			q := s.search("c", 10_000)
			if q.Route = test.route; test.route == "print" {
				q.Token, q.Repeatable = "1.5.ff", false
			}
			s.ask(q)
			f := the[reducer.Forward](s)
			require.Equal(t, 1, f.Seat)
			s.step(reducer.PeerFailed{Stamp: s.stamp(), Forward: f.Forward, Verdict: test.verdict})
			if !test.forwarded {
				r := the[reducer.Reply](s).Result.Refusal
				require.Equal(t, test.wantReason, r.Reason)
				require.Equal(t, tiller.MayHaveRun, r.Verdict)
				return
			}
			f = the[reducer.Forward](s)
			require.NotEqual(t, 1, f.Seat)
			s.peerReplies(f, tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonQueueFull})
			require.Equal(t, test.verdict, the[reducer.Reply](s).Result.Refusal.Verdict)
		})
	}
}

// Only the owner may send, only during its lease; a peer is told who owns the unit.
func TestLeaseBoundsAttempts(t *testing.T) {
	h := &holder{holding: tracker.Holding{Owned: true, StartAt: 1200, ValidUntil: 2000, Owner: 7}}
	s := newHeld(t, h, small)
	ref := s.askFrom(s.search("c", 5000), 2)
	require.Empty(t, effectsOf[reducer.SendAttempt](s.last))
	s.pass(200)
	a := the[reducer.SendAttempt](s)
	require.EqualValues(t, 2000, a.ValidUntil)
	require.EqualValues(t, 2300, a.Request.Deadline)
	s.fail(a, tiller.NotRun, tiller.ReasonLeaseExpired)
	h.holding = tracker.Holding{Owner: 5}
	s.pass(900)
	r := the[reducer.Reply](s)
	require.Equal(t, ref, r.Ref)
	require.Equal(t, 2, r.To)
	require.Equal(t, tiller.ReasonNotOwner, r.Result.Refusal.Reason)
	require.Equal(t, tiller.NotRun, r.Result.Refusal.Verdict)
	require.Equal(t, 5, r.Result.Refusal.Owner)
	require.Empty(t, s.inspect.faults)
}

// An attempt whose clipped deadline has passed must end, so that a new lease can send its shards again.
func TestClippedAttemptIsSentAgain(t *testing.T) {
	h := &holder{holding: tracker.Holding{Owned: true, ValidUntil: 2000, Owner: 7}}
	s := newHeld(t, h, small)
	s.askFrom(s.search("c", 5000), 2)
	first := the[reducer.SendAttempt](s)
	for range 40 {
		h.holding.ValidUntil = s.now + 1000
		s.pass(50)
		if sent := effectsOf[reducer.SendAttempt](s.last); len(sent) > 0 && s.now > first.Request.Deadline {
			s.respond(sent[0])
			break
		}
	}
	require.Equal(t, 1, len(effectsOf[reducer.Reply](s.last)), "%v", s.state.Explain("q1"))
}

// A planned stop finishes what was accepted, refuses what is new and gives the lease back.
func TestStop(t *testing.T) {
	h := &holder{holding: tracker.Holding{Owned: true, ValidUntil: 60_000, Owner: 7}}
	s := newHeld(t, h, small)
	s.ask(s.search("c", 1000))
	a := the[reducer.SendAttempt](s)
	s.step(reducer.StopRequested{Stamp: s.stamp()})
	require.Empty(t, effectsOf[reducer.Stopped](s.last))
	require.Empty(t, h.released)
	s.askFrom(s.search("c", 1000), 3)
	require.Equal(t, tiller.ReasonStopping, the[reducer.Reply](s).Result.Refusal.Reason)
	s.respond(a)
	require.NotNil(t, the[reducer.Reply](s).Result.Answer)
	the[reducer.Stopped](s)
	require.Equal(t, []tracker.UnitID{{Service: "s"}}, h.released)
	s.pass(10)
	require.Empty(t, effectsOf[reducer.Stopped](s.last))
}

// A new owner must know the digests that the old one suspects, or each takeover costs two more upstreams.
func TestSuspectsTravelWithLeases(t *testing.T) {
	h := &holder{holding: tracker.Holding{Owned: true, ValidUntil: 60_000, Owner: 7}}
	s := newHeld(t, h, small)
	s.ask(s.search("c", 5000))
	a := the[reducer.SendAttempt](s)
	s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: a.Upstream, Lost: true})
	s.step(reducer.LeaseMessage{Stamp: s.stamp(), From: 2})
	sent := the[reducer.SendLease](s).Message.Suspects
	require.Len(t, sent, 1)
	require.Equal(t, 1, sent[0].Losses)

	other := newHeld(t, h, small)
	sent[0].Losses = 2
	other.step(reducer.LeaseMessage{Stamp: other.stamp(), From: 2, Message: tracker.Message{Kind: tracker.Request, Suspects: sent}})
	other.ask(other.search("c", 5000))
	r := the[reducer.Reply](other).Result.Refusal
	require.Equal(t, tiller.ReasonHarmful, r.Reason)
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
}
