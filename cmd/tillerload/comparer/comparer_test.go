package comparer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/comparer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against a comparison that leaves out a fan-out or a round, or measures nothing.
func TestCompare(t *testing.T) {
	cfg := comparer.Config{FanOuts: []int{1, 3}, Queries: 3, Service: time.Millisecond, Logger: logr.Discard()}
	rows, err := comparer.Compare(t.Context(), cfg)
	require.NoError(t, err)
	require.Len(t, rows, 4)
	for i, r := range rows {
		require.Equal(t, cfg.FanOuts[i%2], r.FanOut)
		require.Equal(t, i/2+1, r.Round)
		require.GreaterOrEqual(t, r.CallP50Millis, 1.0, "the upstream takes 1 ms")
		require.InDelta(t, r.QueryP50Millis/r.CallP50Millis, r.QueryByCallP50, 1e-9)
		require.InDelta(t, r.QueryP50Millis/r.FanOutP50Millis, r.QueryByFanOutP50, 1e-9)
		require.Greater(t, r.QueryAllocs, 0.0)
	}
	var text bytes.Buffer
	require.NoError(t, comparer.WriteText(&text, rows))
	require.Equal(t, 5, bytes.Count(text.Bytes(), []byte("\n")))
}

func ExampleConfig_Check() {
	fmt.Println(comparer.Config{FanOuts: []int{1, 0}, Queries: 1, Service: time.Second}.Check())
	fmt.Println(comparer.Config{FanOuts: []int{1}, Queries: 0, Service: time.Second}.Check())
	// Output:
	// --fan-out 0: not from 1 to 512
	// --queries 0: less than 1
}
