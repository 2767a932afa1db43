package mover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/mover"
)

// observe returns n requests of each version, of which a share fails or is slow.
func observe(random *rand.Rand, before mover.RouteObservations, old, recent int, failRate, slowRate float64) mover.RouteObservations {
	add := func(o mover.Observation, failRate, slowRate float64) mover.Observation {
		took := tiller.Millis(10 + random.IntN(10))
		switch {
		case random.Float64() < failRate:
			return o.WithFailure()
		case random.Float64() < slowRate:
			return o.WithLatency(took * 5)
		}
		return o.WithLatency(took)
	}
	for range old {
		before.Old = add(before.Old, 0.005, 0.03)
	}
	for range recent {
		before.New = add(before.New, failRate, slowRate)
	}
	return before
}

// compare plays a rollout of 30 rounds on many daemons that each see little.
func compare(seed uint64, daemons int, failRate, slowRate float64) *mover.Comparison {
	random := rand.New(rand.NewPCG(seed, 3))
	c := mover.NewComparison()
	seen := make([]mover.RouteObservations, daemons)
	for round := range 30 {
		for d := range daemons {
			seen[d] = observe(random, seen[d], 1, (round*daemons+d)%10/9, failRate, slowRate)
			c.Update(fmt.Sprintf("vm-%d", d), mover.Observations{"route": seen[d]})
		}
	}
	return c
}

// A fault must be found from counts that are too small on each daemon, and a good version must be confirmed.
func TestComparisonAddsUpSmallCounts(t *testing.T) {
	confirmed := 0
	for seed := range uint64(10) {
		require.Equal(t, mover.FaultFailures, compare(seed, 24, 0.4, 0.03).Fault().Cause, "seed %d", seed)
		require.Equal(t, mover.FaultLatency, compare(seed, 24, 0.005, 0.6).Fault().Cause, "seed %d", seed)
		good := compare(seed, 24, 0.005, 0.03)
		require.Equal(t, mover.NoFault, good.Fault().Cause, "seed %d", seed)
		if good.Confirmed() {
			confirmed++
		}
	}
	require.GreaterOrEqual(t, confirmed, 9)
}

// Failures must count that come before the old version has enough requests to compare with.
func TestEarlyFailuresAreNotForgotten(t *testing.T) {
	c := mover.NewComparison()
	var seen mover.RouteObservations
	for range 10 {
		seen.New = seen.New.WithFailure()
	}
	c.Update("vm", mover.Observations{"route": seen})
	require.False(t, c.Confirmed())
	for range 30 {
		seen.Old = seen.Old.WithSuccess()
	}
	require.Equal(t, mover.FaultFailures, c.Update("vm", mover.Observations{"route": seen}).Cause)
}

// A fault on one of several routes must be found, and a route without requests must not be taken for good.
func TestComparisonByRoute(t *testing.T) {
	c := mover.NewComparison()
	var healthy, untried mover.RouteObservations
	for range 100 {
		healthy.Old, healthy.New = healthy.Old.WithLatency(10), healthy.New.WithLatency(10)
		untried.Old = untried.Old.WithLatency(10)
	}
	c.Update("vm", mover.Observations{"a": healthy})
	require.True(t, c.Confirmed())
	c.Update("vm", mover.Observations{"a": healthy, "b": untried})
	require.False(t, c.Confirmed())
	for range 8 {
		untried.New = untried.New.WithFailure()
	}
	require.Equal(t, mover.Fault{Route: "b", Cause: mover.FaultFailures}, c.Update("vm", mover.Observations{"a": healthy, "b": untried}))
}

// Reports arrive out of order. An older one must not take back what a newer one showed.
func TestOlderObservationsAreIgnored(t *testing.T) {
	c := mover.NewComparison()
	var first, second mover.RouteObservations
	first.Old = first.Old.WithSuccess()
	second.Old = first.Old.WithSuccess().WithFailure()
	c.Update("vm", mover.Observations{"a": second})
	c.Update("vm", mover.Observations{"a": first})
	c.Update("vm", mover.Observations{"a": second})
	require.Equal(t, int64(3), c.Summary().OldRequests)
	require.Equal(t, int64(1), c.Summary().OldFailed)
}

// The parts of all daemons must add up to the fleet's bound, also when each part is below one request.
func TestAllowancesAddUp(t *testing.T) {
	for _, daemons := range []int{1, 8, 74} {
		for _, requests := range []int{0, 3, 40, 2000} {
			sent := 0
			for d := range daemons {
				a := mover.NewAllowance(0.08, 40/float64(daemons), float64(d)/float64(daemons))
				for range requests {
					a = a.WithRequest(a.Admits(1))
				}
				sent += a.Sent()
			}
			bound := 0.1*float64(daemons*requests) + 50
			require.LessOrEqual(t, float64(sent), bound, "%d daemons, %d requests", daemons, requests)
			if requests >= 40 {
				require.GreaterOrEqual(t, float64(sent), 0.6*bound, "%d daemons, %d requests", daemons, requests)
			}
		}
	}
}

// The state must be published before the deadline even if it became known late.
func TestPlanEndsBeforeTheDeadline(t *testing.T) {
	for _, duration := range []tiller.Millis{1, 2000, 5000, 12000, 600000} {
		p := mover.NewPlan(duration)
		require.LessOrEqual(t, p.SwitchAt, p.CompleteAt)
		require.LessOrEqual(t, p.CompleteAt, duration)
		require.Greater(t, p.GiveUpAt, duration)
		require.InDelta(t, 1, p.ReleasedSlack(p.SwitchAt), 0)
		if p.SwitchAt > 0 {
			require.LessOrEqual(t, p.ReleasedSlack(p.SwitchAt/2), 0.5)
		}
	}
}

// Opening a connection to an upstream of a new version takes some milliseconds. That must not make a version slow
// whose answers take a few milliseconds, and upstreams of different speed must not either.
func TestShortLatenciesAreNotCompared(t *testing.T) {
	for name, latencies := range map[string][2]tiller.Millis{"Connection": {2, 7}, "Speed": {100, 130}} {
		c := mover.NewComparison()
		var seen mover.RouteObservations
		for range 200 {
			seen.Old = seen.Old.WithLatency(latencies[0])
		}
		for range 40 {
			seen.New = seen.New.WithLatency(latencies[1])
		}
		require.Equal(t, mover.NoFault, c.Update("vm", mover.Observations{"a": seen}).Cause, name)
		require.True(t, c.Confirmed(), name)
	}
}
