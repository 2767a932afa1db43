package router

import (
	"cmp"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// VoterCount is the number of seats that vote on the lease of a unit.
const VoterCount = 3

// equalWeight is the weight of every seat. Ranker relies on equal weights.
const equalWeight = 1

// Seats returns the seats of a document with their failure domains and regions:
// seat i belongs to the failure domain i mod the number of failure domains.
func Seats(d *tiller.Document) []Seat {
	seats := make([]Seat, d.Seats)
	for i := range seats {
		seats[i] = Seat{Number: i, Weight: equalWeight}
		if len(d.Domains) > 0 {
			domain := d.Domains[i%len(d.Domains)]
			seats[i].Domain, seats[i].Region = domain.Name, domain.Region
		}
	}
	return seats
}

// Ranker selects the voters of units from the seats of a document. Seats are indexed by region, so that
// the cost of a call grows with the seats of the home region, not with all seats. It is immutable.
type Ranker struct {
	seatsByRegion map[string][]seatRef
	allSeats      []seatRef
	// domains is the number of failure domains.
	domains int
}

// seatRef is the number of a seat with the index of its failure domain.
type seatRef struct {
	seat   int
	domain int
}

// rankedSeat is a seat with its hash for a unit. The greatest hash ranks first, which is the order of Rank
// for seats of equal weight.
type rankedSeat struct {
	seatRef
	hash uint64
}

// NewRanker returns a Ranker for seats of equal weight.
func NewRanker(seats []Seat) *Ranker {
	r := &Ranker{seatsByRegion: make(map[string][]seatRef), allSeats: make([]seatRef, 0, len(seats))}
	domains := make(map[string]int)
	for _, s := range seats {
		domain, ok := domains[s.Domain]
		if !ok {
			domain = len(domains)
			domains[s.Domain] = domain
		}
		ref := seatRef{seat: s.Number, domain: domain}
		r.seatsByRegion[s.Region] = append(r.seatsByRegion[s.Region], ref)
		r.allSeats = append(r.allSeats, ref)
	}
	r.domains = len(domains)
	return r
}

// Voters returns the numbers of the seats that vote on the lease of a unit, preferred seats first. Seats of the
// home region come before all others, so that a region that is partitioned from the others keeps its services.
// Within a region, seats in different failure domains come first. When there are no more than VoterCount
// seats, all of them vote.
func (r *Ranker) Voters(service string, index int, region string) []int {
	key := unitHash(service, index)
	if len(r.allSeats) <= VoterCount {
		return seatNumbers(rankAll(key, r.allSeats))
	}
	voters := r.appendBest(nil, key, r.seatsByRegion[region])
	if len(voters) < VoterCount {
		voters = r.appendBest(voters, key, r.allSeats)
	}
	return seatNumbers(voters)
}

// appendBest appends seats until there are VoterCount voters: first the highest-ranked seat of each
// failure domain without a voter, then the highest-ranked of the remaining seats.
func (r *Ranker) appendBest(voters []rankedSeat, key uint64, seats []seatRef) []rankedSeat {
	bestByDomain := make([]rankedSeat, r.domains)
	best := make([]rankedSeat, 0, VoterCount+1)
	for _, ref := range seats {
		candidate := rankedSeat{seatRef: ref, hash: seatHash(key, ref.seat)}
		if candidate.hash > bestByDomain[ref.domain].hash {
			bestByDomain[ref.domain] = candidate
		}
		best = insertBest(best, candidate)
	}
	bestByDomain = slices.DeleteFunc(bestByDomain, func(candidate rankedSeat) bool { return candidate.hash == 0 })
	slices.SortFunc(bestByDomain, rankedSeat.compare)
	for _, candidate := range bestByDomain {
		if !slices.ContainsFunc(voters, func(v rankedSeat) bool { return v.domain == candidate.domain }) {
			voters = appendVoter(voters, candidate)
		}
	}
	for _, candidate := range best {
		voters = appendVoter(voters, candidate)
	}
	return voters
}

// appendVoter appends candidate unless it is a voter already or there are VoterCount voters.
func appendVoter(voters []rankedSeat, candidate rankedSeat) []rankedSeat {
	if len(voters) == VoterCount || slices.Contains(voters, candidate) {
		return voters
	}
	return append(voters, candidate)
}

// insertBest inserts candidate into best, which is in rank order, and keeps the first VoterCount seats.
func insertBest(best []rankedSeat, candidate rankedSeat) []rankedSeat {
	if len(best) == VoterCount && candidate.hash < best[VoterCount-1].hash {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, candidate, rankedSeat.compare)
	best = slices.Insert(best, at, candidate)
	return best[:min(len(best), VoterCount)]
}

func rankAll(key uint64, seats []seatRef) []rankedSeat {
	all := make([]rankedSeat, len(seats))
	for i, ref := range seats {
		all[i] = rankedSeat{seatRef: ref, hash: seatHash(key, ref.seat)}
	}
	slices.SortFunc(all, rankedSeat.compare)
	return all
}

func (s rankedSeat) compare(other rankedSeat) int {
	return cmp.Or(cmp.Compare(other.hash, s.hash), cmp.Compare(s.seat, other.seat))
}

func seatNumbers(voters []rankedSeat) []int {
	numbers := make([]int, len(voters))
	for i, v := range voters {
		numbers[i] = v.seat
	}
	return numbers
}
