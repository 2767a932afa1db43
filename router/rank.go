package router

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Seat is the numbered position of a daemon, as input to the ranking.
type Seat struct {
	Number int
	Domain string
	Region string
	// Weight is the relative share of keys for which the seat ranks first. A seat with a weight of 0 or less
	// ranks last.
	Weight float64
}

// Rank returns the seats in the order of weighted rendezvous hashing for a key. Adding or removing a seat
// does not change the order of the others.
func Rank(key uint64, seats []Seat) []Seat {
	ranked := slices.Clone(seats)
	scores := make(map[int]float64, len(seats))
	for _, s := range seats {
		scores[s.Number] = score(key, s)
	}
	slices.SortFunc(ranked, func(a, b Seat) int {
		return cmp.Or(
			cmp.Compare(scores[b.Number], scores[a.Number]),
			cmp.Compare(a.Number, b.Number),
		)
	})
	return ranked
}

// score is the logarithmic form of weighted rendezvous hashing: with u uniform in (0, 1) for each seat,
// the probability that a seat has the greatest ln(u)/weight is proportional to its weight.
func score(key uint64, s Seat) float64 {
	if s.Weight <= 0 {
		return math.Inf(-1)
	}
	u := (float64(seatHash(key, s.Number)>>11) + 0.5) / (1 << 53)
	return math.Log(u) / s.Weight
}

func seatHash(key uint64, seat int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(seat))
	return xxhash.Sum64(b[:])
}
