package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// The decisions below answer the load at which more shards fail than a route may leave out, while
// routes that need missing shards can still be served: queries of the first route are mostly in vain,
// and must not take the places of the others. They are not refused, because that would go on for a
// while after the shards are back; they only come last.

const (
	// likelyChance is the chance of enough coverage from which a query is not put behind others.
	likelyProbability = 0.5
	// missSmoothing is the weight of a new sample in the share of a shard that was missing lately.
	missSmoothing = 0.3
	// missHalfLife is the half-life in milliseconds of what is known of a shard that is not asked.
	missHalfLife = 1500.0
	// leastMiss is the share from which a shard counts in a forecast.
	minMissShare = 0.02
)

// missRate is the share of the latest queries in which a shard was missing.
type missRate struct {
	share   float64
	updated tiller.Millis
}

// with returns m after one more query.
func (m missRate) with(now tiller.Millis, missed bool) missRate {
	share := m.at(now) * (1 - missSmoothing)
	if missed {
		share += missSmoothing
	}
	return missRate{share: share, updated: now}
}

// at returns the share at a time; what was seen long before counts less.
func (m missRate) at(now tiller.Millis) float64 {
	return m.share * math.Exp2(-float64(now-m.updated)/missHalfLife)
}

// learnMissing notes which shards of a query came in time, when its answer is due or it ends before.
// Shards that are still open before the answer is due say nothing.
func (s *State) recordMisses(now tiller.Millis, q *query) {
	if q.isSubQuery || q.isSingle() || q.missesRecorded {
		return
	}
	q.missesRecorded = true
	for _, sh := range q.shards {
		if sh.status == shardOpen && !q.isLate(now) {
			continue
		}
		known, ok := s.missRates[sh.service]
		if missed := sh.status != shardAnswered; ok || missed {
			s.missRates[sh.service] = known.with(now, missed)
		}
	}
}

// chance returns the probability that enough shards of a query come in time.
func (s *State) coverageProbability(now tiller.Millis, q *query) float64 {
	// missing[n] is the probability that n shards are missing, for each n that the coverage allows.
	missing := make([]float64, max(len(q.shards)-q.needed, 0)+1)
	missing[0] = 1
	for _, sh := range q.shards {
		miss := s.missRates[sh.service].at(now)
		if miss < minMissShare {
			continue
		}
		for n := len(missing) - 1; n >= 0; n-- {
			missing[n] *= 1 - miss
			if n > 0 {
				missing[n] += missing[n-1] * miss
			}
		}
	}
	sum := 0.0
	for _, p := range missing {
		sum += p
	}
	return sum
}

// isUnlikely says whether a query probably fails, because its shards have been missing too often.
func (s *State) isUnlikely(now tiller.Millis, q *query) bool {
	return !q.isSingle() && len(s.missRates) > 0 && s.coverageProbability(now, q) < likelyProbability
}
