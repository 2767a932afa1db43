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

// callTimeoutMillis bounds one call to one address of the platform, so that a dead connection is detected.
// The timeout of a watch is longer by the time for which the watch waits.
const callTimeoutMillis = 2 * tiller.Second

// platformClient calls the platform through one of several addresses.
type platformClient struct {
	endpoints []keeper.Platform
	// current is the index of the endpoint that is called first: the one that answered last,
	// or the one after the last failure.
	current atomic.Int64
}

// newPlatformClient returns a client for the given addresses. It makes no call.
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

// platform returns the calls of the platform. Each goes to the endpoint that answered last or, when that is
// unavailable, to the next ones in order.
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
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := callAny(ctx, p, idempotent, 0, func(ctx context.Context, endpoint keeper.Platform) (struct{}, error) {
				return struct{}{}, endpoint.KeepAlive(ctx, lease)
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

// callKind states whether a call may be repeated at another endpoint when its outcome is unknown.
type callKind bool

const (
	// idempotent calls may be repeated.
	idempotent callKind = true
	// nonIdempotent calls must not be repeated. The caller gets the error and knows that the outcome is unknown.
	nonIdempotent callKind = false
)

// callAny makes a call at each endpoint in turn until one answers. An error other than keeper.ErrUnavailable counts
// as an answer. A nonIdempotent call ends at the first error that leaves its outcome unknown.
// wait is the time for which the platform may delay its answer to a watch.
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

// callEndpoint makes a call at one endpoint, bounded by wait and callTimeoutMillis.
func callEndpoint[T any](ctx context.Context, wait tiller.Millis, endpoint keeper.Platform, f func(context.Context, keeper.Platform) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + callTimeoutMillis).Duration())
	defer cancel()
	return f(ctx, endpoint)
}

// mayHaveRun reports whether a call that failed with err may have taken effect.
func mayHaveRun(err error) bool {
	var f *tiller.Failure
	return !errors.As(err, &f) || f.Verdict != tiller.NotRun
}
