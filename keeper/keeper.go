package keeper

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// RetryMillis is the first delay between two attempts of a store call. It doubles with each attempt up to
// RetryMaxMillis. Both are in milliseconds.
const (
	RetryMillis    tiller.Millis = 20
	RetryMaxMillis tiller.Millis = 1000
)

// Config holds the dependencies of a Keeper.
type Config struct {
	Platform Platform
	// Environment is the environment whose seats are claimed.
	Environment string
	Clock       tiller.Clock
	// Sleep waits for d, or returns an error when ctx ends first.
	Sleep func(ctx context.Context, d tiller.Millis) error
	// Random returns a random number from 0 to n-1.
	Random func(n int64) int64
}

// Keeper accesses the store for the daemons of one environment.
type Keeper struct {
	cfg Config
}

// New returns a Keeper with the given dependencies.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg}
}

// key returns the store key of name in the environment env.
func (k *Keeper) key(env, name string) string {
	return "/carawaytiller/" + env + "/" + name
}

// backoff waits before the next attempt. Half of the delay is random, so that daemons do not retry in step.
func (k *Keeper) backoff(ctx context.Context, attempt int) error {
	wait := RetryMaxMillis
	if attempt < 6 {
		wait = min(RetryMillis<<attempt, RetryMaxMillis)
	}
	half := wait / 2
	return k.cfg.Sleep(ctx, half+tiller.Millis(k.cfg.Random(int64(half)+1)))
}

// verdictOf returns the verdict of a *tiller.Failure in the chain of err, and MayHaveRun when there is none.
func verdictOf(err error) tiller.Verdict {
	var f *tiller.Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return tiller.MayHaveRun
}
