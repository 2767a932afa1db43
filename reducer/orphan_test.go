package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// newColdPairSim returns a simulation with one shard on two upstreams. Both are cold and take 200 ms per request.
func newColdPairSim(t *testing.T) *sim {
	s := newSim(t, 1, cluster{shards: 1, upstreams: 2, replicas: 2, slots: 4}.document(), reducer.Config{})
	for _, u := range s.upstreams {
		u.completed = 0
		u.serviceTime = func() tiller.Millis { return 200 }
	}
	return s
}

// TestCancelledAttemptCountsAgainstColdAllowance guards against the overload of an upstream in cold start that gets
// a new request while it still runs a cancelled one. The upstreams do not get the cancellations here
// and end their work up to 200 ms after the deadline.
func TestCancelledAttemptCountsAgainstColdAllowance(t *testing.T) {
	s := newColdPairSim(t)
	s.ignoreCancels = true
	s.load(20, 10_000, func() tiller.Query { return s.searchQuery("c", 150) })
	s.run(20_000)
	overloads := s.upstreams["u0"].coldOverloads + s.upstreams["u1"].coldOverloads
	require.Zero(t, overloads)
	require.NotZero(t, s.counts["attempt"])
}

// TestUpstreamsBackInServiceAreCold guards against the overload of a failure domain or an upstream that returns to
// service. It was restarted meanwhile, no event reported that, and it got as many requests as when it was warm.
func TestUpstreamsBackInServiceAreCold(t *testing.T) {
	tests := []struct {
		name   string
		setOut func(*tiller.Document, bool)
	}{
		{"failure domain", func(d *tiller.Document, out bool) { d.Domains[0].Out = out }},
		{"upstream", func(d *tiller.Document, out bool) { d.Upstreams[0].Leaving = out }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, cluster{shards: 4, upstreams: 6, replicas: 2, slots: 6, coldSlots: 1}.document(), reducer.Config{})
			s.load(200, 20_000, func() tiller.Query {
				q := s.searchQuery("c", 2000)
				q.Body = []byte("same")
				return q
			})
			s.at(8000, func() { s.applyChange(func(d *tiller.Document) { test.setOut(d, true) }) })
			s.at(12_000, func() { s.upstreams["u0"].completed = 0 })
			s.at(14_000, func() { s.applyChange(func(d *tiller.Document) { test.setOut(d, false) }) })
			s.run(40_000)
			require.Zero(t, s.upstreams["u0"].coldOverloads)
			require.Greater(t, s.upstreams["u0"].completed, s.upstreams["u0"].warmAfter)
		})
	}
}
