package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// The decisions below answer the load at which more shards fail than a route may leave out, while
// routes that need fewer shards can still be served: queries of the first route are mostly in vain,
// and must not take the places of the others. They are not refused, because that would go on for a
// while after the shards are back; they only come last.

const (
	// likelyChance is the chance of enough coverage from which a query is not put behind others.
	likelyChance = 0.5
	// missSmoothing is the weight of a new sample in the share of a shard that was missing lately.
	missSmoothing = 0.3
	// missHalfLife is the half-life in milliseconds of what is known of a shard that is not asked.
	missHalfLife = 1500.0
	// leastMiss is the share from which a shard counts in a forecast.
	leastMiss = 0.02
)

// missing is the share of the latest queries in which a shard was missing.
type missing struct {
	share float64
	at    tiller.Millis
}

// with returns m after one more query.
func (m missing) with(now tiller.Millis, missed bool) missing {
	share := m.now(now) * (1 - missSmoothing)
	if missed {
		share += missSmoothing
	}
	return missing{share: share, at: now}
}

// now returns the share; what was seen long ago counts less.
func (m missing) now(now tiller.Millis) float64 {
	return m.share * math.Exp2(-float64(now-m.at)/missHalfLife)
}

// learnMissing notes which shards of a query came in time, when its answer is due or it ends before.
// Shards that are still open before the answer is due say nothing.
func (s *State) learnMissing(now tiller.Millis, q *query) {
	if q.sub || q.single() || q.learned {
		return
	}
	q.learned = true
	for _, sh := range q.shards {
		if sh.status == shardOpen && !q.isLate(now) {
			continue
		}
		known, ok := s.missing[sh.service]
		if missed := sh.status != shardDone; ok || missed {
			s.missing[sh.service] = known.with(now, missed)
		}
	}
}

// chance returns the probability that enough shards of a query come in time.
func (s *State) chance(now tiller.Millis, q *query) float64 {
	// fewer[n] is the probability that n shards are missing.
	fewer := make([]float64, len(q.shards)-q.needed+1)
	fewer[0] = 1
	for _, sh := range q.shards {
		miss := s.missing[sh.service].now(now)
		if miss < leastMiss {
			continue
		}
		for n := len(fewer) - 1; n >= 0; n-- {
			fewer[n] *= 1 - miss
			if n > 0 {
				fewer[n] += fewer[n-1] * miss
			}
		}
	}
	sum := 0.0
	for _, p := range fewer {
		sum += p
	}
	return sum
}

// isUnlikely says whether a query probably fails, because its shards have been missing too often.
func (s *State) isUnlikely(now tiller.Millis, q *query) bool {
	return !q.single() && len(s.missing) > 0 && s.chance(now, q) < likelyChance
}
