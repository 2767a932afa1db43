package router

import (
	"cmp"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// VoterCount is the number of seats that vote on the lease of a unit.
const VoterCount = 3

// equalWeight is the weight of every seat of a document.
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

// Roster holds the seats of a document by region and failure domain, so that the voters of a unit
// are found by hashing the seats of its home region only. It is immutable.
type Roster struct {
	domains []domainSeats
	seats   int
}

// domainSeats are the numbers of the seats of one failure domain, ascending.
type domainSeats struct {
	region string
	seats  []int
}

// NewRoster groups seats by failure domain.
func NewRoster(seats []Seat) Roster {
	r := Roster{seats: len(seats)}
	indexes := make(map[[2]string]int)
	for _, s := range seats {
		key := [2]string{s.Region, s.Domain}
		n, ok := indexes[key]
		if !ok {
			n = len(r.domains)
			indexes[key] = n
			r.domains = append(r.domains, domainSeats{region: s.Region})
		}
		r.domains[n].seats = append(r.domains[n].seats, s.Number)
	}
	return r
}

// Voters returns the seats that vote on the lease of a unit, in rank order. Seats of the home region come
// before all others, so that a region cut off from the others keeps its services; among them,
// seats in different failure domains come first.
func (r Roster) Voters(service string, index int, region string) []int {
	key := unitHash(service, index)
	if r.seats <= VoterCount {
		return numbers(r.best(key, func(string) bool { return true }))
	}
	voters := r.best(key, func(name string) bool { return name == region })
	if len(voters) < VoterCount {
		voters = append(voters, r.best(key, func(name string) bool { return name != region })...)
	}
	return numbers(voters[:min(len(voters), VoterCount)])
}

// best returns the best ranked seat of each failure domain, best first, and then,
// when these are fewer than the voters needed, the best of what is left.
func (r Roster) best(key uint64, wanted func(region string) bool) []ranked {
	var first, left []ranked
	for _, d := range r.domains {
		if !wanted(d.region) {
			continue
		}
		top := topOf(key, d.seats)
		first = append(first, top[0])
		for _, seat := range top[1:] {
			left = insertBest(left, seat)
		}
	}
	slices.SortFunc(first, ranked.compare)
	if len(first) < VoterCount {
		return append(first, left...)
	}
	return first
}

// topOf returns the best ranked of some seats, as many as there are voters.
func topOf(key uint64, seats []int) []ranked {
	top := make([]ranked, 0, VoterCount+1)
	for _, seat := range seats {
		top = insertBest(top, ranked{seat: seat, hash: seatHash(key, seat)})
	}
	return top
}

// insertBest keeps the best seats in order.
func insertBest(best []ranked, r ranked) []ranked {
	if len(best) == VoterCount && !r.before(best[VoterCount-1]) {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, r, ranked.compare)
	best = slices.Insert(best, at, r)
	return best[:min(len(best), VoterCount)]
}

// ranked is a seat of equal weight with its hash; the greatest hash ranks first.
type ranked struct {
	seat int
	hash uint64
}

func (r ranked) before(other ranked) bool { return r.compare(other) < 0 }

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.hash, r.hash), cmp.Compare(r.seat, other.seat))
}

func numbers(seats []ranked) []int {
	n := make([]int, len(seats))
	for i, s := range seats {
		n[i] = s.seat
	}
	return n
}
