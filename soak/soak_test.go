// Package soak_test runs the real daemon as processes on loopback and injects faults from outside:
// signals, and proxies that delay or reset connections or discard their data. It checks the results
// at clients and upstreams.
//
// go test ./soak -args -seeds 50 runs fifty new random seeds. -seed N repeats the run of one seed,
// -daemons N runs with that many processes.
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
	seeds = flag.Int("seeds", 0, "number of new random seeds to run")
	seed  = flag.Uint64("seed", 0, "one seed to run")
	// daemons is the number of processes. The draws of a seed differ between numbers.
	daemons = flag.Int("daemons", 6, "number of daemons")
)

// regression is a seed that failed in the past, with the cause of the failure.
type regression struct {
	Seed  uint64
	Cause string
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("a soak run takes several seconds")
	}
	binary := buildDaemon(t)
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newRun(t, binary, seed).execute() })
	}
}

// buildDaemon builds the daemon and returns the path of its program.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "tillergate")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/tillergate").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// seedsToRun returns the seeds to run: the seed or number of new seeds given by flags, else the seeds in
// testdata/seeds.json, which failed in the past, and seed 1.
func seedsToRun(t *testing.T) []uint64 {
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
	// faultTime is the time during which faults are injected one after another and overlap.
	faultTime = 8 * time.Second
	// recoveryTime is the time after the last fault within which every daemon must serve requests again.
	recoveryTime = 5 * time.Second
)

// execute runs clients while faults are injected, and checks all guarantees at the end.
func (r *run) execute() {
	stop := make(chan struct{})
	for i := range clients {
		r.wg.Add(1)
		go r.client(i, stop)
	}
	deadline := time.Now().Add(faultTime)
	r.wg.Add(1)
	go r.injectChanges(deadline)
	for time.Now().Before(deadline) {
		r.injectFault()
		time.Sleep(time.Duration(100+r.random.IntN(700)) * time.Millisecond)
	}
	r.clearFaults()
	r.putConfig()
	time.Sleep(recoveryTime)
	late := r.departedRequests()
	r.requireNewestVersion()
	before := r.served.Load()
	time.Sleep(time.Second)
	require.Greater(r.t, r.served.Load(), before, "seed %d: no request was served after the faults", r.seed)
	close(stop)
	r.wg.Wait()
	r.requireRuns()
	r.requireClosedNotRun()
	r.requireAttempts()
	require.Equal(r.t, late, r.departedRequests(), "seed %d: upstreams that have left still got requests %v after the last fault: %v", r.seed, recoveryTime, r.faults)
	require.Empty(r.t, r.violations, "seed %d", r.seed)
	r.t.Logf("seed %d: %d served, %d refused, %d unanswered, faults %v", r.seed, r.served.Load(), r.refused.Load(), r.unanswered.Load(), r.faults)
}
