package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// fakeLeases replaces the lease table. It returns the same holding for every unit and records released units.
type fakeLeases struct {
	holding  tracker.Holding
	released []tracker.UnitID
}

func (f *fakeLeases) config() reducer.Config {
	return reducer.Config{
		Holding: func(tiller.Millis, tracker.UnitID) tracker.Holding { return f.holding },
		Release: func(_ tiller.Millis, u tracker.UnitID) []tracker.Envelope {
			f.released = append(f.released, u)
			return nil
		},
		OnLeaseMessage: func(tiller.Millis, uint64, int, tracker.Message) []tracker.Envelope {
			return []tracker.Envelope{{To: 4, Message: tracker.Message{Kind: tracker.Request}}}
		},
	}
}

// newSeatedSim returns a manual simulation of the daemon on seat 7, which is not a voter for the units of its queries.
func newSeatedSim(t *testing.T, leases *fakeLeases, c cluster) *sim {
	s := newSim(t, 1, c.document(), leases.config())
	s.manual = true
	s.step(reducer.SeatChanged{Stamp: s.stamp(), Seat: 7, Incarnation: 3})
	return s
}

func (s *sim) peerRefuses(f reducer.Forward, r tiller.Refusal) {
	s.step(reducer.PeerReply{Stamp: s.stamp(), Forward: f.Forward, Result: tiller.Result{Refusal: &r}})
}

func notOwner(owner int) tiller.Refusal {
	return tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonNotOwner, Owner: owner}
}

var smallCluster = cluster{shards: 2, upstreams: 2, replicas: 2, slots: 2}

// A query follows the owner that a NotOwner refusal names, at most twice without waiting. If no owner accepts it
// within 2 s, it is refused with NoOwner and the verdict NotRun.
func TestRedirects(t *testing.T) {
	s := newSeatedSim(t, &fakeLeases{holding: tracker.Holding{Owner: 1}}, smallCluster)
	s.submit(s.searchQuery("c", 10_000))
	f := onlyEffect[reducer.Forward](s)
	require.Equal(t, 1, f.Seat)
	require.Less(t, f.Query.Deadline, s.now+10_000)
	s.peerRefuses(f, notOwner(2))
	f = onlyEffect[reducer.Forward](s)
	require.Equal(t, 2, f.Seat)
	require.Equal(t, 1, f.Redirects)
	s.peerRefuses(f, notOwner(3))
	f = onlyEffect[reducer.Forward](s)
	require.Equal(t, 3, f.Seat)
	require.Equal(t, 2, f.Redirects)
	s.peerRefuses(f, notOwner(4))
	require.Empty(t, effectsOf[reducer.Forward](s.lastEffects))
	start := s.now
	for len(effectsOf[reducer.Reply](s.lastEffects)) == 0 {
		if f := effectsOf[reducer.Forward](s.lastEffects); len(f) > 0 {
			s.peerRefuses(f[0], notOwner(-1))
		} else {
			s.advance(10)
		}
	}
	r := onlyEffect[reducer.Reply](s).Result.Refusal
	require.Equal(t, tiller.ReasonNoOwner, r.Reason)
	require.Equal(t, tiller.NotRun, r.Verdict)
	require.LessOrEqual(t, s.now-start, 2*tiller.Second)
}

// A repeatable query is forwarded to another daemon when its owner fails, and keeps the verdict of the failure.
// A single-use query is refused when its issuer fails, because only the issuer knows whether its token was spent.
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
			s := newSeatedSim(t, &fakeLeases{holding: tracker.Holding{Owner: 1}}, smallCluster)
			q := s.searchQuery("c", 10_000)
			if q.Route = test.route; test.route == "print" {
				q.Token, q.Repeatable = "1.5.ff", false
			}
			s.submit(q)
			f := onlyEffect[reducer.Forward](s)
			require.Equal(t, 1, f.Seat)
			s.step(reducer.PeerFailed{Stamp: s.stamp(), Forward: f.Forward, Verdict: test.verdict})
			if !test.forwarded {
				r := onlyEffect[reducer.Reply](s).Result.Refusal
				require.Equal(t, test.wantReason, r.Reason)
				require.Equal(t, tiller.MayHaveRun, r.Verdict)
				return
			}
			f = onlyEffect[reducer.Forward](s)
			require.NotEqual(t, 1, f.Seat)
			s.peerRefuses(f, tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonQueueFull})
			require.Equal(t, test.verdict, onlyEffect[reducer.Reply](s).Result.Refusal.Verdict)
		})
	}
}

