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
const callTimeoutMillis = 2 * tiller.Second

// platforms is the platform at several addresses.
type platformClient struct {
	endpoints []keeper.Platform
	// current is the number of the address that answered last.
	current atomic.Int64
}

// connect returns the platform at the given addresses.
func newPlatformClient(addresses []string, client *http.Client) (*platformClient, error) {
	if len(addresses) == 0 {
		return nil, errNoPlatform
	}
	p := &platformClient{}
	for _, address := range addresses {
		endpoint, err := keeper.Connect(address, client)
		if err != nil {
			return nil, fmt.Errorf("platform at %s: %w", address, err)
		}
		p.endpoints = append(p.endpoints, endpoint)
	}
	return p, nil
}

// platform returns the platform, whose calls go to the address that answered last, or else to the next one.
func (p *platformClient) platform() keeper.Platform {
	return keeper.Platform{
		Get: func(ctx context.Context, key string) (keeper.Entry, error) {
			return callAny(ctx, p, idempotent, 0, func(ctx context.Context, endpoint keeper.Platform) (keeper.Entry, error) {
				return endpoint.Get(ctx, key)
			})
		},
		Put: func(ctx context.Context, key, value string, expected, lease int64) (keeper.Entry, error) {
			return callAny(ctx, p, nonIdempotent, 0, func(ctx context.Context, endpoint keeper.Platform) (keeper.Entry, error) {
				return endpoint.Put(ctx, key, value, expected, lease)
			})
		},
		Watch: func(ctx context.Context, key string, after int64, wait tiller.Millis) (keeper.Entry, error) {
			return callAny(ctx, p, idempotent, wait, func(ctx context.Context, endpoint keeper.Platform) (keeper.Entry, error) {
				return endpoint.Watch(ctx, key, after, wait)
			})
		},
		Grant: func(ctx context.Context, ttl tiller.Millis) (int64, error) {
			return callAny(ctx, p, nonIdempotent, 0, func(ctx context.Context, endpoint keeper.Platform) (int64, error) {
				return endpoint.Grant(ctx, ttl)
			})
		},
		Keep: func(ctx context.Context, lease int64) error {
			_, err := callAny(ctx, p, idempotent, 0, func(ctx context.Context, endpoint keeper.Platform) (struct{}, error) {
				return struct{}{}, endpoint.Keep(ctx, lease)
			})
			return err
		},
		VMs: func(ctx context.Context) ([]keeper.VM, error) {
			return callAny(ctx, p, idempotent, 0, func(ctx context.Context, endpoint keeper.Platform) ([]keeper.VM, error) {
				return endpoint.VMs(ctx)
			})
		},
	}
}

// kind says whether a call may be made again when it is not known to have had no effect.
type callKind bool

const (
	// read stands for calls that may be repeated.
	idempotent callKind = true
	// write stands for calls that may not: the caller has to know that the outcome is open.
	nonIdempotent callKind = false
)

// call makes a call at each address in turn until one answers. wait is the time for which the call waits by itself.
func callAny[T any](ctx context.Context, p *platformClient, kind callKind, wait tiller.Millis, f func(context.Context, keeper.Platform) (T, error)) (T, error) {
	var value T
	var err error
	first := p.current.Load()
	for n := range int64(len(p.endpoints)) {
		i := (first + n) % int64(len(p.endpoints))
		value, err = callEndpoint(ctx, wait, p.endpoints[i], f)
		if !errors.Is(err, keeper.ErrUnavailable) {
			p.current.Store(i)
			return value, err
		}
		if ctx.Err() != nil {
			return value, err
		}
		p.current.Store((i + 1) % int64(len(p.endpoints)))
		if kind == nonIdempotent && mayHaveRun(err) {
			return value, err
		}
	}
	return value, err
}

func callEndpoint[T any](ctx context.Context, wait tiller.Millis, endpoint keeper.Platform, f func(context.Context, keeper.Platform) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + callTimeoutMillis).Duration())
	defer cancel()
	return f(ctx, endpoint)
}

// mayHaveRun says whether an error leaves it open whether the call took effect.
func mayHaveRun(err error) bool {
	var f *tiller.Failure
	return !errors.As(err, &f) || f.Verdict != tiller.NotRun
}
