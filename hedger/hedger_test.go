package hedger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/hedger"
)

func ExampleBudget() {
	b := hedger.NewBudget(5, 100).WithFirst(19)
	fmt.Println(b.Allows(1), b.WithFirst(1).Allows(1))
	// Output: false true
}

// Extra requests must not exceed their percentage of the first requests, nor the burst.
func TestBudgetBoundsExtraRequests(t *testing.T) {
	b := hedger.NewBudget(10, 50)
	extra := 0
	for range 1000 {
		b = b.WithFirst(1)
		for b.Allows(1) {
			b = b.WithSpent(1)
			extra++
		}
	}
	require.Equal(t, 100, extra)
	require.False(t, hedger.NewBudget(5, 10).WithFirst(100_000).Allows(11))
	require.False(t, hedger.NewBudget(10, 10).WithFirst(10).WithShed().Allows(1))
}

// Old samples must not delay hedged requests after a service has become faster, and there must be no
// estimate after a long pause.
func TestLatencyDropsOldSamples(t *testing.T) {
	l := hedger.NewLatency()
	now := tiller.Millis(0)
	for i := range 1000 {
		l.Record(now, tiller.Millis(100+i%100))
	}
	require.InDelta(t, 195, int(l.P95(now)), 3)
	require.InDelta(t, 150, int(l.Median(now)), 3)
	for i := range 1000 {
		now += 20
		l.Record(now, tiller.Millis(10+i%10))
	}
	require.LessOrEqual(t, l.P99(now), tiller.Millis(20))
	require.True(t, l.HasEnoughSamples(now))
	now += tiller.Minute
	require.False(t, l.HasEnoughSamples(now))
	require.Zero(t, l.P95(now))
}
