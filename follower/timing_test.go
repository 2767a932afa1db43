package follower_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/follower"
	"github.com/carawaytiller/carawaytiller/platform"
)

func ExampleTiming() {
	p := follower.NewTiming(6000)
	fmt.Println(p.WatchWait(0), p.WatchWait(1), p.MaxAge(1), p.MaxAge(2), p.MaxAge(9), p.BatchDelay(0), p.BatchDelay(9), p.StoreRetryDelay(0, 2800), p.StoreRetryDelay(0, 9000), p.StoreRetryDelay(9, 9000))
	// Output: 2000 750 3600 3750 3900 150 600 50 500 2000
}

// Checks that a daemon that follows one with a stalled watch still notices a change in time, and that
// a daemon with regular watches is not mistaken for a stalled one.
func TestTiming(t *testing.T) {
	// slowCall is the duration of a call to a slow store, including the network.
	const slowCall = 350
	// longestPause is the longest pause after a first failed call.
	const longestPause = 150
	for _, within := range []tiller.Millis{3000, 4000, 5000, 6000} {
		p := follower.NewTiming(within)
		require.Less(t, p.MaxAge(99)+2*slowCall, within)
		require.Less(t, p.WatchWait(0)+p.BatchDelay(9)+slowCall, p.MaxAge(1))
		require.LessOrEqual(t, p.StoreRetryDelay(9, 0), within/3)
		// While changes arrive, a stalled watch must be detected within half of the notice time.
		require.LessOrEqual(t, p.WatchWait(1)+platform.WatchMargin+p.StoreRetryDelay(0, 0)+longestPause, within/2)
		require.Less(t, p.BatchDelay(0), p.BatchDelay(1))
	}
}
