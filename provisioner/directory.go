package provisioner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
)

const (
	// lookupCount is the number of random seats whose addresses are read from the store at once.
	// One live peer among them is enough to reach the others.
	lookupCount = distributor.PushPeers
	// firstPeerSearchMillis and maxPeerSearchMillis bound the waits between repeated reads while no peer has
	// sent a message. The wait doubles with each read, and half of it is random.
	firstPeerSearchMillis = 5 * tiller.Second
	maxPeerSearchMillis   = tiller.Minute
)

// readAddresses reads the addresses of random seats from the store, stores them in storedAddresses and returns
// a copy. Seats that are free or cannot be read are left out.
func (s *session) readAddresses(ctx context.Context, seats int) map[int]string {
	known := make(map[int]string)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for _, seat := range s.randomPeers(seats) {
		tasks.Go(func() {
			c, held, err := s.p.keeper.Holder(ctx, seat)
			if err != nil || !held {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known[seat] = c.Address
		})
	}
	tasks.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedAddresses = known
	return maps.Clone(known)
}

// searchPeers reads addresses repeatedly until a peer has sent a message. Daemons that start
// at the same time may read the store before the others have claimed their seats.
func (s *session) searchPeers(ctx context.Context, seats int) {
	for try := 0; seats > 1 && !s.hasHeardAny(); try++ {
		longest := min(firstPeerSearchMillis<<min(try, 4), maxPeerSearchMillis)
		if sleep(ctx, s.p.cfg.randomBetween(longest/2, longest)) != nil {
			return
		}
		if !s.hasHeardAny() {
			s.readAddresses(ctx, seats)
			s.sendOwnAddress()
		}
	}
}

// sendOwnAddress sends the address of this daemon's seat to the seats in storedAddresses,
// so that they can reply and distribute it.
func (s *session) sendOwnAddress() {
	own, ok := s.syncer.SeatFact(s.seat.Number)
	if !ok {
		return
	}
	s.mu.Lock()
	known := maps.Clone(s.storedAddresses)
	s.mu.Unlock()
	for seat := range known {
		s.p.cfg.Send(seat, distributor.Message{Push: &distributor.Push{Facts: []distributor.Fact{own}, Age: -1}})
	}
}

// randomPeers returns up to lookupCount random seats other than the daemon's own.
func (s *session) randomPeers(seats int) []int {
	r := rand.New(rand.NewPCG(s.p.cfg.Random(), uint64(s.seat.Number)))
	others := slices.DeleteFunc(r.Perm(seats), func(seat int) bool { return seat == s.seat.Number })
	return others[:min(lookupCount, len(others))]
}

// addressOf returns the address of the daemon of a seat. An address that daemons have announced
// takes precedence, because it is newer than one read from the store.
func (s *session) addressOf(seat int) (string, bool) {
	if a, _, ok := s.syncer.AddressOf(seat); ok {
		return a.Address, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.storedAddresses[seat]
	return address, ok
}

// send sends a message to a seat. When the address of the seat is unknown and it has sent no message,
// the message goes to a random seat of storedAddresses instead, because a new daemon of a large fleet
// knows few addresses. That is correct because such a message is not a reply and is the same for every peer.
func (s *session) send(to int, m distributor.Message) {
	if _, ok := s.addressOf(to); !ok && !s.hasHeard(to) {
		if to, ok = s.randomStoredSeat(); !ok {
			return
		}
	}
	s.p.cfg.Send(to, m)
}

// markHeard records that a seat has sent a message.
func (s *session) markHeard(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[from] = true
}

// hasHeardAny reports whether any peer has sent a message.
func (s *session) hasHeardAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard) > 0
}

// hasHeard reports whether a seat has sent a message.
func (s *session) hasHeard(seat int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[seat]
}

// randomStoredSeat returns a random seat of storedAddresses, or false when there is none.
func (s *session) randomStoredSeat() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.storedAddresses) == 0 {
		return 0, false
	}
	seats := slices.Sorted(maps.Keys(s.storedAddresses))
	return seats[s.p.cfg.Random()%uint64(len(seats))], true
}
