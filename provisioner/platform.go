package provisioner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/keeper"
)

// callMillis bounds one call of the platform at one address, so that a connection that carries nothing
// any more is noticed. A waiting watch has the time of its wait in addition.
const callMillis = 2 * tiller.Second

// platforms is the platform at several addresses.
type platforms struct {
	all []keeper.Platform
	// current is the number of the address that answered last.
	current atomic.Int64
}

// connect returns the platform at the given addresses.
func connect(addresses []string, client *http.Client) (*platforms, error) {
	if len(addresses) == 0 {
		return nil, errNoPlatform
	}
	p := &platforms{}
	for _, address := range addresses {
		one, err := keeper.Connect(address, client)
		if err != nil {
			return nil, fmt.Errorf("platform at %s: %w", address, err)
		}
		p.all = append(p.all, one)
	}
	return p, nil
}

// platform returns the platform, whose calls go to the address that answered last, or else to the next one.
func (p *platforms) platform() keeper.Platform {
	return keeper.Platform{
		Get: func(ctx context.Context, key string) (keeper.Entry, error) {
			return call(ctx, p, read, 0, func(ctx context.Context, one keeper.Platform) (keeper.Entry, error) {
				return one.Get(ctx, key)
			})
		},
		Put: func(ctx context.Context, key, value string, expected, lease int64) (keeper.Entry, error) {
			return call(ctx, p, write, 0, func(ctx context.Context, one keeper.Platform) (keeper.Entry, error) {
				return one.Put(ctx, key, value, expected, lease)
			})
		},
		Watch: func(ctx context.Context, key string, after int64, wait tiller.Millis) (keeper.Entry, error) {
			return call(ctx, p, read, wait, func(ctx context.Context, one keeper.Platform) (keeper.Entry, error) {
				return one.Watch(ctx, key, after, wait)
			})
		},
		Grant: func(ctx context.Context, ttl tiller.Millis) (int64, error) {
			return call(ctx, p, write, 0, func(ctx context.Context, one keeper.Platform) (int64, error) {
				return one.Grant(ctx, ttl)
			})
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := call(ctx, p, read, 0, func(ctx context.Context, one keeper.Platform) (struct{}, error) {
				return struct{}{}, one.KeepAlive(ctx, lease)
			})
			return err
		},
		VMs: func(ctx context.Context) ([]keeper.VM, error) {
			return call(ctx, p, read, 0, func(ctx context.Context, one keeper.Platform) ([]keeper.VM, error) {
				return one.VMs(ctx)
			})
		},
	}
}

// kind says whether a call may be made again when it is not known to have had no effect.
type kind bool

const (
	// read stands for calls that may be repeated.
	read kind = true
	// write stands for calls that may not: the caller has to know that the outcome is open.
	write kind = false
)

// call makes a call at each address in turn until one answers. wait is the time for which the call waits by itself.
func call[T any](ctx context.Context, p *platforms, k kind, wait tiller.Millis, f func(context.Context, keeper.Platform) (T, error)) (T, error) {
	var value T
	var err error
	first := p.current.Load()
	for n := range int64(len(p.all)) {
		i := (first + n) % int64(len(p.all))
		value, err = callOne(ctx, wait, p.all[i], f)
		if !errors.Is(err, keeper.ErrUnavailable) {
			p.current.Store(i)
			return value, err
		}
		if ctx.Err() != nil {
			return value, err
		}
		p.current.Store((i + 1) % int64(len(p.all)))
		if k == write && mayHaveRun(err) {
			return value, err
		}
	}
	return value, err
}

func callOne[T any](ctx context.Context, wait tiller.Millis, one keeper.Platform, f func(context.Context, keeper.Platform) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + callMillis).Duration())
	defer cancel()
	return f(ctx, one)
}

// mayHaveRun says whether an error leaves it open whether the call took effect.
func mayHaveRun(err error) bool {
	var f *tiller.Failure
	return !errors.As(err, &f) || f.Verdict != tiller.NotRun
}
