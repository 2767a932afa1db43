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

// Voters returns the seats that vote on the lease of a unit, in rank order. Seats of the home region come
// before all others, so that a region cut off from the others keeps its services; among them,
// seats in different failure domains come first.
func Voters(service string, index int, region string, seats []Seat) []int {
	key := unitHash(service, index)
	if len(seats) <= VoterCount {
		return numbers(Rank(key, seats))
	}
	home, rest := make([]Seat, 0, len(seats)), make([]Seat, 0, len(seats))
	for _, s := range seats {
		if s.Region == region {
			home = append(home, s)
		} else {
			rest = append(rest, s)
		}
	}
	voters := appendBest(nil, key, home)
	voters = appendBest(voters, key, rest)
	return numbers(voters)
}

// appendBest adds the best ranked seats until there are enough voters: first the best of each
// failure domain that has no voter yet, then the best of what is left.
func appendBest(voters []Seat, key uint64, seats []Seat) []Seat {
	first := make(map[string]ranked)
	best := make([]ranked, 0, VoterCount+1)
	for _, s := range seats {
		r := ranked{seat: s, hash: seatHash(key, s.Number)}
		if old, ok := first[s.Domain]; !ok || r.before(old) {
			first[s.Domain] = r
		}
		best = insertBest(best, r)
	}
	byDomain := make([]ranked, 0, len(first))
	for _, r := range first {
		byDomain = append(byDomain, r)
	}
	slices.SortFunc(byDomain, ranked.compare)
	for _, r := range byDomain {
		if !slices.ContainsFunc(voters, func(v Seat) bool { return v.Domain == r.seat.Domain }) {
			voters = appendVoter(voters, r.seat)
		}
	}
	for _, r := range best {
		voters = appendVoter(voters, r.seat)
	}
	return voters
}

func appendVoter(voters []Seat, s Seat) []Seat {
	if len(voters) == VoterCount || slices.Contains(voters, s) {
		return voters
	}
	return append(voters, s)
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
	seat Seat
	hash uint64
}

func (r ranked) before(other ranked) bool { return r.compare(other) < 0 }

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.hash, r.hash), cmp.Compare(r.seat.Number, other.seat.Number))
}

func numbers(seats []Seat) []int {
	n := make([]int, len(seats))
	for i, s := range seats {
		n[i] = s.Number
	}
	return n
}
