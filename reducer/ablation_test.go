package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// ablation has a mechanism, a change of the document that disables it, and the measurement that it must keep
// within the bound.
type ablation struct {
	mechanism string
	bound     float64
	disable   func(*tiller.Document)
	measure   func(t *testing.T, change func(*tiller.Document)) float64
}

func ablations() []ablation {
	return []ablation{
		{
			mechanism: "hedged requests: p99 over the ideal p99", bound: 1.5, measure: stragglerLatencyRatio,
			disable: func(d *tiller.Document) { d.Services[0].HedgePercent = 0 },
		},
		{
			mechanism: "hedge budget: extra requests", bound: 0.05, measure: stragglerExtraRequests,
			disable: func(d *tiller.Document) { d.Services[0].HedgePercent = 100 },
		},
		{
			mechanism: "retry budget: requests per first request when all shed", bound: 1.1, measure: shedRequests,
			disable: func(d *tiller.Document) { d.Services[0].RetryPercent = 1000 },
		},
		{
			mechanism: "cold allowance: upstreams overloaded in cold start", bound: 0, measure: coldOverloads,
			disable: func(d *tiller.Document) {
				for i := range d.Upstreams {
					d.Upstreams[i].ColdSlots = d.Upstreams[i].Slots
				}
			},
		},
	}
}

// TestMechanismsSwitchedOff guards against bounds that also hold without the mechanism. Each bound must hold with
// the mechanism and be exceeded without it.
func TestMechanismsSwitchedOff(t *testing.T) {
	for _, a := range ablations() {
		t.Run(a.mechanism, func(t *testing.T) {
			t.Parallel()
			enabled := a.measure(t, nil)
			disabled := a.measure(t, a.disable)
			t.Logf("bound %.2f, with %.3f, switched off %.3f", a.bound, enabled, disabled)
			require.LessOrEqual(t, enabled, a.bound)
			require.Greater(t, disabled, a.bound)
		})
	}
}

// stragglerSim runs queries with a fan-out of 370, in which one response in n is slower by the factor. It also returns
// the function that draws the service times of the other responses.
func stragglerSim(t *testing.T, n int, factor tiller.Millis, change func(*tiller.Document)) (*sim, func() tiller.Millis) {
	s := newSim(t, 2, cluster{shards: 370, upstreams: 740, replicas: 2, slots: 8, coldSlots: 4, change: change}.document(), reducer.Config{})
	baseTime := func() tiller.Millis { return logNormal(s, 20, 0.4) }
	for _, name := range sortedUpstreamNames(s) {
		s.upstreams[name].serviceTime = withStragglers(s, n, factor, baseTime)
	}
	s.load(20, 25_000, func() tiller.Query {
		q := s.searchQuery("c", 3000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(5)))
		return q
	})
	s.run(60_000)
	return s, baseTime
}

// stragglerLatencyRatio returns the p99 of complete answers divided by the ideal p99. It skips the first 49 queries.
func stragglerLatencyRatio(t *testing.T, change func(*tiller.Document)) float64 {
	s, baseTime := stragglerSim(t, 1000, 100, change)
	sum := s.summarize(50, s.nextRef, nil)
	return float64(sum.quantile(0.99)) / float64(idealP99(s, 370, baseTime))
}

// stragglerExtraRequests returns the share of hedges and retries.
func stragglerExtraRequests(t *testing.T, change func(*tiller.Document)) float64 {
	// One response in 8 is slow, which is more than the hedge budget covers.
	s, _ := stragglerSim(t, 8, 5, change)
	return s.extraRequestShare()
}

// shedRequests returns the number of first requests and retries per first request while all upstreams shed.
func shedRequests(t *testing.T, change func(*tiller.Document)) float64 {
	s := newSim(t, 4, cluster{shards: 37, upstreams: 74, replicas: 2, slots: 8, coldSlots: 4, change: change}.document(), reducer.Config{})
	query := func() tiller.Query {
		q := s.searchQuery("c", 1000)
		q.Body = []byte("same")
		return q
	}
	s.load(20, 2000, query)
	s.run(10_000)
	for _, u := range s.upstreams {
		u.shedding = true
	}
	first, retries := s.counts["attempt"], s.counts["retry"]
	s.load(20, 20_000, query)
	s.run(60_000)
	first, retries = s.counts["attempt"]-first, s.counts["retry"]-retries
	return float64(first+retries) / float64(first)
}

// coldOverloads returns how often an upstream was overloaded in cold start after a crash.
func coldOverloads(t *testing.T, change func(*tiller.Document)) float64 {
	s := newSim(t, 7, cluster{shards: 36, upstreams: 36, replicas: 2, slots: 6, coldSlots: 2, change: change}.document(), reducer.Config{})
	// The upstreams can run two requests when cold, also when the document allows more.
	for _, u := range s.upstreams {
		u.spec.ColdSlots = 2
	}
	s.load(150, 10_000, func() tiller.Query {
		q := s.searchQuery("c", 2000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
		return q
	})
	s.at(4000, func() { s.upstreams["u0"].crash() })
	s.run(40_000)
	overloads := 0
	for _, u := range s.upstreams {
		overloads += u.coldOverloads
	}
	return float64(overloads)
}

// TestOwnerAgainstStaticShares compares one owner of two upstreams with two slots each with a daemon that has a static
// share: one of the four slots and a quarter of the queries. It guards the choice of owners over static shares.
func TestOwnerAgainstStaticShares(t *testing.T) {
	const length = 60_000
	rate := 0.9 * 4 / (20 * 1.083 / 1000)
	measure := func(c cluster, rate float64) (tiller.Millis, int, int) {
		s := newSim(t, 6, c.document(), reducer.Config{})
		queryCount := 0
		s.load(rate, length, func() tiller.Query {
			q := s.searchQuery(fmt.Sprint("c", queryCount%8), 2000)
			q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
			queryCount++
			return q
		})
		s.run(length + 10_000)
		sum := s.summarize(1, s.nextRef, nil)
		return sum.quantile(0.99), sum.complete, sum.submitted
	}
	owner, ownerComplete, ownerAsked := measure(cluster{shards: 8, upstreams: 2, replicas: 2, slots: 2}, rate)
	static, staticComplete, staticAsked := measure(cluster{shards: 8, upstreams: 1, replicas: 1, slots: 1}, rate/4)
	t.Logf("0.9 of capacity: owner p99 %d ms, complete %d of %d; static share p99 %d ms, complete %d of %d",
		owner, ownerComplete, ownerAsked, static, staticComplete, staticAsked)
	require.Equal(t, ownerAsked, ownerComplete)
	require.Less(t, owner, static)
}
