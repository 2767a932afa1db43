package faker

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// Limits of the platform's store.
const (
	// DefaultWritesPerSecond is the default limit of writes per second.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the default limit of reads and watches per second, counted together.
	DefaultReadsPerSecond = 2000
	// MaxValueBytes is the maximum size of a value in bytes.
	MaxValueBytes = 1 << 20
)

// StoreSettings are the settings of a Store.
type StoreSettings struct {
	// WritesPerSecond limits key writes, lease grants and lease renewals together; 0 means DefaultWritesPerSecond.
	WritesPerSecond int
	// ReadsPerSecond limits reads and watches together; a watch counts as one call.
	// 0 means DefaultReadsPerSecond.
	ReadsPerSecond int
}

// StoreCounts counts the calls to a Store, including refused ones.
type StoreCounts struct {
	Reads   int
	Writes  int
	Watches int
	// Watching is the number of watches that are waiting now.
	Watching int
	// RateLimited is the number of calls that exceeded the rate limits.
	RateLimited int
	// RepliesLost is the number of writes that took effect but were not answered.
	RepliesLost int
	// GreatestReadRate is the highest number of reads and watches in any one-second window.
	GreatestReadRate int
	// GreatestWriteRate is the highest number of writes in any one-second window.
	GreatestWriteRate int
}

// Store is a fake of the platform's key-value store.
type Store struct {
	*Endpoint
	clock tiller.Clock

	mu      sync.Mutex
	keys    map[string]*record
	leases  leases
	reads   rateLimit
	writes  rateLimit
	faults  StoreFaults
	counts  StoreCounts
	changed chan struct{}
	closed  bool
}

// record holds the current and the previous entry of one key.
// Its version keeps increasing across removals of the key.
type record struct {
	current  *platform.Entry
	previous *platform.Entry
	version  int64
}

// set replaces the current entry; nil removes the key.
func (r *record) set(e *platform.Entry) {
	r.previous = r.current
	r.current = e
}

// NewStore returns an empty Store whose leases and rates follow clock.
// It fails only when the generated server can't be created.
func NewStore(settings StoreSettings, clock tiller.Clock) (*Store, error) {
	s := &Store{
		clock:   clock,
		keys:    map[string]*record{},
		leases:  leases{byID: map[int64]lease{}},
		reads:   rateLimit{perSecond: orDefault(settings.ReadsPerSecond, DefaultReadsPerSecond)},
		writes:  rateLimit{perSecond: orDefault(settings.WritesPerSecond, DefaultWritesPerSecond)},
		changed: make(chan struct{}),
	}
	h, err := newPlatformHandler(s, nil)
	if err != nil {
		return nil, err
	}
	s.Endpoint = NewEndpoint(h)
	return s, nil
}

func orDefault(n, value int) int {
	if n == 0 {
		return value
	}
	return n
}

// Close ends every watch, closes the listener and every connection, and waits for the running handlers.
// Later calls are answered Unavailable.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.notifyWatches()
	s.mu.Unlock()
	s.Endpoint.Close()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the faults in force. LoseReplies is the number of replies that are still to be lost.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the counts so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.GreatestReadRate = s.reads.offered.greatest
	counts.GreatestWriteRate = s.writes.offered.greatest
	return counts
}

// GetKey handles a read.
func (s *Store) GetKey(ctx context.Context, params platform.GetKeyParams) (*platform.Entry, error) {
	if err := s.begin(ctx, s.countRead); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(params.Key, s.faults.StaleReads)
}

// PutKey handles a compare-and-swap write.
func (s *Store) PutKey(ctx context.Context, req *platform.Write, params platform.PutKeyParams) (*platform.Entry, error) {
	if err := s.begin(ctx, s.countWrite); err != nil {
		return nil, err
	}
	e, lost, err := s.write(params.Key, *req)
	if lost {
		abort(ctx)
	}
	return e, err
}

