package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Without faults, every query gets a complete answer, and no query, attempt or waiting entry is left in the State.
func TestAllQueriesAnswered(t *testing.T) {
	s := newSim(t, 1, cluster{shards: 12, upstreams: 8, replicas: 2, slots: 4}.document(), reducer.Config{})
	s.load(20, 5000, func() tiller.Query { return s.searchQuery("c", 2000) })
	s.run(20_000)
	s.inspector.checkReplied()
	require.Empty(t, s.inspector.violations)
	sum := s.summarize(1, s.nextRef, nil)
	require.Equal(t, sum.submitted, sum.complete, "%v", sum.refusals)
	st := s.state.Status(s.now)
	require.Zero(t, st.Queries+st.Attempts)
	for _, u := range st.Upstreams {
		require.Zero(t, u.InFlight+u.Waiting)
	}
	t.Logf("%d queries, median %d ms, p99 %d ms", sum.submitted, sum.quantile(0.5), sum.quantile(0.99))
}
