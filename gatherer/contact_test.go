package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// A region is cut off for ten seconds. Its daemons lack a third of the shards and cannot reach the required coverage:
// within two seconds they must refuse queries at once as not run, apart from a few trials, and be not ready. Daemons in
// the other regions must go on to serve, and all must serve soon after the cut has healed.
func TestCutOffRegionRefusesAtOnce(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 31)
	for _, d := range sim.daemons {
		sim.step(d, gatherer.StoreRead{})
	}
	phase := func(until tiller.Millis) (inside, outside []*outcome) {
		sim.outcomes = make(map[string]*outcome)
		byRegion := make(map[string]*daemon)
		for at := sim.now; at < until; at += 11 {
			sim.schedule(at-sim.now, func() {
				d := sim.daemons[sim.random.IntN(len(sim.daemons))]
				byRegion[sim.sendQuery(d, "/q/1")] = d
			})
		}
		sim.runUntil(until + 1500)
		for id, o := range sim.outcomes {
			if byRegion[id].region == "east" {
				inside = append(inside, o)
			} else {
				outside = append(outside, o)
			}
		}
		return inside, outside
	}
	phase(4000)
	sim.cutRegion = "east"
	phase(sim.now + 2000)
	inside, outside := phase(sim.now + 6000)
	late := 0
	for _, o := range inside {
		require.NotNil(t, o.refusal)
		if o.refusal.Verdict != tiller.NotRun || o.latency > 1 {
			late++
			continue
		}
		require.Equal(t, tiller.ReasonCutOff, o.refusal.Reason)
	}
	// Each of three daemons makes a trial in three seconds.
	require.LessOrEqual(t, late, 9)
	served := 0
	for _, o := range outside {
		if isInTime(o) {
			served++
		}
	}
	require.GreaterOrEqual(t, float64(served), 0.95*float64(len(outside)))
	for _, d := range sim.daemons {
		require.Equal(t, d.region != "east", d.state.IsReady(sim.now), d.vm)
	}
	sim.cutRegion = ""
	phase(sim.now + 3000)
	for _, d := range sim.daemons {
		require.True(t, d.state.IsReady(sim.now), d.vm)
	}
	phase(sim.now + 4000)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.97)
	sim.requireAttemptLimit(2)
	sim.requireRetryBudget()
}
