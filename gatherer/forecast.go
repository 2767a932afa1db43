package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// This file detects queries that will probably fail. If more shards fail than one route may leave out, most of
// its queries fail, while routes with a lower required coverage can still be served. The queries of the first
// route must not take upstream capacity from the others. They are queued last rather than refused, because
// refusals would continue for a while after the shards have recovered.

const (
	// likelyProbability is the probability of reaching the required coverage below which a query is queued
	// behind others.
	likelyProbability = 0.5
	// missSmoothing is the weight of a new sample in a miss rate.
	missSmoothing = 0.3
	// missHalfLife is the half-life in milliseconds of the miss rate of a shard that gets no requests.
	missHalfLife = 1500.0
	// minMissShare is the miss rate below which a shard is taken to be available.
	minMissShare = 0.02
)

// missRate is the moving average of the share of queries in which a shard was missing.
type missRate struct {
	share   float64
	updated tiller.Millis
}

// with returns m updated with one more query.
func (m missRate) with(now tiller.Millis, missed bool) missRate {
	share := m.at(now) * (1 - missSmoothing)
	if missed {
		share += missSmoothing
	}
	return missRate{share: share, updated: now}
}

// at returns the share at a time. It decays while there are no queries.
func (m missRate) at(now tiller.Millis) float64 {
	return m.share * math.Exp2(-float64(now-m.updated)/missHalfLife)
}

// recordMisses updates the miss rates of a query's shards when its answer is due or when it ends before. Shards
// that are still open before the answer is due are left out.
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

// coverageProbability returns the probability that enough shards of a query are answered in time.
func (s *State) coverageProbability(now tiller.Millis, q *query) float64 {
	// missing[n] is the probability that exactly n shards are missing, for each n that the required coverage allows.
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

// isUnlikely reports whether a query will probably fail because its shards were missing too often.
func (s *State) isUnlikely(now tiller.Millis, q *query) bool {
	return !q.isSingle() && len(s.missRates) > 0 && s.coverageProbability(now, q) < likelyProbability
}
