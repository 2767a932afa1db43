package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// voterSet holds the voters of a unit, kept because ranking costs as much as there are seats.
type voterSet struct {
	epoch  uint64
	region string
	seats  []int
}

// announceUnits tells the lease protocol the units of the document and their voters.
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

// rankVoters returns the voters of a unit, ranked again only when the epoch or the home region has changed.
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

// onSeat notes the seat of this process.
func (s *State) onSeatChanged(e SeatChanged) {
	s.seat, s.incarnation = e.Seat, e.Incarnation
	s.leaseVersion++
	if s.cfg.SetSeat != nil {
		s.cfg.SetSeat(s.now, e.Seat, e.Incarnation)
	}
}

// ownSeat returns the seat under which tokens are issued: that of this process, or 0 for a daemon
// that owns every unit and was given none.
func (s *State) ownSeat() (int, bool) {
	if s.seat == unknownSeat && s.cfg.Holding == nil {
		return 0, true
	}
	return s.seat, s.seat != unknownSeat
}

// isSelf says whether this process holds a seat.
func (s *State) isSelf(seat int) bool {
	own, ok := s.ownSeat()
	return ok && own == seat
}

// leaseEnd returns the time until which an attempt of a query sent under a lease may run.
func leaseEnd(end, validUntil tiller.Millis) tiller.Millis {
	if validUntil >= noLeaseEnd-leaseOverrunMillis {
		return end
	}
	return min(end, validUntil+leaseOverrunMillis)
}
