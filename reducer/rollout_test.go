package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// rolling is a rollout in a sim: two upstreams of the old version and two of the new one, all with every shard.
type rolling struct {
	*sim
	move tiller.Move
	// faultAt is the time at which the fault was announced; 0 when it was not.
	faultAt tiller.Millis
	// firsts are the attempts to each version, lateNew those to the new one more than 2 s after the fault.
	firsts  map[string]int
	lateNew int
	final   tiller.MoveState
}

func newRolling(t *testing.T, seed uint64) *rolling {
	move := tiller.Move{Name: "m", Service: "s", From: "1", To: "2", StartAt: 2000, FinishBy: 302_000, CanaryPercent: 5}
	c := cluster{shards: 4, upstreams: 4, replicas: 4, slots: 8, coldSlots: 2, change: func(d *tiller.Document) {
		d.Upstreams[2].Version, d.Upstreams[3].Version = "2", "2"
		d.Moves = []tiller.Move{move}
	}}
	r := &rolling{sim: newSim(t, seed, c.document(), reducer.Config{}), move: move, firsts: map[string]int{}}
	r.tamper = r.observe
	for _, u := range r.upstreams {
		u.service = func() tiller.Millis { return logNormal(r.sim, 20, 0.4) }
	}
	return r
}

func (r *rolling) observe(effects []reducer.Effect) []reducer.Effect {
	for _, effect := range effects {
		switch e := effect.(type) {
		case reducer.SendAttempt:
			version := r.upstreams[e.Upstream].spec.Version
			r.firsts[version]++
			if version == "2" && r.faultAt > 0 && r.now > r.faultAt+2*tiller.Second {
				r.lateNew++
			}
		case reducer.Announce:
			if e.Key == "fault/m" {
				r.faultAt = r.now
			}
		case reducer.FinishMove:
			r.finish(e.State)
		}
	}
	return effects
}

// finish plays the store: it keeps the first final state and puts it in force.
func (r *rolling) finish(state tiller.MoveState) {
	if r.final != "" {
		return
	}
	r.final = state
	r.after(100, func() {
		r.change(func(d *tiller.Document) {
			r.move.State = state
			d.Moves = []tiller.Move{r.move}
		})
	})
}

func (r *rolling) search() tiller.Query {
	q := r.sim.search("c", 1000)
	q.Body = []byte(fmt.Sprint(r.rng.IntN(5)))
	return q
}

// TestRolloutOfGoodVersion guards against a good version that is not used, is taken back, or is late.
func TestRolloutOfGoodVersion(t *testing.T) {
	r := newRolling(t, 1)
	r.load(40, 320_000, r.search)
	r.run(310_000)
	require.Equal(t, tiller.MoveDone, r.final)
	before := r.firsts["1"]
	r.run(340_000)
	sum := r.summarize(1, r.nextRef, nil)
	t.Logf("requests by version %v, complete %d of %d", r.firsts, sum.complete, sum.asked)
	require.Equal(t, sum.asked, sum.complete, "%v", sum.refusals)
	require.Less(t, r.firsts["1"]-before, r.firsts["2"]/20, "requests to the old version after the end")
	require.Empty(t, r.inspect.faults)
}

// TestRolloutOfBadVersion guards against a bad version that keeps its traffic, or gets more than
// its share before the fault shows.
func TestRolloutOfBadVersion(t *testing.T) {
	for seed := range uint64(5) {
		r := newRolling(t, seed)
		for _, name := range []string{"u2", "u3"} {
			r.upstreams[name].service = func() tiller.Millis { return logNormal(r.sim, 80, 0.4) }
		}
		r.load(40, 200_000, r.search)
		r.run(230_000)
		sum := r.summarize(1, r.nextRef, nil)
		shareNew := float64(r.firsts["2"]) / float64(r.firsts["1"]+r.firsts["2"])
		t.Logf("seed %d: fault announced at %d ms, requests by version %v, p99 %d ms", seed, r.faultAt, r.firsts, sum.quantile(0.99))
		require.NotZero(t, r.faultAt)
		require.Zero(t, r.lateNew)
		require.LessOrEqual(t, shareNew, 0.05)
		require.Equal(t, sum.asked, sum.complete, "%v", sum.refusals)
	}
}

// TestFaultFromAnotherDaemon guards against traffic to a version that another daemon has found faulty.
func TestFaultFromAnotherDaemon(t *testing.T) {
	r := newRolling(t, 9)
	r.load(40, 60_000, r.search)
	r.run(30_000)
	require.NotZero(t, r.firsts["2"])
	r.step(reducer.FactLearned{Stamp: r.stamp(), Key: "fault/m", Version: 1, Value: []byte("Failures on route search")})
	before := r.firsts["2"]
	r.run(70_000)
	require.Equal(t, before, r.firsts["2"])
	sum := r.summarize(1, r.nextRef, nil)
	require.Equal(t, sum.asked, sum.complete, "%v", sum.refusals)
}