// NewError maps an error to an error response; unknown errors become Unavailable.
func (s *Store) NewError(_ context.Context, err error) *platform.StoreErrorStatusCode {
	if known, ok := errors.Into[*platform.StoreErrorStatusCode](err); ok {
		return known
	}
	return storeError(platform.StoreErrorReasonUnavailable, err.Error())
}

// begin counts a call with count, which reports whether it is within the rate limit, and waits for
// the injected latency. It fails when ctx ends, the store is unavailable or the call exceeds the limit.
func (s *Store) begin(ctx context.Context, count func(now tiller.Millis) bool) error {
	s.mu.Lock()
	within := count(s.clock.Now())
	if !within {
		s.counts.RateLimited++
	}
	latency := s.faults.LatencyMillis
	s.mu.Unlock()
	if err := sleep(ctx, latency); err != nil {
		return err
	}
	if err := s.unavailable(); err != nil {
		return err
	}
	if !within {
		return storeError(platform.StoreErrorReasonRateLimited, "too many calls in one second")
	}
	return nil
}

func (s *Store) countRead(now tiller.Millis) bool {
	s.counts.Reads++
	return s.reads.take(now)
}

func (s *Store) countWrite(now tiller.Millis) bool {
	s.counts.Writes++
	return s.writes.take(now)
}

func (s *Store) unavailable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailableLocked()
}

func (s *Store) unavailableLocked() error {
	if s.faults.Outage || s.closed {
		return storeError(platform.StoreErrorReasonUnavailable, "the store is down")
	}
	return nil
}

// read returns the current entry of key, or if stale the entry before its last change.
// The caller holds the lock.
func (s *Store) read(key string, stale bool) (*platform.Entry, error) {
	s.expire()
	r := s.keys[key]
	if r == nil {
		return nil, storeError(platform.StoreErrorReasonNotFound, "no such key")
	}
	e := r.current
	if stale {
		e = r.previous
	}
	if e == nil {
		return nil, storeError(platform.StoreErrorReasonNotFound, "no such key")
	}
	return e, nil
}

// write applies a compare-and-swap. lost means that the write took effect but must not be answered.
func (s *Store) write(key string, w platform.Write) (e *platform.Entry, lost bool, err error) {
	if len(w.Value) > MaxValueBytes {
		return nil, false, storeError(platform.StoreErrorReasonTooLarge, "the value is larger than 1 MiB")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if w.Lease.Set && !s.leases.has(w.Lease.Value) {
		return nil, false, storeError(platform.StoreErrorReasonLeaseEnded, "the lease has ended")
	}
	if current := s.version(key); current != w.ExpectedVersion {
		return nil, false, conflict(current)
	}
	e = s.put(key, w)
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		s.counts.RepliesLost++
		return e, true, nil
	}
	return e, false, nil
}

// version returns the current version of key, or 0 when the key does not exist. The caller holds the lock.
func (s *Store) version(key string) int64 {
	r := s.keys[key]
	if r == nil || r.current == nil {
		return 0
	}
	return r.current.Version
}

// put writes key regardless of its current version. The caller holds the lock.
func (s *Store) put(key string, w platform.Write) *platform.Entry {
	r := s.keys[key]
	if r == nil {
		r = &record{}
		s.keys[key] = r
	}
	r.version++
	e := &platform.Entry{Key: key, Value: w.Value, Version: r.version, Lease: w.Lease}
	r.set(e)
	s.notifyWatches()
	return e
}

// Set writes key regardless of its current version and returns the new version.
// It is meant for tests and is neither counted nor rate-limited.
func (s *Store) Set(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, platform.Write{Value: value}).Version
}

// Get returns the value and the version of key. It is meant for tests and is neither counted nor rate-limited.
func (s *Store) Get(key string) (value string, version int64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.read(key, false)
	if err != nil {
		return "", 0, false
	}
	return e.Value, e.Version, true
}
