package faker

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// lease is the life of the keys written under it.
type lease struct {
	ttl tiller.Millis
	end tiller.Millis
}

// leases are the leases of a Store by their identifier.
type leases struct {
	last int64
	byID map[int64]lease
}

func (l *leases) has(id int64) bool {
	_, ok := l.byID[id]
	return ok
}

// grant makes a new lease that ends ttl after now.
func (l *leases) grant(ttl, now tiller.Millis) int64 {
	l.last++
	l.byID[l.last] = lease{ttl: ttl, end: now + ttl}
	return l.last
}

// keep renews the lease id for its full length; false means that it has ended.
func (l *leases) keep(id int64, now tiller.Millis) (lease, bool) {
	kept, ok := l.byID[id]
	if !ok {
		return lease{}, false
	}
	kept.end = now + kept.ttl
	l.byID[id] = kept
	return kept, true
}

// expire drops the leases that ended by now and reports whether there were any.
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

// GrantLease answers a request for a lease.
func (s *Store) GrantLease(ctx context.Context, req *platform.LeaseGrant) (*platform.Lease, error) {
	if err := s.begin(ctx, s.countWrite); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.leases.grant(tiller.Millis(req.TTLMillis), s.clock.Now())
	return &platform.Lease{ID: id, TTLMillis: req.TTLMillis}, nil
}

// KeepLease answers a renewal.
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

// expire ends the leases that are due and removes the keys written under them.
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
