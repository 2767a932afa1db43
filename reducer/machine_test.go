package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// machine passes random events to Step. It records the attempts, forwards, tokens and queries that later
// events refer to.
type machine struct {
	*sim
	rt       *rapid.T
	leases   *fakeLeases
	attempts []reducer.SendAttempt
	forwards []reducer.Forward
	tokens   []string
	queries  []reducer.QueryArrived
	revision int64
	stopped  int
}

func newMachine(t *testing.T, rt *rapid.T) *machine {
	m := &machine{rt: rt, leases: &fakeLeases{}, revision: 1}
	m.setLease(2)
	d := cluster{shards: 6, upstreams: 5, replicas: 2, slots: 3, coldSlots: 1}.document()
	d.Services[0].QueueLimit = 4
	d.Services[0].WaitFor = rapid.SampledFrom([]tiller.WaitFor{tiller.WaitForCoverage, tiller.WaitForTail}).Draw(rt, "wait for")
	cfg := m.leases.config()
	cfg.OnLeaseMessage = nil
	m.sim = newSim(t, 1, d, cfg)
	m.manual = true
	m.handle(reducer.SeatChanged{Stamp: m.stamp(), Seat: 7, Incarnation: 1})
	return m
}

// handle passes an event to the reducer, checks the invariants and records the resulting effects.
func (m *machine) handle(e reducer.Event) {
	m.step(e)
	require.Empty(m.rt, m.inspector.violations)
	m.attempts = append(m.attempts, effectsOf[reducer.SendAttempt](m.lastEffects)...)
	m.forwards = append(m.forwards, effectsOf[reducer.Forward](m.lastEffects)...)
	m.stopped += len(effectsOf[reducer.Stopped](m.lastEffects))
	for _, i := range effectsOf[reducer.IssueToken](m.lastEffects) {
		m.tokens = append(m.tokens, i.Token)
	}
}

// setLease sets the holding of all units: owned by seat 3 (0), without a known owner (1), or owned by
// this daemon for the next 1,200 ms (any other kind).
func (m *machine) setLease(kind int) {
	switch kind {
	case 0:
		m.leases.holding = tracker.Holding{Owner: 3}
	case 1:
		m.leases.holding = tracker.Holding{Owner: -1}
	default:
		now := tiller.Millis(0)
		if m.sim != nil {
			now = m.now
		}
		m.leases.holding = tracker.Holding{Owned: true, StartAt: now, ValidUntil: now + 1_200, Owner: 7}
	}
}

func (m *machine) submitQuery(rt *rapid.T) {
	caller := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller")
	q := tiller.Query{
		Caller: caller, Service: "s", Route: "search", Repeatable: true,
		ID:             tiller.RequestID(fmt.Sprint(caller, rapid.IntRange(0, 3).Draw(rt, "id"), "-", m.nextRef/4)),
		Body:           []byte(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "body")),
		Deadline:       m.now + tiller.Millis(rapid.IntRange(0, 600).Draw(rt, "deadline")),
		NeededCoverage: rapid.SampledFrom([]float64{-1, 0, 0.5, 1}).Draw(rt, "coverage"),
	}
	from := rapid.SampledFrom([]int{reducer.LocalCaller, reducer.LocalCaller, 2}).Draw(rt, "from")
	if len(m.tokens) > 0 && rapid.IntRange(0, 2).Draw(rt, "print") == 0 {
		q.Route, q.Repeatable, q.Token = "print", false, rapid.SampledFrom(m.tokens).Draw(rt, "token")
		q.Body = []byte(q.Token)
		q.ID = tiller.RequestID(fmt.Sprint("print ", caller, q.Token, rapid.IntRange(0, 1).Draw(rt, "resend")))
	}
	m.nextRef++
	e := reducer.QueryArrived{Stamp: m.stamp(), Query: q, From: from, Ref: m.nextRef}
	m.queries = append(m.queries, e)
	m.handle(e)
}

// takeAttempt removes a random recorded attempt, which the reducer may have cancelled.
func (m *machine) takeAttempt(rt *rapid.T) (reducer.SendAttempt, bool) {
	if len(m.attempts) == 0 {
		return reducer.SendAttempt{}, false
	}
	i := rapid.IntRange(0, len(m.attempts)-1).Draw(rt, "attempt")
	a := m.attempts[i]
	m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
	return a, true
}

func (m *machine) respondToAttempt(rt *rapid.T) {
	a, ok := m.takeAttempt(rt)
	if !ok {
		return
	}
	resp := tiller.SearchResponse{
		ID: a.Request.ID, Attempt: a.Request.Attempt, Snapshot: a.Request.Snapshot,
		Incarnation: int64(rapid.IntRange(1, 2).Draw(rt, "incarnation")), Cold: rapid.IntRange(0, 4).Draw(rt, "cold") == 0,
	}
	for _, sh := range a.Request.Shards {
		resp.Shards = append(resp.Shards, tiller.ShardItems{Shard: sh, Items: itemsOf(resp.Snapshot, sh)})
	}
	if rapid.IntRange(0, 5).Draw(rt, "mismatch") == 0 {
		resp.Snapshot = "n3"
	}
	m.handle(reducer.ResponseArrived{Stamp: m.stamp(), Attempt: a.Request.Attempt, Response: resp})
}

