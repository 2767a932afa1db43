package faker

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// WatchKey handles a long poll. It returns as soon as the version of the key is greater than params.After,
// or after params.WaitMillis with the entry as it is then.
func (s *Store) WatchKey(ctx context.Context, params platform.WatchKeyParams) (*platform.Entry, error) {
	if err := s.begin(ctx, s.countWatch); err != nil {
		return nil, err
	}
	s.watching(1)
	defer s.watching(-1)
	timer := time.NewTimer(tiller.Millis(params.WaitMillis).Duration())
	defer timer.Stop()
	for {
		e, changed, err := s.newer(params.Key, params.After)
		if e != nil || err != nil {
			return e, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.current(params.Key)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watching adds n to the number of waiting watches.
func (s *Store) watching(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watching += n
}

// current returns the current entry of key.
func (s *Store) current(key string) (*platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key, false)
}

func (s *Store) countWatch(now tiller.Millis) bool {
	s.counts.Watches++
	return s.reads.take(now)
}

// newer returns the entry of key if its version is greater than after,
// else a channel that is closed at the next change to the store.
func (s *Store) newer(key string, after int64) (*platform.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailableLocked(); err != nil {
		return nil, nil, err
	}
	s.expire()
	if r := s.keys[key]; r != nil && r.current != nil && r.current.Version > after {
		return r.current, nil, nil
	}
	return nil, s.changed, nil
}

// notifyWatches makes every waiting watch check its key again. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleep waits for d. It returns the cause of ctx when that ends first.
func sleep(ctx context.Context, d tiller.Millis) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
