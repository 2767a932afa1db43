package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// ablation switches a mechanism off through the document and measures the figure that the mechanism bounds.
type ablation struct {
	mechanism string
	bound     float64
	off       func(*tiller.Document)
	measure   func(t *testing.T, change func(*tiller.Document)) float64
}

func ablations() []ablation {
	return []ablation{
		{
			mechanism: "hedged requests: p99 over the ideal p99", bound: 1.5, measure: stragglerRatio,
			off: func(d *tiller.Document) { d.Services[0].HedgePercent = 0 },
		},
		{
			mechanism: "hedge budget: extra requests", bound: 0.05, measure: stragglerExtra,
			off: func(d *tiller.Document) { d.Services[0].HedgePercent = 100 },
		},
		{
			mechanism: "retry budget: requests per first request when all shed", bound: 1.1, measure: shedRequests,
			off: func(d *tiller.Document) { d.Services[0].RetryPercent = 1000 },
		},
		{
			mechanism: "cold allowance: upstreams overloaded in cold start", bound: 0, measure: coldOverloads,
			off: func(d *tiller.Document) {
				for i := range d.Upstreams {
					d.Upstreams[i].ColdSlots = d.Upstreams[i].Slots
				}
			},
		},
	}
}

// TestMechanismsSwitchedOff guards against bounds that hold whether or not the mechanism works.
func TestMechanismsSwitchedOff(t *testing.T) {
	for _, a := range ablations() {
		t.Run(a.mechanism, func(t *testing.T) {
			t.Parallel()
			with := a.measure(t, nil)
			without := a.measure(t, a.off)
			t.Logf("bound %.2f, with %.3f, switched off %.3f", a.bound, with, without)
			require.LessOrEqual(t, with, a.bound)
			require.Greater(t, without, a.bound)
		})
	}
}

// stragglerSim runs queries of which one response in n is factor times slower.
func stragglerSim(t *testing.T, n int, factor tiller.Millis, change func(*tiller.Document)) (*sim, func() tiller.Millis) {
	s := newSim(t, 2, cluster{shards: 370, upstreams: 740, replicas: 2, slots: 8, coldSlots: 4, change: change}.document(), reducer.Config{})
	plain := func() tiller.Millis { return logNormal(s, 20, 0.4) }
	for _, name := range sortedNames(s) {
		s.upstreams[name].service = straggling(s, n, factor, plain)
	}
	s.load(20, 25_000, func() tiller.Query {
		q := s.search("c", 3000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(5)))
		return q
	})
	s.run(60_000)
	return s, plain
}

func stragglerRatio(t *testing.T, change func(*tiller.Document)) float64 {
	s, plain := stragglerSim(t, 1000, 100, change)
	sum := s.summarize(50, s.nextRef, nil)
	return float64(sum.quantile(0.99)) / float64(idealP99(s, 370, plain))
}

func stragglerExtra(t *testing.T, change func(*tiller.Document)) float64 {
	// One response in 8 is slow, more than the budget allows to hedge.
	s, _ := stragglerSim(t, 8, 5, change)
	return s.extra()
}

func shedRequests(t *testing.T, change func(*tiller.Document)) float64 {
	s := newSim(t, 4, cluster{shards: 37, upstreams: 74, replicas: 2, slots: 8, coldSlots: 4, change: change}.document(), reducer.Config{})
	query := func() tiller.Query {
		q := s.search("c", 1000)
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

func coldOverloads(t *testing.T, change func(*tiller.Document)) float64 {
	s := newSim(t, 7, cluster{shards: 36, upstreams: 36, replicas: 2, slots: 6, coldSlots: 2, change: change}.document(), reducer.Config{})
	for _, u := range s.upstreams {
		u.spec.ColdSlots = 2
	}
	s.load(150, 10_000, func() tiller.Query {
		q := s.search("c", 2000)
		q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
		return q
	})
	s.at(4000, func() { s.upstreams["u0"].crash() })
	s.run(40_000)
	overloads := 0
	for _, u := range s.upstreams {
		overloads += u.overloads
	}
	return float64(overloads)
}

// TestOwnerAgainstStaticShares compares one owner of two upstreams with two slots each, with daemons that have
// one slot each and a quarter of the queries. It guards the choice of owners over static shares.
func TestOwnerAgainstStaticShares(t *testing.T) {
	const length = 60_000
	rate := 0.9 * 4 / (20 * 1.083 / 1000)
	measure := func(c cluster, rate float64) (tiller.Millis, int, int) {
		s := newSim(t, 6, c.document(), reducer.Config{})
		from := 0
		s.load(rate, length, func() tiller.Query {
			q := s.search(fmt.Sprint("c", from%8), 2000)
			q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
			from++
			return q
		})
		s.run(length + 10_000)
		sum := s.summarize(1, s.nextRef, nil)
		return sum.quantile(0.99), sum.complete, sum.asked
	}
	owner, ownerComplete, ownerAsked := measure(cluster{shards: 8, upstreams: 2, replicas: 2, slots: 2}, rate)
	static, staticComplete, staticAsked := measure(cluster{shards: 8, upstreams: 1, replicas: 1, slots: 1}, rate/4)
	t.Logf("0.9 of capacity: owner p99 %d ms, complete %d of %d; static share p99 %d ms, complete %d of %d",
		owner, ownerComplete, ownerAsked, static, staticComplete, staticAsked)
	require.Equal(t, ownerAsked, ownerComplete)
	require.Less(t, owner, static)
}
