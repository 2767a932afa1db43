package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// divided has upstreams large enough for three units.
var divided = cluster{shards: 1, upstreams: 1, replicas: 1, slots: 24, coldSlots: 2}

// newOwner returns the owner of one unit of a divided service.
func newOwner(t *testing.T, seat, index int) *sim {
	cfg := reducer.Config{Holding: func(now tiller.Millis, u tracker.UnitID) tracker.Holding {
		return tracker.Holding{Owned: u.Index == index, ValidUntil: now + 1000, Owner: u.Index}
	}}
	s := newSim(t, 1, divided.document(), cfg)
	s.manual = true
	s.step(reducer.SeatChanged{Stamp: s.stamp(), Seat: seat, Incarnation: 1})
	s.now += 6 * tiller.Second
	return s
}

// idOf returns a request identifier that belongs to a unit.
func idOf(index, n int) tiller.RequestID {
	for {
		id := tiller.RequestID(fmt.Sprint("id", n))
		if router.UnitOf(id, 3) == index {
			return id
		}
		n++
	}
}

func (s *sim) askUnit(index int) {
	q := s.search("c", 5000)
	q.ID = idOf(index, int(s.nextRef)*100)
	s.ask(q)
}

// Two owners that each gave a cold upstream its allowance would give it twice as much as it bears.
func TestOtherUnitsWaitUntilTheUpstreamIsWarm(t *testing.T) {
	cold := router.ColdUnit("u0", 3)
	other := (cold + 1) % 3
	first, second := newOwner(t, cold, cold), newOwner(t, other, other)

	second.askUnit(other)
	require.Empty(t, effectsOf[reducer.SendAttempt](second.last))
	question := the[reducer.SendWarmState](second)
	require.True(t, question.WarmState.Ask)
	require.Equal(t, cold, question.To)

	first.askUnit(cold)
	first.step(reducer.WarmStateReceived{Stamp: first.stamp(), From: other, WarmState: question.WarmState})
	require.Empty(t, effectsOf[reducer.SendWarmState](first.last))
	var told []reducer.SendWarmState
	for len(told) == 0 {
		first.askUnit(cold)
		for _, a := range effectsOf[reducer.SendAttempt](first.last) {
			first.respond(a)
			told = append(told, effectsOf[reducer.SendWarmState](first.last)...)
		}
	}
	require.Len(t, told, 2)
	require.Equal(t, []string{"u0"}, told[0].WarmState.Warm)

	second.step(reducer.WarmStateReceived{Stamp: second.stamp(), From: cold, WarmState: told[0].WarmState})
	require.Len(t, effectsOf[reducer.SendAttempt](second.last), 1)

	first.step(reducer.UpstreamRestarted{Stamp: first.stamp(), Upstream: "u0"})
	told = effectsOf[reducer.SendWarmState](first.last)
	require.Equal(t, []string{"u0"}, told[0].WarmState.Cold)
	second.step(reducer.WarmStateReceived{Stamp: second.stamp(), From: cold, WarmState: told[0].WarmState})
	require.Zero(t, second.state.Status(second.now).Upstreams[0].Limit)
	second.pass(1000)
	require.True(t, the[reducer.SendWarmState](second).WarmState.Ask)
}

// One daemon that owns all units of a service must use all of its slots, and never more.
func TestUnitsOfOneDaemonShareTheUpstreams(t *testing.T) {
	s := newSim(t, 1, cluster{shards: 4, upstreams: 4, replicas: 2, slots: 24, coldSlots: 3}.document(), reducer.Config{})
	s.load(1500, 10_000, func() tiller.Query {
		q := s.search(fmt.Sprint("c", s.rng.IntN(5)), 1000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
		return q
	})
	s.at(4000, s.upstreams["u1"].crash)
	s.run(20_000)
	s.inspect.checkReplied()
	require.Empty(t, s.inspect.faults)
	for _, u := range s.upstreams {
		require.Zero(t, u.overloads)
	}
	st := s.state.Status(s.now)
	require.Len(t, st.Units, 3)
	for _, u := range st.Upstreams {
		require.Equal(t, 8, u.Limit, "%+v", u)
	}
	sum := s.summarize(1, s.nextRef, nil)
	t.Logf("queries %d, complete %d, refusals %v", sum.asked, sum.complete, sum.refusals)
}