func (m *machine) failAttempt(rt *rapid.T) {
	a, ok := m.takeAttempt(rt)
	if !ok {
		return
	}
	type failure struct {
		verdict tiller.Verdict
		reason  tiller.Reason
	}
	e := rapid.SampledFrom([]failure{
		{tiller.NotRun, tiller.ReasonShed},
		{tiller.NotRun, tiller.ReasonDraining},
		{tiller.NotRun, tiller.ReasonNoSnapshot},
		{tiller.NotRun, tiller.ReasonConnectFailed},
		{tiller.NotRun, tiller.ReasonLeaseExpired},
		{tiller.MayHaveRun, tiller.ReasonConnectionLost},
		{tiller.MayHaveRun, tiller.ReasonSilent},
		{tiller.MayHaveRun, tiller.ReasonTimeout},
		{tiller.Ran, tiller.ReasonUpstreamError},
	}).Draw(rt, "end")
	m.handle(reducer.AttemptFailed{Stamp: m.stamp(), Attempt: a.Request.Attempt, Verdict: e.verdict, Reason: e.reason})
}

func (m *machine) upstreamEvent(rt *rapid.T) {
	// The runner reports only on upstreams that the document lists.
	name := rapid.SampledFrom(m.inspector.document.Upstreams).Draw(rt, "upstream").Name
	if rapid.Bool().Draw(rt, "restart") {
		m.handle(reducer.UpstreamRestarted{Stamp: m.stamp(), Upstream: name, Lost: rapid.Bool().Draw(rt, "lost")})
		return
	}
	m.handle(reducer.LoadReported{
		Stamp: m.stamp(), Upstream: name, InFlight: rapid.IntRange(0, 9).Draw(rt, "load"),
		Draining: rapid.IntRange(0, 3).Draw(rt, "draining") == 0,
	})
}

func (m *machine) changeDocument(rt *rapid.T) {
	d := cluster{shards: 6, upstreams: 5, replicas: 2, slots: rapid.IntRange(2, 3).Draw(rt, "slots"), coldSlots: 1}.document()
	m.revision += int64(rapid.IntRange(-1, 2).Draw(rt, "revision"))
	d.Revision = m.revision
	d.Domains[0].Out = rapid.Bool().Draw(rt, "out")
	d.Upstreams[4].Leaving = rapid.Bool().Draw(rt, "leaving")
	d.Services[0].QueueLimit = 4
	d.Services[0].Current = rapid.SampledFrom([]string{"n1", "n2"}).Draw(rt, "current")
	if rapid.IntRange(0, 3).Draw(rt, "removed") == 0 {
		d.Upstreams = d.Upstreams[:4]
	}
	if rapid.IntRange(0, 9).Draw(rt, "no service") == 0 {
		d.Services = nil
	}
	m.handle(reducer.DocumentApplied{Stamp: m.stamp(), Document: d})
}

func (m *machine) peerEvent(rt *rapid.T) {
	if len(m.forwards) == 0 {
		return
	}
	f := m.forwards[0]
	m.forwards = m.forwards[1:]
	switch rapid.IntRange(0, 3).Draw(rt, "peer") {
	case 0:
		m.peerRefuses(f, notOwner(rapid.IntRange(-1, 5).Draw(rt, "owner")))
	case 1:
		m.peerRefuses(f, tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonQueueFull})
	case 2:
		m.step(reducer.PeerFailed{Stamp: m.stamp(), Forward: f.Forward, Verdict: rapid.SampledFrom([]tiller.Verdict{tiller.NotRun, tiller.MayHaveRun}).Draw(rt, "verdict")})
	case 3:
		m.step(reducer.CallerGone{Stamp: m.stamp(), Caller: f.Query.Caller, ID: f.Query.ID})
	}
	m.forwards = append(m.forwards, effectsOf[reducer.Forward](m.lastEffects)...)
	m.attempts = append(m.attempts, effectsOf[reducer.SendAttempt](m.lastEffects)...)
	require.Empty(m.rt, m.inspector.violations)
}

func (m *machine) callerGone(rt *rapid.T) {
	if len(m.queries) > 0 {
		q := rapid.SampledFrom(m.queries).Draw(rt, "gone")
		m.handle(reducer.CallerGone{Stamp: m.stamp(), Caller: q.Query.Caller, ID: q.Query.ID, Ref: q.Ref})
	}
}

func (m *machine) advanceTime(rt *rapid.T) {
	m.now += tiller.Millis(rapid.SampledFrom([]int{0, 1, 3, 20, 200}).Draw(rt, "pass"))
	m.handle(reducer.TimeAdvanced{Stamp: m.stamp()})
}

// The invariants must hold after each step of a random sequence of events. After a planned stop every query
// must have a reply, no query or attempt may be left, and Stopped must be emitted once.
func TestStepKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t, rt)
		// rapid draws an action by its index in the sorted names, so another name may change the sequence of a seed.
		// Queries and responses are listed twice, so that they are drawn twice as often.
		rt.Repeat(map[string]func(*rapid.T){
			"ask":      m.submitQuery,
			"ask more": m.submitQuery,
			"respond":  m.respondToAttempt,
			"respond2": m.respondToAttempt,
			"fail":     m.failAttempt,
			"time":     m.advanceTime,
			"upstream": m.upstreamEvent,
			"document": m.changeDocument,
			"peer":     m.peerEvent,
			"gone":     m.callerGone,
			"token":    func(*rapid.T) { m.handle(reducer.TokenRequested{Stamp: m.stamp()}) },
			"lease":    func(rt *rapid.T) { m.setLease(rapid.IntRange(0, 4).Draw(rt, "lease")) },
		})
		m.handle(reducer.StopRequested{Stamp: m.stamp()})
		for range 100 {
			m.now += 20
			m.handle(reducer.TimeAdvanced{Stamp: m.stamp()})
		}
		m.inspector.checkReplied()
		require.Empty(rt, m.inspector.violations)
		st := m.state.Status(m.now)
		require.Zero(rt, st.Queries)
		require.Zero(rt, st.Attempts)
		require.Equal(rt, 1, m.stopped)
		for _, u := range st.Upstreams {
			require.Zero(rt, u.InFlight)
			require.Zero(rt, u.Waiting)
		}
	})
}
