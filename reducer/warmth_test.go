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

// threeUnitCluster has an upstream with enough slots to divide the service into three units.
var threeUnitCluster = cluster{shards: 1, upstreams: 1, replicas: 1, slots: 24, coldSlots: 2}

// newUnitOwner returns a manual simulation of the daemon on a seat that owns one of the three units.
func newUnitOwner(t *testing.T, seat, index int) *sim {
	cfg := reducer.Config{Holding: func(now tiller.Millis, u tracker.UnitID) tracker.Holding {
		return tracker.Holding{Owned: u.Index == index, ValidUntil: now + 1000, Owner: u.Index}
	}}
	s := newSim(t, 1, threeUnitCluster.document(), cfg)
	s.manual = true
	s.step(reducer.SeatChanged{Stamp: s.stamp(), Seat: seat, Incarnation: 1})
	// A daemon uses its part of the slots 6 s after the division into units, when every daemon has the document.
	s.now += 6 * tiller.Second
	return s
}

// requestIDForUnit returns a request identifier that is routed to a unit. It tries the numbers from n upwards.
func requestIDForUnit(index, n int) tiller.RequestID {
	for {
		id := tiller.RequestID(fmt.Sprint("id", n))
		if router.UnitOf(id, 3) == index {
			return id
		}
		n++
	}
}

func (s *sim) submitToUnit(index int) {
	q := s.searchQuery("c", 5000)
	q.ID = requestIDForUnit(index, int(s.nextRef)*100)
	s.submit(q)
}

// Only one unit has the cold allowance of an upstream. The owners of the other units must not send to the upstream
// until that unit's owner reports it as warm: two owners that both used the allowance would send
// twice as many requests as the cold upstream can run.
func TestOtherUnitsWaitUntilTheUpstreamIsWarm(t *testing.T) {
	coldUnit := router.ColdUnit("u0", 3)
	otherUnit := (coldUnit + 1) % 3
	coldOwner, otherOwner := newUnitOwner(t, coldUnit, coldUnit), newUnitOwner(t, otherUnit, otherUnit)

	otherOwner.submitToUnit(otherUnit)
	require.Empty(t, effectsOf[reducer.SendAttempt](otherOwner.lastEffects))
	warmthRequest := onlyEffect[reducer.SendWarmState](otherOwner)
	require.True(t, warmthRequest.WarmState.Ask)
	require.Equal(t, coldUnit, warmthRequest.To)

	coldOwner.submitToUnit(coldUnit)
	coldOwner.step(reducer.WarmStateReceived{Stamp: coldOwner.stamp(), From: otherUnit, WarmState: warmthRequest.WarmState})
	require.Empty(t, effectsOf[reducer.SendWarmState](coldOwner.lastEffects))
	var warmthReports []reducer.SendWarmState
	for len(warmthReports) == 0 {
		coldOwner.submitToUnit(coldUnit)
		for _, a := range effectsOf[reducer.SendAttempt](coldOwner.lastEffects) {
			coldOwner.respond(a)
			warmthReports = append(warmthReports, effectsOf[reducer.SendWarmState](coldOwner.lastEffects)...)
		}
	}
	require.Len(t, warmthReports, 2)
	require.Equal(t, []string{"u0"}, warmthReports[0].WarmState.Warm)

	otherOwner.step(reducer.WarmStateReceived{Stamp: otherOwner.stamp(), From: coldUnit, WarmState: warmthReports[0].WarmState})
	require.Len(t, effectsOf[reducer.SendAttempt](otherOwner.lastEffects), 1)

	coldOwner.step(reducer.UpstreamRestarted{Stamp: coldOwner.stamp(), Upstream: "u0"})
	warmthReports = effectsOf[reducer.SendWarmState](coldOwner.lastEffects)
	require.Equal(t, []string{"u0"}, warmthReports[0].WarmState.Cold)
	otherOwner.step(reducer.WarmStateReceived{Stamp: otherOwner.stamp(), From: coldUnit, WarmState: warmthReports[0].WarmState})
	require.Zero(t, otherOwner.state.Status(otherOwner.now).Upstreams[0].Limit)
	otherOwner.advance(1000)
	require.True(t, onlyEffect[reducer.SendWarmState](otherOwner).WarmState.Ask)
}

// A daemon that owns all units of a service must be able to use all slots of its upstreams, and never more.
func TestUnitsOfOneDaemonShareTheUpstreams(t *testing.T) {
	s := newSim(t, 1, cluster{shards: 4, upstreams: 4, replicas: 2, slots: 24, coldSlots: 3}.document(), reducer.Config{})
	s.load(1500, 10_000, func() tiller.Query {
		q := s.searchQuery(fmt.Sprint("c", s.rng.IntN(5)), 1000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
		return q
	})
	s.at(4000, s.upstreams["u1"].crash)
	s.run(20_000)
	s.inspector.checkReplied()
	require.Empty(t, s.inspector.violations)
	for _, u := range s.upstreams {
		require.Zero(t, u.coldOverloads)
	}
	st := s.state.Status(s.now)
	require.Len(t, st.Units, 3)
	for _, u := range st.Upstreams {
		require.Equal(t, 8, u.Limit, "%+v", u)
	}
	sum := s.summarize(1, s.nextRef, nil)
	t.Logf("queries %d, complete %d, refusals %v", sum.submitted, sum.complete, sum.refusals)
}
