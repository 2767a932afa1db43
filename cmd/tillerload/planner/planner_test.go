package planner_test

import (
	"bytes"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// recordsOf gives the records of the deployments, which take a while to make.
var recordsOf = map[string]func() []sampler.Record{
	sampler.Guild:  sync.OnceValue(func() []sampler.Record { return sampler.Records(sampler.Guild) }),
	sampler.Lochan: sync.OnceValue(func() []sampler.Record { return sampler.Records(sampler.Lochan) }),
}

// config returns the configuration of a plan for a deployment.
func config(t *testing.T, deployment, mix string, seed uint64) planner.Config {
	t.Helper()
	kinds, err := planner.ParseWeights(mix)
	require.NoError(t, err)
	callers, err := planner.ParseWeights("desk=3,office")
	require.NoError(t, err)
	return planner.Config{
		Seed: seed, Rate: 200, Mix: kinds, Callers: callers, Bodies: 4, ResendPercent: 50,
		Document: sampler.Document(deployment, func(string) string { return "" }), Records: recordsOf[deployment](),
	}
}

// take returns the first n requests of a plan.
func take(t *testing.T, cfg planner.Config, n int) []planner.Request {
	t.Helper()
	p, err := planner.New(cfg)
	require.NoError(t, err)
	requests := make([]planner.Request, n)
	for i := range requests {
		requests[i] = p.Next()
	}
	return requests
}

// Guards against a load that cannot be repeated.
func TestPlanFollowsFromSeed(t *testing.T) {
	const mix = "search=80,wide=19,print=1"
	first := take(t, config(t, sampler.Guild, mix, 7), 300)
	require.Equal(t, first, take(t, config(t, sampler.Guild, mix, 7), 300))
	require.NotEqual(t, first, take(t, config(t, sampler.Guild, mix, 8), 300))
}

// Guards against arrivals at an even pace, at another rate, or in another mix than asked for.
func TestPlanIsPoissonProcess(t *testing.T) {
	const n = 4000
	requests := take(t, config(t, sampler.Guild, "search=80,print=20", 1), n)
	var last time.Duration
	var sum, squares float64
	counts := map[planner.Kind]int{}
	resent := 0
	ids := map[string]bool{}
	for _, r := range requests {
		gap := (r.At - last).Seconds()
		require.GreaterOrEqual(t, gap, 0.0)
		sum, squares, last = sum+gap, squares+gap*gap, r.At
		counts[r.Kind]++
		ids[r.ID] = true
		if r.Resend {
			require.Equal(t, planner.Print, r.Kind)
			resent++
		}
	}
	mean := sum / n
	require.InDelta(t, 1.0/200, mean, 0.0005)
	deviation := math.Sqrt(squares/n - mean*mean)
	require.InDelta(t, 1, deviation/mean, 0.1, "the gaps of a Poisson process deviate by their mean")
	require.InDelta(t, 0.2, float64(counts[planner.Print])/n, 0.03)
	require.InDelta(t, 0.5, float64(resent)/float64(counts[planner.Print]), 0.1)
	require.Len(t, ids, n)
}

// Guards against services of the wrong size, and against poison outside of its time or out of order.
func TestPoison(t *testing.T) {
	cfg := config(t, sampler.Lochan, "wide", 1)
	cfg.PoisonFrom, cfg.PoisonTo = time.Second, 2*time.Second
	var last time.Duration
	var poison []planner.Request
	for _, r := range take(t, cfg, 600) {
		require.GreaterOrEqual(t, r.At, last)
		last = r.At
		require.Contains(t, []string{"case-files", "bulletin"}, r.Service)
		require.Equal(t, r.Kind == planner.Poison, bytes.Contains(r.Body, []byte(planner.PoisonTerm)))
		if r.Kind == planner.Poison {
			poison = append(poison, r)
		}
	}
	require.Len(t, poison, 5)
	require.Equal(t, time.Second, poison[0].At)
	require.Equal(t, poison[0].Body, poison[4].Body)
}

// Guards against a mix that asks for what the deployment cannot do.
func TestRefusedMixes(t *testing.T) {
	_, err := planner.New(config(t, sampler.Guild, "search=1,scan=2", 1))
	require.ErrorContains(t, err, `"scan"`)
	_, err = planner.New(config(t, sampler.Lochan, "search=1,print=2", 1))
	require.ErrorContains(t, err, `"print"`)
}

// Guards against weights that are read as something else than they say.
func TestRefusedWeights(t *testing.T) {
	for text, want := range map[string]string{
		"":          "name is missing",
		"a=1,":      "name is missing",
		"a=x":       `"a=x"`,
		"a=0":       `"a=0"`,
		"a=-1":      `"a=-1"`,
		"a=1000001": `"a=1000001"`,
		"a=1,b,a=2": "twice",
	} {
		_, err := planner.ParseWeights(text)
		require.ErrorContains(t, err, want, text)
	}
}
