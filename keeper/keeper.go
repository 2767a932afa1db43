package keeper

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// RetryMillis is the first wait between two tries of a store call, in milliseconds; it doubles up to RetryMaxMillis.
const (
	RetryMillis    tiller.Millis = 20
	RetryMaxMillis tiller.Millis = 1000
)

// Config holds what a Keeper depends on.
type Config struct {
	Platform    Platform
	Environment string
	Clock       tiller.Clock
	// Sleep waits for a time or until ctx ends.
	Sleep func(ctx context.Context, d tiller.Millis) error
	// Random returns a random number from 0 up to n.
	Random func(n int64) int64
}

// Keeper uses the store for one environment.
type Keeper struct {
	cfg Config
}

// New returns a Keeper.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg}
}

// key returns the name of a key in the store.
func (k *Keeper) key(env, name string) string {
	return "/carawaytiller/" + env + "/" + name
}

// backoff waits before the next try; half of the wait is random, so that daemons do not retry together.
func (k *Keeper) backoff(ctx context.Context, attempt int) error {
	wait := RetryMaxMillis
	if attempt < 6 {
		wait = min(RetryMillis<<attempt, RetryMaxMillis)
	}
	half := wait / 2
	return k.cfg.Sleep(ctx, half+tiller.Millis(k.cfg.Random(int64(half)+1)))
}

// verdictOf returns the verdict that an error carries; an error without one means MayHaveRun.
func verdictOf(err error) tiller.Verdict {
	var f *tiller.Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return tiller.MayHaveRun
}
