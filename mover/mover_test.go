package mover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// behaviour returns the failure rate and the latency factor of a version on a route, at a progress of the rollout
// from 0 to 1 and a share of the traffic.
type behaviour func(route string, progress, share float64) (failures, slowdown float64)

func goodBehaviour(string, float64, float64) (float64, float64) { return 0.005, 1 }

// rollout simulates a rollout in virtual time. perMinute is the number of queries per minute, and owners
// the number of daemons among which they are distributed.
type rollout struct {
	perMinute  int
	minutes    int
	owners     int
	newVersion behaviour
}

type result struct {
	state            tiller.MoveState
	fault            Fault
	newBeforeFault   int
	totalBeforeFault int
	newAfterFault    int
}

const routeCount = 3

func (r rollout) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 5))
	move := tiller.Move{From: "v1", To: "v2", FinishBy: tiller.Millis(r.minutes) * tiller.Minute, CanaryPercent: 5}
	judge := NewJudge()
	counters := make([]*Counter, r.owners)
	for i := range counters {
		counters[i] = NewCounter()
	}
	var out result
	step := tiller.Minute / tiller.Millis(r.perMinute)
	nextShare := tiller.Millis(0)
	var splitter Splitter
	var isNew bool
	for now := tiller.Millis(0); now < move.FinishBy; now += step {
		share := Share(move, now, judge.Judged(), judge.Fault().Cause != NoFault)
		splitter, isNew = splitter.Next(share)
		route := fmt.Sprint("route", random.IntN(routeCount))
		progress := float64(now) / float64(move.FinishBy)
		counters[random.IntN(r.owners)].Record(r.sample(random, route, isNew, progress, share))
		out.count(isNew, judge)
		if now < nextShare {
			continue
		}
		nextShare = now + tiller.Second
		for i, c := range counters {
			out.fault = judge.Update(fmt.Sprint(i), c.Evidence())
		}
	}
	out.state = FinalState(move, move.FinishBy, judge.Judged(), judge.Fault().Cause != NoFault)
	return out
}

func (o *result) count(isNew bool, j *Judge) {
	if j.Fault().Cause != NoFault {
		if isNew {
			o.newAfterFault++
		}
		return
	}
	o.totalBeforeFault++
	if isNew {
		o.newBeforeFault++
	}
}

func (r rollout) sample(random *rand.Rand, route string, isNew bool, progress, share float64) Sample {
	failures, slowdown := goodBehaviour(route, progress, share)
	if isNew {
		failures, slowdown = r.newVersion(route, progress, share)
	}
	latency := 10 * math.Exp(0.5*random.NormFloat64()) * slowdown
	return Sample{Route: route, New: isNew, Failed: random.Float64() < failures, Latency: tiller.Millis(latency + 0.5)}
}

// TestGoodVersionsFinish guards against good versions that are rolled back or not completed in time.
func TestGoodVersionsFinish(t *testing.T) {
	r := rollout{perMinute: 600, minutes: 30, owners: 4, newVersion: goodBehaviour}
	for group := range uint64(10) {
		t.Run(fmt.Sprint("seeds from ", group*100), func(t *testing.T) {
			t.Parallel()
			for seed := group * 100; seed < (group+1)*100; seed++ {
				got := r.run(seed)
				require.Equal(t, tiller.MoveDone, got.state, "seed %d: %+v", seed, got)
			}
		})
	}
}

// TestFaultyVersionsAreRolledBack guards against faulty versions that are not rolled back. For faults that occur at
// the canary share, it also bounds the share of queries that reach the new version before the fault is found.
func TestFaultyVersionsAreRolledBack(t *testing.T) {
	cases := []struct {
		name   string
		next   behaviour
		canary bool
	}{
		{"fails at once", func(string, float64, float64) (float64, float64) { return 0.3, 1 }, true},
		{"slow at once", func(string, float64, float64) (float64, float64) { return 0.005, 3 }, true},
		{"one route fails", func(route string, _, _ float64) (float64, float64) {
			if route == "route1" {
				return 0.5, 1
			}
			return 0.005, 1
		}, true},
		{"fails in the second half", func(_ string, progress, _ float64) (float64, float64) {
			if progress > 0.5 {
				return 0.3, 1
			}
			return 0.005, 1
		}, false},
		{"failure rate increases slowly", func(_ string, progress, _ float64) (float64, float64) {
			return 0.005 + 0.4*progress*progress, 1
		}, false},
		{"slow under load", func(_ string, _, share float64) (float64, float64) {
			if share > 0.4 {
				return 0.005, 3
			}
			return 0.005, 1
		}, false},
	}
	r := rollout{perMinute: 600, minutes: 30, owners: 4}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := r
			r.newVersion = c.next
			maxShare, maxQueries := 0.0, 0
			for seed := range uint64(100) {
				got := r.run(seed)
				require.Equal(t, tiller.MoveTakenBack, got.state, "seed %d: %+v", seed, got)
				require.Zero(t, got.newAfterFault, "queries sent to the new version after the fault was found")
				maxShare = max(maxShare, float64(got.newBeforeFault)/float64(got.totalBeforeFault))
				maxQueries = max(maxQueries, got.newBeforeFault)
			}
			t.Logf("%s: at most %d queries and a share of %.3f reached the new version", c.name, maxQueries, maxShare)
			if c.canary {
				require.LessOrEqual(t, maxShare, 0.05)
			}
		})
	}
}

// TestFinalStateIsPermanent guards against a final state that changes.
func TestFinalStateIsPermanent(t *testing.T) {
	m := tiller.Move{FinishBy: 10, State: tiller.MoveDone}
	require.Equal(t, tiller.MoveDone, FinalState(m, 20, true, true))
	m.State = tiller.MoveTakenBack
	require.Equal(t, tiller.MoveTakenBack, FinalState(m, 20, true, false))
	require.Zero(t, Share(m, 20, true, false))
}
