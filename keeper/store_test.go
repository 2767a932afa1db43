package keeper

import (
	"context"
	"math/rand/v2"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
)

// memoryStore is an in-memory Platform that injects faults from a seeded random source.
type memoryStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	entries map[string][]Entry
	// leases are the leases of the writes that had one, in order. lastLease is the last granted lease.
	leases    []int64
	lastLease int64
	vms       []VM
	// The rates are the shares of calls from 0 to 1: writes that take effect and whose reply is lost,
	// calls that fail without effect, and reads that return a random version.
	lostReplyRate, failureRate, staleReadRate float64
	// down makes every call but VMs fail without effect.
	down   bool
	writes []Record
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{random: rand.New(rand.NewPCG(seed, 0)), entries: map[string][]Entry{}}
}

func (s *memoryStore) platform() Platform {
	return Platform{
		Get:       s.get,
		Put:       s.put,
		Grant:     s.grant,
		KeepAlive: func(context.Context, int64) error { return s.fault() },
		VMs:       func(context.Context) ([]VM, error) { return s.vms, nil },
	}
}

func (s *memoryStore) fault() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.random.Float64() < s.failureRate {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, ErrUnavailable)
	}
	return nil
}

func (s *memoryStore) grant(context.Context, tiller.Millis) (int64, error) {
	if err := s.fault(); err != nil {
		return 0, err
	}
	s.lastLease++
	return s.lastLease, nil
}

func (s *memoryStore) get(_ context.Context, key string) (Entry, error) {
	if err := s.fault(); err != nil {
		return Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.entries[key]
	if len(versions) == 0 {
		return Entry{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, ErrNotFound)
	}
	if s.random.Float64() < s.staleReadRate {
		return versions[s.random.IntN(len(versions))], nil
	}
	return versions[len(versions)-1], nil
}

func (s *memoryStore) put(_ context.Context, key, value string, expected, lease int64) (Entry, error) {
	if err := s.fault(); err != nil {
		return Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.entries[key]
	if int64(len(versions)) != expected {
		return Entry{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, ErrConflict)
	}
	e := Entry{Key: key, Value: value, Version: expected + 1}
	s.entries[key] = append(versions, e)
	if lease != 0 {
		s.leases = append(s.leases, lease)
	}
	if r, err := decodeRecord(e); err == nil {
		s.writes = append(s.writes, r)
	}
	if s.random.Float64() < s.lostReplyRate {
		return Entry{}, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, ErrUnavailable)
	}
	return e, nil
}

func newKeeper(s *memoryStore, tries int) *Keeper {
	return New(Config{
		Platform:    s.platform(),
		Environment: "trial",
		Clock:       tiller.FixedClock(1000),
		Sleep:       sleepWithLimit(tries),
		Random:      func(int64) int64 { return 0 },
	})
}

// sleepWithLimit returns a Sleep that does not wait. It fails after the given number of calls,
// as if the deadline had passed.
func sleepWithLimit(tries int) func(context.Context, tiller.Millis) error {
	return func(context.Context, tiller.Millis) error {
		tries--
		if tries < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
}