// Only the owner of the unit sends attempts, and only during its lease. After the unit has changed its owner,
// the refusal of a peer's query names the new owner.
func TestLeaseBoundsAttempts(t *testing.T) {
	leases := &fakeLeases{holding: tracker.Holding{Owned: true, StartAt: 1200, ValidUntil: 2000, Owner: 7}}
	s := newSeatedSim(t, leases, smallCluster)
	ref := s.submitFrom(s.searchQuery("c", 5000), 2)
	require.Empty(t, effectsOf[reducer.SendAttempt](s.lastEffects))
	s.advance(200)
	a := onlyEffect[reducer.SendAttempt](s)
	require.EqualValues(t, 2000, a.ValidUntil)
	require.EqualValues(t, 2300, a.Request.Deadline)
	s.fail(a, tiller.NotRun, tiller.ReasonLeaseExpired)
	leases.holding = tracker.Holding{Owner: 5}
	s.advance(900)
	r := onlyEffect[reducer.Reply](s)
	require.Equal(t, ref, r.Ref)
	require.Equal(t, 2, r.To)
	require.Equal(t, tiller.ReasonNotOwner, r.Result.Refusal.Reason)
	require.Equal(t, tiller.NotRun, r.Result.Refusal.Verdict)
	require.Equal(t, 5, r.Result.Refusal.Owner)
	require.Empty(t, s.inspector.violations)
}

// The deadline of an attempt is at most 300 ms after the end of the lease. The attempt must end at that deadline,
// so that its shards are sent again under a renewed lease.
func TestAttemptClippedByLeaseIsResent(t *testing.T) {
	leases := &fakeLeases{holding: tracker.Holding{Owned: true, ValidUntil: 2000, Owner: 7}}
	s := newSeatedSim(t, leases, smallCluster)
	s.submitFrom(s.searchQuery("c", 5000), 2)
	first := onlyEffect[reducer.SendAttempt](s)
	for range 40 {
		leases.holding.ValidUntil = s.now + 1000
		s.advance(50)
		if sent := effectsOf[reducer.SendAttempt](s.lastEffects); len(sent) > 0 && s.now > first.Request.Deadline {
			s.respond(sent[0])
			break
		}
	}
	require.Equal(t, 1, len(effectsOf[reducer.Reply](s.lastEffects)), "%v", s.state.Explain("q1"))
}

// A planned stop finishes accepted queries, refuses new ones and releases the lease.
func TestStop(t *testing.T) {
	leases := &fakeLeases{holding: tracker.Holding{Owned: true, ValidUntil: 60_000, Owner: 7}}
	s := newSeatedSim(t, leases, smallCluster)
	s.submit(s.searchQuery("c", 1000))
	a := onlyEffect[reducer.SendAttempt](s)
	s.step(reducer.StopRequested{Stamp: s.stamp()})
	require.Empty(t, effectsOf[reducer.Stopped](s.lastEffects))
	require.Empty(t, leases.released)
	s.submitFrom(s.searchQuery("c", 1000), 3)
	require.Equal(t, tiller.ReasonStopping, onlyEffect[reducer.Reply](s).Result.Refusal.Reason)
	s.respond(a)
	require.NotNil(t, onlyEffect[reducer.Reply](s).Result.Answer)
	onlyEffect[reducer.Stopped](s)
	require.Equal(t, []tracker.UnitID{{Service: "s"}}, leases.released)
	s.advance(10)
	require.Empty(t, effectsOf[reducer.Stopped](s.lastEffects))
}

// Lease messages carry the suspected digests to the next owner. Without them, a harmful request could crash
// two more upstreams after each change of the owner.
func TestSuspectsAreSentWithLeaseMessages(t *testing.T) {
	leases := &fakeLeases{holding: tracker.Holding{Owned: true, ValidUntil: 60_000, Owner: 7}}
	s := newSeatedSim(t, leases, smallCluster)
	s.submit(s.searchQuery("c", 5000))
	a := onlyEffect[reducer.SendAttempt](s)
	s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: a.Upstream, Lost: true})
	s.step(reducer.LeaseMessage{Stamp: s.stamp(), From: 2})
	sent := onlyEffect[reducer.SendLease](s).Message.Suspects
	require.Len(t, sent, 1)
	require.Equal(t, 1, sent[0].Losses)

	newOwner := newSeatedSim(t, leases, smallCluster)
	sent[0].Losses = 2
	newOwner.step(reducer.LeaseMessage{Stamp: newOwner.stamp(), From: 2, Message: tracker.Message{Kind: tracker.Request, Suspects: sent}})
	newOwner.submit(newOwner.searchQuery("c", 5000))
	r := onlyEffect[reducer.Reply](newOwner).Result.Refusal
	require.Equal(t, tiller.ReasonHarmful, r.Reason)
	require.Equal(t, tiller.MayHaveRun, r.Verdict)
}
