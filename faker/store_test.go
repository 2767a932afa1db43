package faker_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/faker"
)

const key = "/carawaytiller/trial/document"

func reasonOf(err error) platform.StoreErrorReason {
	var refused *platform.StoreErrorStatusCode
	if errors.As(err, &refused) {
		return refused.Response.Reason
	}
	return ""
}

// TestStorePutKey guards against a store that accepts a write it must refuse, or refuses it with a wrong reason.
func TestStorePutKey(t *testing.T) {
	tests := []struct {
		name   string
		write  platform.Write
		reason platform.StoreErrorReason
	}{
		{"expected version", platform.Write{Value: "b", ExpectedVersion: 1}, ""},
		{"largest value", platform.Write{Value: strings.Repeat("v", faker.MaxValueBytes), ExpectedVersion: 1}, ""},
		{"key must not exist", platform.Write{Value: "b"}, platform.StoreErrorReasonConflict},
		{"other version", platform.Write{Value: "b", ExpectedVersion: 2}, platform.StoreErrorReasonConflict},
		{"too many characters", platform.Write{Value: strings.Repeat("v", faker.MaxValueBytes+1), ExpectedVersion: 1}, platform.StoreErrorReasonTooLarge},
		{"too many bytes", platform.Write{Value: strings.Repeat("é", faker.MaxValueBytes/2+1), ExpectedVersion: 1}, platform.StoreErrorReasonTooLarge},
		{"unknown lease", platform.Write{Value: "b", ExpectedVersion: 1, Lease: platform.NewOptInt64(9)}, platform.StoreErrorReasonLeaseEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c := startPlatform(t, faker.StoreSettings{}, tiller.SystemClock())
			p.Store.Set(key, "a")
			_, err := c.PutKey(context.Background(), &tt.write, platform.PutKeyParams{Key: key})
			require.Equal(t, tt.reason, reasonOf(err))
			e, readErr := c.GetKey(context.Background(), platform.GetKeyParams{Key: key})
			require.NoError(t, readErr)
			if tt.reason != "" {
				require.Equal(t, platform.Entry{Key: key, Value: "a", Version: 1}, *e)
				return
			}
			require.NoError(t, err)
			require.Equal(t, platform.Entry{Key: key, Value: tt.write.Value, Version: 2}, *e)
		})
	}
}

// TestStoreLease guards against keys that outlive their lease, and against versions that restart
// when an expired key is written again.
func TestStoreLease(t *testing.T) {
	ctx := context.Background()
	var clock manualClock
	_, c := startPlatform(t, faker.StoreSettings{}, clock.clock())
	l, err := c.GrantLease(ctx, &platform.LeaseGrant{TTLMillis: 1000})
	require.NoError(t, err)
	w := &platform.Write{Value: "seat", Lease: platform.NewOptInt64(l.ID)}
	_, err = c.PutKey(ctx, w, platform.PutKeyParams{Key: key})
	require.NoError(t, err)

	clock.advance(900)
	_, err = c.KeepLease(ctx, platform.KeepLeaseParams{ID: l.ID})
	require.NoError(t, err)
	clock.advance(999)
	_, err = c.GetKey(ctx, platform.GetKeyParams{Key: key})
	require.NoError(t, err)

	clock.advance(1)
	_, err = c.GetKey(ctx, platform.GetKeyParams{Key: key})
	require.Equal(t, platform.StoreErrorReasonNotFound, reasonOf(err))
	_, err = c.KeepLease(ctx, platform.KeepLeaseParams{ID: l.ID})
	require.Equal(t, platform.StoreErrorReasonLeaseEnded, reasonOf(err))
	e, err := c.PutKey(ctx, &platform.Write{Value: "next"}, platform.PutKeyParams{Key: key})
	require.NoError(t, err)
	require.EqualValues(t, 2, e.Version)
}

// TestStoreWatch guards against watches that miss a change, never end, or count as more than one call.
func TestStoreWatch(t *testing.T) {
	const long, short = 60_000, 30
	tests := []struct {
		name   string
		after  int64
		wait   int64
		change func(s *faker.Store)
		value  string
		reason platform.StoreErrorReason
	}{
		{"changed before", 0, long, nil, "a", ""},
		{"changed while waiting", 1, long, func(s *faker.Store) { s.Set("other", "x"); s.Set(key, "b") }, "b", ""},
		{"unchanged", 1, short, nil, "a", ""},
		{"outage", 1, long, func(s *faker.Store) { s.SetFaults(faker.StoreFaults{Outage: true}) }, "", platform.StoreErrorReasonUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c := startPlatform(t, faker.StoreSettings{}, tiller.SystemClock())
			p.Store.Set(key, "a")
			if tt.change != nil {
				go func() {
					for p.Store.Counts().Watching == 0 {
						time.Sleep(time.Millisecond)
					}
					tt.change(p.Store)
				}()
			}
			e, err := c.WatchKey(context.Background(), platform.WatchKeyParams{Key: key, After: tt.after, WaitMillis: tt.wait})
			require.Equal(t, tt.reason, reasonOf(err))
			if tt.reason == "" {
				require.NoError(t, err)
				require.Equal(t, tt.value, e.Value)
			}
			counts := p.Store.Counts()
			require.Equal(t, 1, counts.Watches)
			require.Equal(t, 1, counts.GreatestReadRate)
			eventually(t, func() bool { return p.Store.Counts().Watching == 0 })
		})
	}
}

