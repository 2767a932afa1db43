package limiter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/limiter"
)

func ExampleLimit_WithCompleted() {
	l := limiter.New(6, 1)
	for range 3 {
		l = l.WithStarted().WithCompleted(true)
	}
	fmt.Println(l.Limit(), l.Cold())
	// Output: 4 true
}

// Guards against a limit that drops to 1 because it is halved for every request shed in one round trip.
func TestShedHalvesOncePerRoundTrip(t *testing.T) {
	l := limiter.New(16, 16).WithStarted().WithCompleted(true)
	for range 8 {
		l = l.WithStarted()
	}
	for range 8 {
		l = l.WithShed(10, 20)
	}
	require.Equal(t, 8, l.Limit())
	require.Equal(t, 0, l.InFlight())
	require.Equal(t, 4, l.WithStarted().WithShed(21, 30).Limit())
}

// Guards against a limit above the quota, a limit above the cold allowance right after a restart, and a
// limit that never recovers.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(1, 20).Draw(t, "quota")
		allowance := rapid.IntRange(1, 20).Draw(t, "allowance")
		l := limiter.New(quota, allowance)
		now := tiller.Millis(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += tiller.Millis(rapid.IntRange(0, 3).Draw(t, "wait"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if l.Admits() {
					l = l.WithStarted()
				}
			case 2:
				if l.InFlight() > 0 {
					l = l.WithCompleted(true)
				}
			case 3:
				if l.InFlight() > 0 {
					l = l.WithShed(now-1, now)
				}
			case 4:
				l = l.WithRestart()
				require.Equal(t, min(quota, allowance), l.Limit())
			case 5:
				l = l.WithExcess(rapid.IntRange(-2, 30).Draw(t, "excess"))
			}
			require.GreaterOrEqual(t, l.Limit(), 1)
			require.LessOrEqual(t, l.Limit(), quota)
			require.LessOrEqual(t, l.InFlight(), quota)
		}
		for range quota * (quota + 1) {
			l = l.WithStarted().WithCompleted(true)
		}
		require.Equal(t, quota, l.Limit())
	})
}

// A unit without a cold allowance must not send requests to an upstream until it is reported warm.
func TestUnitWithoutColdAllowanceSendsOnlyWhenWarm(t *testing.T) {
	l := limiter.New(4, 0)
	require.False(t, l.Admits())
	l = l.WithWarm()
	require.True(t, l.Admits())
	require.False(t, l.WithRestart().Admits())
}
