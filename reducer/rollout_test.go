package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// rolloutSim simulates a rollout with two upstreams of the old version and two of the new one. Each has every shard.
type rolloutSim struct {
	*sim
	move tiller.Move
	// faultAnnouncedAt is the time at which this daemon announced the fault; 0 when it did not.
	faultAnnouncedAt tiller.Millis
	// attemptsByVersion counts the attempts to each version. lateAttempts counts those to the new version
	// more than 2 s after the announcement of the fault.
	attemptsByVersion map[string]int
	lateAttempts      int
	finalState        tiller.MoveState
}

func newRolloutSim(t *testing.T, seed uint64) *rolloutSim {
	move := tiller.Move{Name: "m", Service: "s", From: "1", To: "2", StartAt: 2000, FinishBy: 302_000, CanaryPercent: 5}
	c := cluster{shards: 4, upstreams: 4, replicas: 4, slots: 8, coldSlots: 2, change: func(d *tiller.Document) {
		d.Upstreams[2].Version, d.Upstreams[3].Version = "2", "2"
		d.Moves = []tiller.Move{move}
	}}
	r := &rolloutSim{sim: newSim(t, seed, c.document(), reducer.Config{}), move: move, attemptsByVersion: map[string]int{}}
	r.intercept = r.observeEffects
	for _, u := range r.upstreams {
		u.serviceTime = func() tiller.Millis { return logNormal(r.sim, 20, 0.4) }
	}
	return r
}

// observeEffects counts attempts and handles Announce and FinishMove. It returns the effects unchanged.
func (r *rolloutSim) observeEffects(effects []reducer.Effect) []reducer.Effect {
	for _, effect := range effects {
		switch e := effect.(type) {
		case reducer.SendAttempt:
			version := r.upstreams[e.Upstream].spec.Version
			r.attemptsByVersion[version]++
			if version == "2" && r.faultAnnouncedAt > 0 && r.now > r.faultAnnouncedAt+2*tiller.Second {
				r.lateAttempts++
			}
		case reducer.Announce:
			if e.Key == "fault/m" {
				r.faultAnnouncedAt = r.now
			}
		case reducer.FinishMove:
			r.writeFinalState(e.State)
		}
	}
	return effects
}

// writeFinalState simulates the store: it keeps the first final state and puts it in force 100 ms later.
func (r *rolloutSim) writeFinalState(state tiller.MoveState) {
	if r.finalState != "" {
		return
	}
	r.finalState = state
	r.after(100, func() {
		r.applyChange(func(d *tiller.Document) {
			r.move.State = state
			d.Moves = []tiller.Move{r.move}
		})
	})
}

func (r *rolloutSim) searchQuery() tiller.Query {
	q := r.sim.searchQuery("c", 1000)
	q.Body = []byte(fmt.Sprint(r.rng.IntN(5)))
	return q
}

// TestRolloutOfGoodVersion guards against a rollout of a good version that is rolled back, finishes late or leaves
// traffic on the old version.
func TestRolloutOfGoodVersion(t *testing.T) {
	r := newRolloutSim(t, 1)
	r.load(40, 320_000, r.searchQuery)
	r.run(310_000)
	require.Equal(t, tiller.MoveDone, r.finalState)
	before := r.attemptsByVersion["1"]
	r.run(340_000)
	sum := r.summarize(1, r.nextRef, nil)
	t.Logf("requests by version %v, complete %d of %d", r.attemptsByVersion, sum.complete, sum.submitted)
	require.Equal(t, sum.submitted, sum.complete, "%v", sum.refusals)
	require.Less(t, r.attemptsByVersion["1"]-before, r.attemptsByVersion["2"]/20, "requests to the old version after the end")
	require.Empty(t, r.inspector.violations)
}

// TestRolloutOfBadVersion guards against a bad version that still gets traffic after its fault was announced, or gets
// more than its canary share before.
func TestRolloutOfBadVersion(t *testing.T) {
	for seed := range uint64(5) {
		r := newRolloutSim(t, seed)
		for _, name := range []string{"u2", "u3"} {
			r.upstreams[name].serviceTime = func() tiller.Millis { return logNormal(r.sim, 80, 0.4) }
		}
		r.load(40, 200_000, r.searchQuery)
		r.run(230_000)
		sum := r.summarize(1, r.nextRef, nil)
		shareNew := float64(r.attemptsByVersion["2"]) / float64(r.attemptsByVersion["1"]+r.attemptsByVersion["2"])
		t.Logf("seed %d: fault announced at %d ms, requests by version %v, p99 %d ms", seed, r.faultAnnouncedAt, r.attemptsByVersion, sum.quantile(0.99))
		require.NotZero(t, r.faultAnnouncedAt)
		require.Zero(t, r.lateAttempts)
		require.LessOrEqual(t, shareNew, 0.05)
		require.Equal(t, sum.submitted, sum.complete, "%v", sum.refusals)
	}
}

// TestFaultFromAnotherDaemon guards against traffic to a version whose fault another daemon has announced.
func TestFaultFromAnotherDaemon(t *testing.T) {
	r := newRolloutSim(t, 9)
	r.load(40, 60_000, r.searchQuery)
	r.run(30_000)
	require.NotZero(t, r.attemptsByVersion["2"])
	r.step(reducer.FactLearned{Stamp: r.stamp(), Key: "fault/m", Version: 1, Value: []byte("Failures on route search")})
	before := r.attemptsByVersion["2"]
	r.run(70_000)
	require.Equal(t, before, r.attemptsByVersion["2"])
	sum := r.summarize(1, r.nextRef, nil)
	require.Equal(t, sum.submitted, sum.complete, "%v", sum.refusals)
}
