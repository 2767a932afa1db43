package provisioner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/carawaytiller/carawaytiller/distributor"
)

// lookups is the number of seats whose addresses a daemon reads from the store at its start. As many daemons
// get each change at once, so a new daemon is in touch with the fleet as soon as one of them is there.
const lookups = distributor.PushPeers

// lookUp reads the addresses of some random seats.
func (s *session) lookUp(ctx context.Context, seats int) {
	known := make(map[int]string)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for _, seat := range s.someSeats(seats) {
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
	s.know(known)
}

// someSeats returns random seats other than the own one.
func (s *session) someSeats(seats int) []int {
	r := rand.New(rand.NewPCG(s.p.cfg.Random(), uint64(s.seat.Number)))
	others := slices.DeleteFunc(r.Perm(seats), func(seat int) bool { return seat == s.seat.Number })
	return others[:min(lookups, len(others))]
}

func (s *session) know(known map[int]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = known
	for seat := range known {
		s.unheard[seat] = true
	}
	if len(s.unheard) == 0 {
		close(s.allHeard)
	}
}

// addressOf returns where the daemon of a seat is reached. What the daemons have told each other
// is newer than what was read at the start.
func (s *session) addressOf(seat int) (string, bool) {
	if a, _, ok := s.syncer.AddressOf(seat); ok {
		return a.Address, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.known[seat]
	return address, ok
}

// send sends a message to a seat. One to a seat that has sent nothing and whose address is unknown goes to one
// of the seats that were looked up instead: it is no reply, and so the same for every peer, and
// a new daemon of a large fleet knows only a few.
func (s *session) send(to int, m distributor.Message) {
	if _, ok := s.addressOf(to); !ok && !s.hasHeard(to) {
		if to, ok = s.anyKnown(); !ok {
			return
		}
	}
	s.p.cfg.Send(to, m)
}

func (s *session) hasHeard(seat int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[seat]
}

// anyKnown returns a random one of the seats that were looked up.
func (s *session) anyKnown() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) == 0 {
		return 0, false
	}
	seats := slices.Sorted(maps.Keys(s.known))
	return seats[s.p.cfg.Random()%uint64(len(seats))], true
}
