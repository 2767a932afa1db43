package conductor_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/conductor"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/sampler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func weights(text string) planner.Weights {
	w, err := planner.ParseWeights(text)
	if err != nil {
		panic(err)
	}
	return w
}

func config() conductor.Config {
	return conductor.Config{
		Deployment: sampler.Guild, Rate: 50, WarmUp: 200 * time.Millisecond, Duration: 1200 * time.Millisecond, Seed: 3,
		Mix: weights("search=6,wide=2,print=2"), Callers: weights("desk"), Bodies: 4, ResendPercent: 100, Deadline: time.Second,
		Fault:    injector.Fault{Name: injector.Mismatch, At: 400 * time.Millisecond, For: 400 * time.Millisecond, Domain: "Kelowna"},
		Progress: &bytes.Buffer{}, Logger: logr.Discard(),
	}
}

// countEnds returns the number of outcomes in a part.
func countEnds(p reporter.Part) int {
	n := 0
	for _, k := range p.Kinds {
		n += k.Answered
	}
	for _, r := range p.Refusals {
		n += r.Count
	}
	for _, lost := range p.Lost {
		n += lost
	}
	return n
}

// Guards against queries without an outcome, phases that do not add up, and wrong answers under a fault.
// ColdSlots and Slots are left out, because the overlap of requests at an upstream depends on the machine.
func TestEmbeddedLoad(t *testing.T) {
	c, err := conductor.New(config())
	require.NoError(t, err)
	s, err := c.Run(t.Context())
	require.NoError(t, err)
	offered := 0
	for i, name := range []string{"before", "during", "after"} {
		require.Equal(t, name, s.Phases[i].Name)
		require.Equal(t, s.Phases[i].Offered, countEnds(s.Phases[i]))
		require.InDelta(t, 0.4, s.Phases[i].Seconds, 1e-9)
		offered += s.Phases[i].Offered
	}
	require.Positive(t, offered)
	require.Equal(t, offered, s.Total.Offered)
	require.Equal(t, offered, countEnds(s.Total))
	require.Positive(t, s.Total.Load.UpstreamRequests)
	require.Positive(t, s.Upstreams.Run)
	require.Empty(t, s.Violations.NotChecked)
	for _, i := range []inspector.Invariant{
		inspector.OneSnapshot, inspector.TrueCoverage, inspector.RightItems, inspector.UniqueKeys,
		inspector.OwnAnswer, inspector.KnownRefusal, inspector.TrueNotRun, inspector.RunOnce,
	} {
		require.Zero(t, s.Violations.Counts[i], s.Violations.First)
	}
}

// Guards against loads that are started although they are impossible.
func TestImpossible(t *testing.T) {
	for want, spoil := range map[string]func(*conductor.Config){
		"--fault mismatch: only the embedded": func(c *conductor.Config) { c.Addresses = []string{"127.0.0.1:1"} },
		"--fault-for":                         func(c *conductor.Config) { c.Fault.For = time.Hour },
		"--mix":                               func(c *conductor.Config) { c.Mix = weights("scan") },
		`"Tiller"`:                            func(c *conductor.Config) { c.Deployment = "Tiller" },
	} {
		cfg := config()
		spoil(&cfg)
		_, err := conductor.New(cfg)
		require.ErrorContains(t, err, want)
	}
}
