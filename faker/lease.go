package faker

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// lease holds the TTL and the expiry time of a lease. Keys written under a lease are removed when it expires.
type lease struct {
	ttl tiller.Millis
	end tiller.Millis
}

// leases holds the unexpired leases of a Store. last is the identifier granted last.
type leases struct {
	last int64
	byID map[int64]lease
}

func (l *leases) has(id int64) bool {
	_, ok := l.byID[id]
	return ok
}

// grant creates a lease that expires ttl after now and returns its identifier.
func (l *leases) grant(ttl, now tiller.Millis) int64 {
	l.last++
	l.byID[l.last] = lease{ttl: ttl, end: now + ttl}
	return l.last
}

// keep renews the lease id for its full TTL from now. It returns false when there is no such lease.
func (l *leases) keep(id int64, now tiller.Millis) (lease, bool) {
	kept, ok := l.byID[id]
	if !ok {
		return lease{}, false
	}
	kept.end = now + kept.ttl
	l.byID[id] = kept
	return kept, true
}

// expire removes the leases that expired at or before now and reports whether there were any.
func (l *leases) expire(now tiller.Millis) bool {
	ended := false
	for id, one := range l.byID {
		if one.end <= now {
			delete(l.byID, id)
			ended = true
		}
	}
	return ended
}

// GrantLease handles a request for a new lease.
func (s *Store) GrantLease(ctx context.Context, req *platform.LeaseGrant) (*platform.Lease, error) {
	if err := s.begin(ctx, s.countWrite); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.leases.grant(tiller.Millis(req.TTLMillis), s.clock.Now())
	return &platform.Lease{ID: id, TTLMillis: req.TTLMillis}, nil
}

// KeepLease handles the renewal of a lease.
func (s *Store) KeepLease(ctx context.Context, params platform.KeepLeaseParams) (*platform.Lease, error) {
	if err := s.begin(ctx, s.countWrite); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	kept, ok := s.leases.keep(params.ID, s.clock.Now())
	if !ok {
		return nil, storeError(platform.StoreErrorReasonLeaseEnded, "the lease has ended")
	}
	return &platform.Lease{ID: params.ID, TTLMillis: int64(kept.ttl)}, nil
}

// expire removes the expired leases and the keys written under them. The caller holds the lock.
func (s *Store) expire() {
	if !s.leases.expire(s.clock.Now()) {
		return
	}
	for _, r := range s.keys {
		if r.current != nil && r.current.Lease.Set && !s.leases.has(r.current.Lease.Value) {
			r.set(nil)
		}
	}
}
