package balancer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
)

const (
	prior   = 15
	failure = 400
)

// newAnsweredStat returns a Stat after n responses, each with the latency took, and the time of the last one.
func newAnsweredStat(n int, took tiller.Millis) (*balancer.Stat, tiller.Millis) {
	s := balancer.New()
	now := tiller.Millis(1000)
	for i := range n {
		s.Sent(now, uint64(i))
		now += took
		s.Answered(now, uint64(i), 0)
	}
	return s, now
}

func TestCost(t *testing.T) {
	fast, now := newAnsweredStat(10, 10)
	base := fast.Cost(now, prior, 2, failure)
	for _, tt := range []struct {
		name  string
		after func(s *balancer.Stat, now tiller.Millis) tiller.Millis
		above float64
	}{
		{"outstanding request adds a service time", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			return now
		}, 10},
		{"stalled request raises the cost to its age", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			return now + 200
		}, 180},
		{"shed request adds a penalty", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Shed(now, 100)
			return now
		}, 10},
		{"failure adds a larger penalty", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Failed(now, 100)
			return now
		}, 60},
		{"request abandoned after longer than a pause counts as a failure", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Abandoned(now+400, 100)
			return now + 400
		}, 60},
	} {
		s, now := newAnsweredStat(10, 10)
		now = tt.after(s, now)
		require.GreaterOrEqual(t, s.Cost(now, prior, 2, failure), base+tt.above, tt.name)
	}
}

// An old high latency estimate must decay; otherwise the upstream would never receive requests again.
func TestOldMeasurementsAreForgotten(t *testing.T) {
	slow, now := newAnsweredStat(10, 200)
	require.GreaterOrEqual(t, slow.Mean(now, prior), 150.0)
	require.InDelta(t, prior, slow.Mean(now+30000, prior), 1)
}

// A single pause must not raise the latency estimate for long.
func TestOnePauseIsClipped(t *testing.T) {
	s, now := newAnsweredStat(10, 10)
	s.Sent(now, 100)
	s.Answered(now+250, 100, 0)
	require.LessOrEqual(t, s.Mean(now+250, prior), 25.0)
}
