// Package soak_test runs the real daemon as processes on loopback and injects faults from outside:
// signals, and proxies that delay, reset, cut or silence connections. It checks what clients and
// upstreams see.
//
// go test ./soak -args -seeds 50 runs fifty fresh seeds; -seed N runs one again.
package soak_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds = flag.Int("seeds", 0, "number of fresh seeds to run")
	seed  = flag.Uint64("seed", 0, "one seed to run")
)

// regression is a seed that once failed, with the cause.
type regression struct {
	Seed  uint64
	Cause string
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes seconds")
	}
	binary := filepath.Join(t.TempDir(), "tillergate")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/tillergate").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range plan(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newRun(t, binary, seed).play() })
	}
}

// plan returns the seeds to run: those asked for, else those that once failed and a fixed one.
func plan(t *testing.T) []uint64 {
	if *seed != 0 {
		return []uint64{*seed}
	}
	var all []uint64
	for range *seeds {
		all = append(all, rand.Uint64()>>16)
	}
	if len(all) > 0 {
		return all
	}
	data, err := os.ReadFile(filepath.Join("testdata", "seeds.json"))
	require.NoError(t, err)
	var known []regression
	require.NoError(t, json.Unmarshal(data, &known))
	for _, r := range known {
		all = append(all, r.Seed)
	}
	return append(all, 1)
}

const (
	// faultTime is the time in which faults come in series and overlap.
	faultTime = 8 * time.Second
	// calmTime is the time after the last fault in which everything must be served again.
	calmTime = 5 * time.Second
)

// play runs clients while faults are injected, and checks every promise at the end.
func (r *run) play() {
	stop := make(chan struct{})
	for i := range clients {
		r.wg.Add(1)
		go r.client(i, stop)
	}
	deadline := time.Now().Add(faultTime)
	for time.Now().Before(deadline) {
		r.inject()
		time.Sleep(time.Duration(100+r.random.IntN(700)) * time.Millisecond)
	}
	r.heal()
	r.change()
	time.Sleep(calmTime)
	r.requireNewestVersion()
	before := r.served.Load()
	time.Sleep(time.Second)
	require.Greater(r.t, r.served.Load(), before, "seed %d: nothing is served after the faults", r.seed)
	close(stop)
	r.wg.Wait()
	r.requireRuns()
	r.requireCutUnrun()
	r.requireAttempts()
	require.Empty(r.t, r.violations, "seed %d", r.seed)
	r.t.Logf("seed %d: %d served, %d refused, %d unanswered, faults %v", r.seed, r.served.Load(), r.refused.Load(), r.lost.Load(), r.faults)
}
