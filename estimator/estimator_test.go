package estimator

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestControlBytesWithinBudget guards against control traffic that grows with the fleet past the
// budget of 4 KB/s. Bytes and messages are counts, so the result is the same on every machine.
func TestControlBytesWithinBudget(t *testing.T) {
	for _, daemons := range []int{8, 64, 512, 7400} {
		s := Target()
		s.Daemons = daemons
		s.Units = daemons
		s.Upstreams = max(2, s.Upstreams*daemons/7400)
		s.Services = max(1, s.Services*daemons/7400)
		bytes := leaseCost(s).BytesPerSecond + distributionCost(s).BytesPerSecond
		t.Logf("%d daemons: %.0f B/s", daemons, bytes)
		require.Less(t, bytes, TargetBudget().BytesPerSecond)
	}
}

// TestStoreCallsWithinLimits guards against store calls past the stated limits of several hundred writes and
// 2,000 reads per second.
func TestStoreCallsWithinLimits(t *testing.T) {
	reads, writes := storeCalls(Target())
	t.Logf("%.1f reads/s, %.1f writes/s", reads, writes)
	require.Less(t, reads, 1000.0)
	require.Less(t, writes, 200.0)
}

// TestRequestCostIndependentOfFanOut guards against decisions whose cost per upstream request grows with the fan-out.
func TestRequestCostIndependentOfFanOut(t *testing.T) {
	s := Target()
	s.FanOut = 37
	small := measureQuery(s, 100)
	s.FanOut = 370
	large := measureQuery(s, 100)
	t.Logf("allocations an upstream request: %.2f at 37, %.2f at 370", small.Allocations, large.Allocations)
	require.Less(t, large.Allocations, small.Allocations*1.2)
	require.Less(t, large.Steps, small.Steps*1.2)
}

// TestReportNamesEveryCost guards against a measured cost that the report omits.
func TestReportNamesEveryCost(t *testing.T) {
	r := Report{Size: Target(), Costs: []Cost{{Mechanism: "first", Control: true, Bytes: 1e6}, {Mechanism: "second"}}}
	var b bytes.Buffer
	require.NoError(t, r.Write(&b))
	require.Contains(t, b.String(), "first")
	require.Contains(t, b.String(), "second")
	require.Equal(t, 1e6, r.Control().Bytes)
}
