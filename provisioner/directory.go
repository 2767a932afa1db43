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
	// lookups is the number of seats whose addresses a daemon reads from the store at its start.
	// One live peer among them is enough.
	lookupCount = distributor.PushPeers
	// firstSeekMillis and longestSeekMillis bound the waits between further reads while no peer has been heard.
	firstPeerSearchMillis = 5 * tiller.Second
	maxPeerSearchMillis   = tiller.Minute
)

// lookUp reads the addresses of some random seats and returns those of the seats that are held.
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

// seekPeers reads addresses again and again until a peer has sent something. Daemons that start
// at the same time may not find each other at first.
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

// introduce sends the address of the own seat to the seats that were looked up,
// so that they can reply and pass it on.
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

// someSeats returns random seats other than the own one.
func (s *session) randomPeers(seats int) []int {
	r := rand.New(rand.NewPCG(s.p.cfg.Random(), uint64(s.seat.Number)))
	others := slices.DeleteFunc(r.Perm(seats), func(seat int) bool { return seat == s.seat.Number })
	return others[:min(lookupCount, len(others))]
}

// addressOf returns where the daemon of a seat is reached. What the daemons have told each other
// is newer than what was read at the start.
func (s *session) addressOf(seat int) (string, bool) {
	if a, _, ok := s.syncer.AddressOf(seat); ok {
		return a.Address, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.storedAddresses[seat]
	return address, ok
}

// send sends a message to a seat. One to a seat that has sent nothing and whose address is unknown goes to one
// of the seats that were looked up instead: it is no reply, and so the same for every peer, and
// a new daemon of a large fleet knows only a few.
func (s *session) send(to int, m distributor.Message) {
	if _, ok := s.addressOf(to); !ok && !s.hasHeard(to) {
		if to, ok = s.randomStoredSeat(); !ok {
			return
		}
	}
	s.p.cfg.Send(to, m)
}

// note notes that a seat has sent something.
func (s *session) markHeard(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[from] = true
}

func (s *session) hasHeardAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard) > 0
}

func (s *session) hasHeard(seat int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[seat]
}

// anyKnown returns a random one of the seats that were looked up.
func (s *session) randomStoredSeat() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.storedAddresses) == 0 {
		return 0, false
	}
	seats := slices.Sorted(maps.Keys(s.storedAddresses))
	return seats[s.p.cfg.Random()%uint64(len(seats))], true
}