// TestStoreRateLimit guards against rate limits that let through too many reads or writes in a second,
// and against refused calls that count towards the limit.
func TestStoreRateLimit(t *testing.T) {
	ctx := context.Background()
	var clock manualClock
	p, c := startPlatform(t, faker.StoreSettings{WritesPerSecond: 3, ReadsPerSecond: 5}, clock.clock())
	calls := func(n int, call func() error) (within int) {
		for range n {
			if reasonOf(call()) != platform.StoreErrorReasonRateLimited {
				within++
			}
		}
		return within
	}
	write := func() error {
		_, err := c.GrantLease(ctx, &platform.LeaseGrant{TTLMillis: 1})
		return err
	}
	read := func() error {
		_, err := c.GetKey(ctx, platform.GetKeyParams{Key: key})
		return err
	}
	watch := func() error {
		_, err := c.WatchKey(ctx, platform.WatchKeyParams{Key: key, WaitMillis: 1})
		return err
	}
	require.Equal(t, 2, calls(2, write))
	clock.advance(500)
	require.Equal(t, 1, calls(4, write))
	clock.advance(500)
	require.Equal(t, 2, calls(4, write))
	require.Equal(t, 2, calls(2, watch))
	require.Equal(t, 3, calls(6, read))
	counts := p.Store.Counts()
	require.Equal(t, faker.StoreCounts{
		Reads: 6, Writes: 10, Watches: 2, RateLimited: 8, GreatestReadRate: 8, GreatestWriteRate: 8,
	}, counts)
}

// TestStoreFaults guards against faults that do not have the documented effect.
func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	p, c := startPlatform(t, faker.StoreSettings{}, tiller.SystemClock())
	put := func(value string, version int64) error {
		_, err := c.PutKey(ctx, &platform.Write{Value: value, ExpectedVersion: version}, platform.PutKeyParams{Key: key})
		return err
	}
	get := func() (string, error) {
		e, err := c.GetKey(ctx, platform.GetKeyParams{Key: key})
		if err != nil {
			return "", err
		}
		return e.Value, nil
	}
	require.NoError(t, put("a", 0))

	p.Store.SetFaults(faker.StoreFaults{Outage: true})
	require.Equal(t, platform.StoreErrorReasonUnavailable, reasonOf(put("b", 1)))
	_, err := get()
	require.Equal(t, platform.StoreErrorReasonUnavailable, reasonOf(err))

	p.Store.SetFaults(faker.StoreFaults{LoseReplies: 1})
	require.Equal(t, platform.StoreErrorReasonConflict, reasonOf(put("c", 9)), "a write that fails still gets its answer")
	err = put("b", 1)
	require.Error(t, err)
	require.Empty(t, reasonOf(err), "the connection is closed without an answer")
	value, err := get()
	require.NoError(t, err)
	require.Equal(t, "b", value)
	require.NoError(t, put("c", 2), "only the next write loses its reply")
	require.Equal(t, 1, p.Store.Counts().RepliesLost)

	p.Store.SetFaults(faker.StoreFaults{StaleReads: true})
	value, err = get()
	require.NoError(t, err)
	require.Equal(t, "b", value)

	p.Store.SetFaults(faker.StoreFaults{LatencyMillis: 50})
	begin := time.Now()
	value, err = get()
	require.NoError(t, err)
	require.Equal(t, "c", value)
	require.GreaterOrEqual(t, time.Since(begin), 50*time.Millisecond)
}

// TestStoreLosesConnection guards against a lost reply that ends only its HTTP/2 stream.
// The whole connection must close, so that other requests on it fail, too.
func TestStoreLosesConnection(t *testing.T) {
	ctx := context.Background()
	s, err := faker.NewStore(faker.StoreSettings{}, tiller.SystemClock())
	require.NoError(t, err)
	c, err := platform.NewClient(start(t, s), platform.WithClient(http2(t)))
	require.NoError(t, err)
	watched := make(chan error)
	go func() {
		_, err := c.WatchKey(ctx, platform.WatchKeyParams{Key: "other", WaitMillis: 60_000})
		watched <- err
	}()
	eventually(t, func() bool { return s.Counts().Watching == 1 })
	s.SetFaults(faker.StoreFaults{LoseReplies: 1})
	_, err = c.PutKey(ctx, &platform.Write{Value: "a"}, platform.PutKeyParams{Key: key})
	require.Error(t, err)
	err = <-watched
	require.Error(t, err)
	require.Empty(t, reasonOf(err))
	_, version, _ := s.Get(key)
	require.EqualValues(t, 1, version)
}
