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

// Ranker ranks the seats of a document for its units. It keeps the seats by region, so that
// ranking costs as much as the home region has seats. It is immutable.
type Ranker struct {
	regions map[string][]place
	all     []place
	// domains is the number of failure domains.
	domains int
}

// place is a seat with the number of its failure domain.
type place struct {
	seat   int
	domain int
}

// ranked is a place with its hash for a unit; the greatest hash ranks first. Seats of a document have equal weights,
// for which the order of the hashes is that of Rank.
type ranked struct {
	place
	hash uint64
}

// NewRanker returns a Ranker for seats of equal weight.
func NewRanker(seats []Seat) *Ranker {
	r := &Ranker{regions: make(map[string][]place), all: make([]place, 0, len(seats))}
	domains := make(map[string]int)
	for _, s := range seats {
		domain, ok := domains[s.Domain]
		if !ok {
			domain = len(domains)
			domains[s.Domain] = domain
		}
		p := place{seat: s.Number, domain: domain}
		r.regions[s.Region] = append(r.regions[s.Region], p)
		r.all = append(r.all, p)
	}
	r.domains = len(domains)
	return r
}

// Voters returns the seats that vote on the lease of a unit, in rank order. Seats of the home region come
// before all others, so that a region cut off from the others keeps its services; among them,
// seats in different failure domains come first. All seats vote when there are no more than VoterCount.
func (r *Ranker) Voters(service string, index int, region string) []int {
	key := unitHash(service, index)
	if len(r.all) <= VoterCount {
		return numbers(byRank(key, r.all))
	}
	voters := r.appendBest(nil, key, r.regions[region])
	if len(voters) < VoterCount {
		voters = r.appendBest(voters, key, r.all)
	}
	return numbers(voters)
}

// appendBest adds the best ranked seats until there are enough voters: first the best of each
// failure domain that has no voter yet, then the best of what is left.
func (r *Ranker) appendBest(voters []ranked, key uint64, places []place) []ranked {
	first := make([]ranked, r.domains)
	best := make([]ranked, 0, VoterCount+1)
	for _, p := range places {
		one := ranked{place: p, hash: seatHash(key, p.seat)}
		if one.hash > first[p.domain].hash {
			first[p.domain] = one
		}
		best = insertBest(best, one)
	}
	first = slices.DeleteFunc(first, func(one ranked) bool { return one.hash == 0 })
	slices.SortFunc(first, ranked.compare)
	for _, one := range first {
		if !slices.ContainsFunc(voters, func(v ranked) bool { return v.domain == one.domain }) {
			voters = appendVoter(voters, one)
		}
	}
	for _, one := range best {
		voters = appendVoter(voters, one)
	}
	return voters
}

func appendVoter(voters []ranked, one ranked) []ranked {
	if len(voters) == VoterCount || slices.Contains(voters, one) {
		return voters
	}
	return append(voters, one)
}

// insertBest keeps the best seats in order.
func insertBest(best []ranked, one ranked) []ranked {
	if len(best) == VoterCount && one.hash < best[VoterCount-1].hash {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, one, ranked.compare)
	best = slices.Insert(best, at, one)
	return best[:min(len(best), VoterCount)]
}

func byRank(key uint64, places []place) []ranked {
	all := make([]ranked, len(places))
	for i, p := range places {
		all[i] = ranked{place: p, hash: seatHash(key, p.seat)}
	}
	slices.SortFunc(all, ranked.compare)
	return all
}

func (one ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.hash, one.hash), cmp.Compare(one.seat, other.seat))
}

func numbers(voters []ranked) []int {
	n := make([]int, len(voters))
	for i, v := range voters {
		n[i] = v.seat
	}
	return n
}
