package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// voterSet is a cache of the voters of a unit. Ranking takes time proportional to the number of seats.
type voterSet struct {
	epoch  uint64
	region string
	seats  []int
}

// announceUnits passes the units of the document and their voters to the lease protocol.
func (s *State) announceUnits() {
	if s.cfg.SetUnits == nil {
		return
	}
	ranker := router.NewRanker(router.Seats(s.document))
	var units []tracker.Unit
	for _, spec := range s.document.Services {
		sv := s.services[spec.Name]
		region := router.HomeRegion(spec, sv.upstreams, s.regionOf)
		for index := range sv.owners {
			id := tracker.UnitID{Service: spec.Name, Index: index}
			units = append(units, tracker.Unit{ID: id, Voters: s.rankVoters(id, region, ranker)})
		}
	}
	s.leaseVersion++
	s.cfg.SetUnits(s.now, s.epoch, units)
}

// rankVoters returns the voters of a unit. They are ranked again only when the epoch or the home region has changed.
func (s *State) rankVoters(id tracker.UnitID, region string, ranker *router.Ranker) []int {
	set, ok := s.voters[id]
	if !ok || set.epoch != s.epoch || set.region != region {
		set = voterSet{epoch: s.epoch, region: region}
		set.seats = ranker.Voters(id.Service, id.Index, region)
		s.voters[id] = set
	}
	return set.seats
}

// votersOf returns the voters of a unit, or nothing when this daemon owns every unit.
func (s *State) votersOf(u *unit) []int {
	if s.cfg.Holding == nil || u.service == nil {
		return nil
	}
	if set, ok := s.voters[u.id]; ok && set.epoch == s.epoch {
		return set.seats
	}
	region := router.HomeRegion(u.service.spec, u.service.upstreams, s.regionOf)
	return s.rankVoters(u.id, region, router.NewRanker(router.Seats(s.document)))
}

func (s *State) regionOf(domain string) string {
	return s.catalog.domains[domain].Region
}

// onSeatChanged records the seat of this process and passes it to the lease protocol.
func (s *State) onSeatChanged(e SeatChanged) {
	s.seat, s.incarnation = e.Seat, e.Incarnation
	s.leaseVersion++
	if s.cfg.SetSeat != nil {
		s.cfg.SetSeat(s.now, e.Seat, e.Incarnation)
	}
}

// ownSeat returns the seat of this process. It returns 0 for a daemon that owns every unit and has no seat.
func (s *State) ownSeat() (int, bool) {
	if s.seat == unknownSeat && s.cfg.Holding == nil {
		return 0, true
	}
	return s.seat, s.seat != unknownSeat
}

// isSelf reports whether this process holds the given seat.
func (s *State) isSelf(seat int) bool {
	own, ok := s.ownSeat()
	return ok && own == seat
}

// leaseEnd returns the deadline of an attempt: end, or the end of the lease plus leaseOverrunMillis, if that is
// earlier.
func leaseEnd(end, validUntil tiller.Millis) tiller.Millis {
	if validUntil >= noLeaseEnd-leaseOverrunMillis {
		return end
	}
	return min(end, validUntil+leaseOverrunMillis)
}
