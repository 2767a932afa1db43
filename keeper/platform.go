package keeper

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/verifier"
)

// Errors of the store. They are wrapped in a *tiller.Failure.
var (
	ErrNotFound    = errors.New("key not found")
	ErrConflict    = errors.New("version conflict")
	ErrTooLarge    = errors.New("value too large")
	ErrRateLimited = errors.New("rate limit of the store exceeded")
	ErrUnavailable = errors.New("store unavailable")
	ErrLeaseEnded  = errors.New("lease ended")
)

// Entry is a key of the store with its value. The version grows with each write of the key.
type Entry struct {
	Key     string
	Value   string
	Version int64
}

// VM is one VM of the platform's list, which is updated with a delay.
type VM struct {
	Name    string
	Address string
	Domain  string
	Leaving bool
}

// Platform holds the calls that the daemon makes to the platform. Other functions may be set to use another platform.
type Platform struct {
	// Get reads a key and fails with ErrNotFound when it does not exist.
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes a key if its version is expected, where 0 means that the key does not exist, and fails with
	// ErrConflict otherwise. The key is deleted when the store lease ends; 0 means no lease.
	Put func(ctx context.Context, key, value string, expected, lease int64) (Entry, error)
	// Watch waits until the version of the key is greater than after, or until the time wait has passed.
	Watch func(ctx context.Context, key string, after int64, wait tiller.Millis) (Entry, error)
	// Grant requests a store lease that ends after ttl unless it is renewed.
	Grant func(ctx context.Context, ttl tiller.Millis) (lease int64, err error)
	// KeepAlive renews a store lease.
	KeepAlive func(ctx context.Context, lease int64) error
	// VMs returns the platform's list of live and leaving VMs.
	VMs func(ctx context.Context) ([]VM, error)
}

// Connect returns a Platform that calls address, such as 127.0.0.1:7000, over HTTP with the given client.
func Connect(address string, client *http.Client) (Platform, error) {
	c, err := platform.NewClient("http://"+address, platform.WithClient(verifier.New(client.Do)))
	if err != nil {
		return Platform{}, errors.Wrap(err, "platform client")
	}
	return Platform{
		Get: func(ctx context.Context, key string) (Entry, error) {
			e, err := c.GetKey(ctx, platform.GetKeyParams{Key: key})
			return entryOf(e), failureOf(err)
		},
		Put: func(ctx context.Context, key, value string, expected, lease int64) (Entry, error) {
			w := &platform.Write{Value: value, ExpectedVersion: expected}
			if lease != 0 {
				w.Lease = platform.NewOptInt64(lease)
			}
			e, err := c.PutKey(ctx, w, platform.PutKeyParams{Key: key})
			return entryOf(e), failureOf(err)
		},
		Watch: func(ctx context.Context, key string, after int64, wait tiller.Millis) (Entry, error) {
			e, err := c.WatchKey(ctx, platform.WatchKeyParams{Key: key, After: after, WaitMillis: int64(wait)})
			return entryOf(e), failureOf(err)
		},
		Grant: func(ctx context.Context, ttl tiller.Millis) (int64, error) {
			l, err := c.GrantLease(ctx, &platform.LeaseGrant{TTLMillis: int64(ttl)})
			if err != nil {
				return 0, failureOf(err)
			}
			return l.ID, nil
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := c.KeepLease(ctx, platform.KeepLeaseParams{ID: lease})
			return failureOf(err)
		},
		VMs: func(ctx context.Context) ([]VM, error) {
			l, err := c.ListVMs(ctx)
			if err != nil {
				return nil, failureOf(err)
			}
			return vmsOf(l), nil
		},
	}, nil
}

func entryOf(e *platform.Entry) Entry {
	if e == nil {
		return Entry{}
	}
	return Entry{Key: e.Key, Value: e.Value, Version: e.Version}
}

func vmsOf(l *platform.VMList) []VM {
	vms := make([]VM, 0, len(l.VMs))
	for _, vm := range l.VMs {
		vms = append(vms, VM{Name: vm.Name, Address: vm.Address, Domain: vm.Domain, Leaving: vm.Leaving})
	}
	return vms
}

// failureOf converts an error of the generated client to a *tiller.Failure. The verdict is NotRun when the store
// replied with an error or the connection could not be opened, and MayHaveRun for any other error.
func failureOf(err error) error {
	if err == nil {
		return nil
	}
	var status *platform.StoreErrorStatusCode
	if errors.As(err, &status) {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, storeError(status.Response))
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, errors.Wrap(ErrUnavailable, err.Error()))
	}
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, errors.Wrap(ErrUnavailable, err.Error()))
}

func storeError(e platform.StoreError) error {
	switch e.Reason {
	case platform.StoreErrorReasonNotFound:
		return ErrNotFound
	case platform.StoreErrorReasonConflict:
		return ErrConflict
	case platform.StoreErrorReasonTooLarge:
		return ErrTooLarge
	case platform.StoreErrorReasonRateLimited:
		return ErrRateLimited
	case platform.StoreErrorReasonLeaseEnded:
		return ErrLeaseEnded
	case platform.StoreErrorReasonUnavailable:
		return ErrUnavailable
	}
	return errors.Errorf("store: %s: %s", e.Reason, e.Detail.Or(""))
}
